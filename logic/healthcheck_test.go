package logic

import (
	"testing"
	"time"
)

// Guards against probes that are spread over a whole fleet, of which this balancer uses a part, and against taking all the servers that
// it never asked for busy.
func TestHealthChecksStayInSubset(t *testing.T) {
	h := newLargeFleetHarness(t, 2, 200)
	probes, own := 0, map[string]bool{}
	for range 600 {
		id, to := h.sendRequest(cheapClass)
		for _, id := range h.SubsetIDs() {
			own[id] = true
		}
		h.endAttempt(id, to, 0, OK, NoLoadReport)
		for s := range healthChecksIn(h.advance(62 * time.Millisecond)) {
			probes++
			if !own[s] {
				t.Fatalf("%s is asked, which gets no requests", s)
			}
			h.Handle(h.clock, HealthChecked{Endpoint: s, Result: OK, LoadReport: loadReport(0.1, 5)})
		}
	}
	if probes < 30 {
		t.Errorf("%d probes of %d own servers in 37 s, of which each may be asked every %.0f s", probes, len(own), h.checkInterval())
	}
	for id := range own {
		h.endpoint(id).utilization.value, h.endpoint(id).utilization.at = 0.1, h.clock
	}
	if h.now = h.clock; h.checkedFleetUtilization() > 0.2 {
		t.Errorf("with each own server proven to be idle, their use is taken for %.2f", h.checkedFleetUtilization())
	}
}

// Guards against a quiet balancer that suddenly gets busy and leans on a dead server, which owes it too few answers to tell:
// it is asked, and is out as soon as that is lost, too.
func TestSilentEndpointIsCheckedAndEjected(t *testing.T) {
	set := healthCheckSettings()
	set.EndpointHealthCheckRate = 100
	h := newHarness(t, set, 1, 1, 1)
	h.healthChecks.available = maxSavedHealthChecks
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
	if dead.health.state == healthy || h.missedAnswers(dead) >= maxMissedAnswers {
		t.Fatalf("out until %v with %.1f answers owed", dead.health.ejectedUntil, h.missedAnswers(dead))
	}
	for range 50 {
		if id, to := h.sendRequest(nonIdempotentClass); to == "s0" {
			t.Fatal("the dead server gets more")
		} else {
			h.endAttempt(id, to, 0, OK, NoLoadReport)
		}
	}
	// When it is due again it is asked first, and a lost probe keeps it out without the cost of a request.
	for range 6 {
		h.loseHealthChecks(h.advance(h.horizon))
		if id, to := h.sendRequest(cheapClass); to == "s0" {
			t.Fatal("a request was risked on a server that answers no probe")
		} else {
			h.endAttempt(id, to, 0, OK, NoLoadReport)
		}
	}
}

// Guards against taking a probe's word for a request's: a server that answers probes and fails requests is avoided all the
// same, and one that loses probes and serves requests stays in.
func TestHealthChecksAndRequestsFailSeparately(t *testing.T) {
	h := newHarness(t, healthCheckSettings(), 1, 1, 1)
	failed := 0
	for i := range 60 {
		id, to := h.sendRequest(nonIdempotentClass)
		if to == "s0" {
			failed++
		}
		h.endAttempt(id, to, 0, map[bool]Result{true: Failed, false: OK}[to == "s0"], NoLoadReport)
		h.endpoint("s0").check.inFlight, h.endpoint("s1").check.inFlight = true, true
		h.Handle(h.clock, HealthChecked{Endpoint: "s0", Result: OK, LoadReport: loadReport(0.2, 20)})
		h.Handle(h.clock, HealthChecked{Endpoint: "s1", Result: TimedOut, LoadReport: NoLoadReport})
		if i%4 == 0 {
			h.advanceTick()
		}
	}
	if failed == 0 || failed > 6 || h.endpoint("s1").health.state != healthy {
		t.Errorf("the one that fails got %d of 60 requests, the one that loses probes is out until %v", failed, h.endpoint("s1").health.ejectedUntil)
	}
}

// Guards against a new server that all balancers probe at once: together they stay near what a server is asked at most.
func TestNewEndpointIsNotCheckedByAllAtOnce(t *testing.T) {
	const fleet, seconds = 400, 5
	set := healthCheckSettings()
	set.Balancers = fleet
	probes := 0
	for me := range fleet {
		set.BalancerIndex = me
		b, err := New(set, uint64(me)+1)
		if err != nil {
			t.Fatal(err)
		}
		h := &harness{Balancer: b, clock: time.Hour}
		h.Start(h.clock)
		h.Handle(h.clock, EndpointList{Full: true, Endpoints: []Endpoint{{ID: "new", Weight: 1}}})
		for range seconds * 4 {
			id, to := h.sendRequest(nonIdempotentClass)
			h.endAttempt(id, to, 0, OK, NoLoadReport)
			for s := range healthChecksIn(h.advance(250 * time.Millisecond)) {
				probes++
				h.Handle(h.clock, HealthChecked{Endpoint: s, Result: OK, LoadReport: loadReport(0.5, 50)})
			}
		}
	}
	most := set.EndpointHealthCheckRate * seconds * (1 + checkIntervalSpread)
	if float64(probes) > 1.3*most || probes == 0 {
		t.Errorf("%d probes in %d s, at most %.0f are meant", probes, seconds, most)
	}
}

// Probes cost at most their share of the requests, and an idle balancer sends none.
func TestHealthCheckBudgetBoundsChecks(t *testing.T) {
	h := newHarness(t, healthCheckSettings(), 1, 1, 1, 1)
	probes := 0
	const requests = 400
	for range requests {
		id, to := h.sendRequest(nonIdempotentClass)
		h.endAttempt(id, to, 0, OK, NoLoadReport)
		for s, n := range healthChecksIn(h.advance(h.horizon)) {
			probes += n
			h.Handle(h.clock, HealthChecked{Endpoint: s, Result: OK, LoadReport: NoLoadReport})
		}
	}
	if most := initialHealthChecks + h.settings.HealthChecksPerRequest*requests; probes == 0 || float64(probes) > most {
		t.Errorf("%d probes, at most %.0f are allowed", probes, most)
	}
	h.advance(20 * h.horizon)
	if late := healthChecksIn(h.advance(100 * h.horizon)); len(late) > 0 {
		t.Errorf("idle, it sends %v", late)
	}
	h.settings.HealthChecksPerRequest = 0
	h.healthChecks.available = 5
	h.sendRequest(nonIdempotentClass)
	if got := healthChecksIn(h.advance(h.horizon)); len(got) > 0 {
		t.Errorf("probes %v where none are allowed", got)
	}
}
