package logic

import (
	"testing"
	"time"
)

// passHealthCheck delivers the result of a health check that was served.
func (h *harness) passHealthCheck(id string, report LoadReport) {
	h.Handle(h.clock, HealthChecked{Endpoint: id, Result: OK, LoadReport: report})
}

// In a large fleet health checks were spread over all endpoints, and endpoints that were never checked
// counted as fully utilized. A balancer must check only its subset, and derive the fleet's utilization from
// it.
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
				t.Fatalf("%s was checked, but was never in the subset", id)
			}
			h.passHealthCheck(id, loadReport(0.1, 5))
		}
	}
	if checks < 30 {
		t.Errorf("only %d checks of %d endpoints in 37 s, at an interval of %.0f s", checks, len(subset), h.checkInterval())
	}
	for id := range subset {
		h.endpoint(id).healthCheckUtilization = healthCheckUtilization{value: 0.1, at: h.clock}
	}
	h.now = h.clock
	if u := h.healthCheckFleetUtilization(); u > 0.2 {
		t.Errorf("fleet utilization %.2f with all of the subset at 0.1", u)
	}
}

// A balancer with few requests suddenly gets many, and sends some of them to a dead endpoint, which misses
// too few responses to be ejected. It must be checked, and ejected as soon as the check times out too.
// Later, further health checks that time out must extend the ejection, without the cost of a half-open
// request.
func TestUnresponsiveEndpointIsCheckedAndEjected(t *testing.T) {
	settings := healthCheckSettings()
	settings.EndpointHealthCheckRate = 100
	h := newHarness(t, settings, 1, 1, 1)
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
		t.Fatalf("health %+v with %.1f missed responses, want an ejection by the health check", dead.health, h.missedResponses(dead))
	}
	for range 50 {
		id, to := h.sendRequest(nonIdempotentClass)
		if to == "s0" {
			t.Fatal("a request was sent to the dead endpoint after its ejection")
		}
		h.endAttempt(id, to, 0, OK, NoLoadReport)
	}
	for range 6 {
		h.loseHealthChecks(h.advance(h.horizon))
		id, to := h.sendRequest(cheapClass)
		if to == "s0" {
			t.Fatal("a request was sent to an endpoint whose health checks all time out")
		}
		h.endAttempt(id, to, 0, OK, NoLoadReport)
	}
}

// Health checks and requests can fail independently, because an endpoint handles them on different paths.
// An endpoint that serves checks and fails requests must be avoided; one whose checks time out while it
// serves requests must not.
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
		t.Errorf("the endpoint that fails requests got %d of 60, want 1 to 6", failed)
	}
	if losingChecks.health.state != healthy {
		t.Errorf("health of the endpoint whose checks time out: %+v, want healthy", losingChecks.health)
	}
}

// All balancers learn about a new endpoint at the same time. If each checked it at once, hundreds of checks
// would arrive together. The checks must stay near the rate that the settings allow for an endpoint.
func TestNewEndpointIsNotCheckedByAllAtOnce(t *testing.T) {
	const balancers, seconds = 400, 5
	settings := healthCheckSettings()
	settings.Balancers = balancers
	checks := 0
	for index := range balancers {
		settings.BalancerIndex = index
		b, err := New(settings, uint64(index)+1)
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
	limit := settings.EndpointHealthCheckRate * seconds * (1 + checkIntervalSpread)
	if float64(checks) > 1.3*limit || checks == 0 {
		t.Errorf("%d checks in %d s, want about %.0f at most", checks, seconds, limit)
	}
}

// Health checks must not exceed their fraction of the requests, and a balancer without requests must send
// none.
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
	limit := initialHealthCheckBudget + h.settings.HealthChecksPerRequest*requests
	if checks == 0 || float64(checks) > limit {
		t.Errorf("%d checks, want 1 to %.0f", checks, limit)
	}
	h.advance(20 * h.horizon)
	if late := healthChecksIn(h.advance(100 * h.horizon)); len(late) > 0 {
		t.Errorf("health checks sent without requests: %v", late)
	}
	h.settings.HealthChecksPerRequest = 0
	h.healthCheckBudget.available = 5
	h.sendRequest(nonIdempotentClass)
	if got := healthChecksIn(h.advance(h.horizon)); len(got) > 0 {
		t.Errorf("health checks sent although none are allowed: %v", got)
	}
}

// Responses are late, and no endpoint reports its load in them. The utilization then decides whether load
// is shed, and only health checks provide it. An endpoint whose utilization is unknown must be checked
// before one whose capacity is uncertain.
func TestUtilizationIsCheckedInOverload(t *testing.T) {
	h := newHarness(t, healthCheckSettings(), 1, 1)
	h.now = h.clock
	h.updateWeights()
	unknown, known := h.endpoint("s0"), h.endpoint("s1")
	unknown.check.nextAt, known.check.nextAt = 0, 0
	h.learnFromHealthCheck(known, loadReport(0.5, 50))
	h.overload.excess = 0.1
	if got := h.checkUrgency(unknown); got != checkForOverload {
		t.Errorf("urgency %v with an unknown utilization, want %v", got, checkForOverload)
	}
	if got := h.checkUrgency(known); got >= checkForOverload-1 {
		t.Errorf("urgency %v with a known utilization", got)
	}
}
