package logic

import (
	"testing"
	"time"
)

// checked delivers a served health check.
func (h *harness) passHealthCheck(id string, report LoadReport) {
	h.Handle(h.clock, HealthChecked{Endpoint: id, Result: OK, LoadReport: report})
}

// In a large fleet health checks were spread over all endpoints, and those that were never checked counted
// as fully used. A balancer must check its subset only, and take the fleet's utilization from it.
func TestHealthChecksStayInSubset(t *testing.T) {
	h := newLargeFleetHarness(t, 2, 200)
	checks, subset := 0, map[string]bool{}
	for range 600 {
		id, to := h.sendRequest(cheapClass)
		for _, id := range h.SubsetIDs() {
			subset[id] = true
		}
		h.endAttempt(id, to, 0, OK, NoLoadReport)
		for id := range healthChecksIn(h.advance(62 * time.Millisecond)) {
			checks++
			if !subset[id] {
				t.Fatalf("%s is checked and was never in the subset", id)
			}
			h.passHealthCheck(id, loadReport(0.1, 5))
		}
	}
	if checks < 30 {
		t.Errorf("%d checks of %d endpoints in 37 s, at an interval of %.0f s", checks, len(subset), h.checkInterval())
	}
	for id := range subset {
		h.endpoint(id).utilization = healthCheckUtilization{value: 0.1, at: h.clock}
	}
	h.now = h.clock
	if u := h.healthCheckFleetUtilization(); u > 0.2 {
		t.Errorf("with all of the subset at 0.1 the utilization is taken for %.2f", u)
	}
}

// A balancer with few requests suddenly gets many and sends some of them to a dead endpoint, which misses
// too few answers to be ejected. It must be checked, and ejected as soon as the check is lost too. Later a
// lost check must extend the ejection, without the cost of a half-open request.
func TestUnresponsiveEndpointIsCheckedAndEjected(t *testing.T) {
	set := healthCheckSettings()
	set.EndpointHealthCheckRate = 100
	h := newHarness(t, set, 1, 1, 1)
	h.healthCheckBudget.available = maxHealthCheckBudget
	dead := h.endpoint("s0")
	for range 40 {
		if id, to := h.sendRequest(nonIdempotentClass); to != "s0" {
			h.endAttempt(id, to, 0, OK, NoLoadReport)
		}
		h.loseHealthChecks(h.advanceTick())
		if dead.health.state != healthy {
			break
		}
	}
	if dead.health.state == healthy || h.missedResponses(dead) >= maxMissedResponses {
		t.Fatalf("%+v with %.1f missed answers", dead.health, h.missedResponses(dead))
	}
	for range 50 {
		id, to := h.sendRequest(nonIdempotentClass)
		if to == "s0" {
			t.Fatal("the dead endpoint gets more requests")
		}
		h.endAttempt(id, to, 0, OK, NoLoadReport)
	}
	for range 6 {
		h.loseHealthChecks(h.advance(h.horizon))
		id, to := h.sendRequest(cheapClass)
		if to == "s0" {
			t.Fatal("a request was risked on an endpoint that answers no health check")
		}
		h.endAttempt(id, to, 0, OK, NoLoadReport)
	}
}

// Health checks and requests can fail separately, as they take other paths in an endpoint. One that serves
// checks and fails requests must be avoided; one that loses checks and serves requests must stay.
func TestHealthChecksAndRequestsFailSeparately(t *testing.T) {
	h := newHarness(t, healthCheckSettings(), 1, 1, 1)
	failingRequests, losingChecks := h.endpoint("s0"), h.endpoint("s1")
	failed := 0
	for i := range 60 {
		id, to := h.sendRequest(nonIdempotentClass)
		result := OK
		if to == failingRequests.ID {
			failed, result = failed+1, Failed
		}
		h.endAttempt(id, to, 0, result, NoLoadReport)
		failingRequests.check.inFlight, losingChecks.check.inFlight = true, true
		h.passHealthCheck(failingRequests.ID, loadReport(0.2, 20))
		h.Handle(h.clock, HealthChecked{Endpoint: losingChecks.ID, Result: TimedOut, LoadReport: NoLoadReport})
		if i%4 == 0 {
			h.advanceTick()
		}
	}
	if failed == 0 || failed > 6 {
		t.Errorf("the endpoint that fails requests got %d of 60", failed)
	}
	if losingChecks.health.state != healthy {
		t.Errorf("the endpoint that loses checks: %+v", losingChecks.health)
	}
}

// All balancers learn of a new endpoint at the same time. If each checked it at once, hundreds of checks
// would arrive together. They must stay near the rate that the settings allow for an endpoint.
func TestNewEndpointIsNotCheckedByAllAtOnce(t *testing.T) {
	const balancers, seconds = 400, 5
	set := healthCheckSettings()
	set.Balancers = balancers
	checks := 0
	for index := range balancers {
		set.BalancerIndex = index
		b, err := New(set, uint64(index)+1)
		if err != nil {
			t.Fatal(err)
		}
		h := &harness{Balancer: b, clock: time.Hour}
		h.Start(h.clock)
		h.Handle(h.clock, EndpointList{Full: true, Endpoints: []Endpoint{{ID: "new", Weight: 1}}})
		for range seconds * 4 {
			id, to := h.sendRequest(nonIdempotentClass)
			h.endAttempt(id, to, 0, OK, NoLoadReport)
			for id := range healthChecksIn(h.advance(250 * time.Millisecond)) {
				checks++
				h.passHealthCheck(id, loadReport(0.5, 50))
			}
		}
	}
	most := set.EndpointHealthCheckRate * seconds * (1 + checkIntervalSpread)
	if float64(checks) > 1.3*most || checks == 0 {
		t.Errorf("%d checks in %d s, at most %.0f are meant", checks, seconds, most)
	}
}

// Health checks cost at most their fraction of the requests. A balancer without requests sends none.
func TestHealthCheckBudgetBoundsChecks(t *testing.T) {
	h := newHarness(t, healthCheckSettings(), 1, 1, 1, 1)
	const requests = 400
	checks := 0
	for range requests {
		id, to := h.sendRequest(nonIdempotentClass)
		h.endAttempt(id, to, 0, OK, NoLoadReport)
		for id, n := range healthChecksIn(h.advance(h.horizon)) {
			checks += n
			h.passHealthCheck(id, NoLoadReport)
		}
	}
	most := initialHealthCheckBudget + h.settings.HealthChecksPerRequest*requests
	if checks == 0 || float64(checks) > most {
		t.Errorf("%d checks, at most %.0f are allowed", checks, most)
	}
	h.advance(20 * h.horizon)
	if late := healthChecksIn(h.advance(100 * h.horizon)); len(late) > 0 {
		t.Errorf("without requests it sends %v", late)
	}
	h.settings.HealthChecksPerRequest = 0
	h.healthCheckBudget.available = 5
	h.sendRequest(nonIdempotentClass)
	if got := healthChecksIn(h.advance(h.horizon)); len(got) > 0 {
		t.Errorf("checks %v where none are allowed", got)
	}
}

// Answers are late, and no endpoint reports its load in them: the utilization decides whether load is shed,
// and only health checks tell it. An endpoint whose utilization is not known must be checked before one
// whose capacity is not.
func TestUtilizationIsCheckedInOverload(t *testing.T) {
	h := newHarness(t, healthCheckSettings(), 1, 1)
	h.now = h.clock
	h.updateWeights()
	unknown, known := h.endpoint("s0"), h.endpoint("s1")
	unknown.check.nextAt, known.check.nextAt = 0, 0
	h.learnFromHealthCheck(known, loadReport(0.5, 50))
	h.overload.excess = 0.1
	if got := h.checkUrgency(unknown); got != checkForOverload {
		t.Errorf("the priority is %v without a known utilization, want %v", got, checkForOverload)
	}
	if got := h.checkUrgency(known); got >= checkForOverload-1 {
		t.Errorf("the priority is %v with a known utilization", got)
	}
}
