package logic

import (
	"fmt"
	"testing"
	"time"
)

// One endpoint accepts requests without responding, while the others respond. It must be ejected. After the
// ejection time, exactly one idempotent request must test it, and a response to that request must readmit
// it.
func TestUnresponsiveEndpointIsEjectedAndReadmitted(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	unresponsive := h.endpoint("s0")
	for unresponsive.health.state == healthy {
		id, to := h.sendRequest(cheapClass)
		if to != "s0" {
			h.endAttempt(id, to, 0, OK, loadReport(0.5, 50))
		}
		h.clock += 10 * time.Millisecond
		if h.clock > time.Hour+3*time.Second {
			t.Fatal("an unresponsive endpoint was not ejected within 3 s")
		}
		h.advanceTick()
	}
	for range 20 {
		if _, to := h.sendRequest(nonIdempotentClass); to == "s0" {
			t.Fatal("a non-idempotent request was sent to an ejected endpoint")
		}
	}
	h.clock = unresponsive.health.ejectedUntil
	tests, test := 0, ""
	for range 20 {
		if id, to := h.sendRequest(cheapClass); to == "s0" {
			tests, test = tests+1, id
		}
	}
	if tests != 1 {
		t.Fatalf("%d half-open requests in flight, want 1", tests)
	}
	h.endAttempt(test, "s0", 0, OK, NoLoadReport)
	if unresponsive.health.state != healthy {
		t.Errorf("health %+v after a response to the half-open request, want healthy", unresponsive.health)
	}
}

// Each case applies one transition to the health of an endpoint.
func TestHealthStateTransitions(t *testing.T) {
	const until = time.Minute
	for _, c := range []struct {
		name    string
		from    endpointHealth
		change  func(*endpointHealth)
		want    healthState
		waiting bool // whether the endpoint awaits a half-open request
	}{
		{"eject", endpointHealth{}, func(h *endpointHealth) { h.eject(until) }, ejectedLocally, true},
		{"eject by gossip", endpointHealth{}, func(h *endpointHealth) { h.ejectByGossip(until) }, ejectedByGossip, true},
		{"local ejection after gossip", endpointHealth{state: ejectedByGossip},
			func(h *endpointHealth) { h.eject(until) }, ejectedLocally, true},
		{"readmit", endpointHealth{state: ejectedLocally, ejectedUntil: until}, (*endpointHealth).readmit, healthy, false},
		{"begin half-open", endpointHealth{state: ejectedLocally}, (*endpointHealth).beginHalfOpen, halfOpen, false},
		{"fail half-open", endpointHealth{state: halfOpen, beforeHalfOpen: ejectedByGossip},
			func(h *endpointHealth) { h.eject(until) }, ejectedLocally, true},
		{"abandon half-open", endpointHealth{state: halfOpen, beforeHalfOpen: ejectedByGossip},
			(*endpointHealth).abandonHalfOpen, ejectedByGossip, true},
		{"abandon nothing", endpointHealth{}, (*endpointHealth).abandonHalfOpen, healthy, false},
	} {
		h := c.from
		c.change(&h)
		if h.state != c.want || h.awaitsTest() != c.waiting {
			t.Errorf("%s: health %+v, want state %d and awaitsTest %v", c.name, h, c.want, c.waiting)
		}
		if h.state == healthy && h.ejectedUntil != 0 {
			t.Errorf("%s: healthy, but ejectedUntil is %v", c.name, h.ejectedUntil)
		}
	}
}

// Draining and ejected endpoints must count as unavailable. If most endpoints are ejected, ejections are
// ignored and must not count.
func TestUnavailableCountsDrainingAndEjected(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	h.list(Endpoint{ID: "s0", State: Draining, Weight: 1})
	for i, want := range []int{1, 2, 1} { // with 0, 1 and 2 of three endpoints ejected
		if i > 0 {
			h.eject(h.endpoint(fmt.Sprint("s", i)))
		}
		h.updateWeights()
		if n := h.Unavailable(); n != want {
			t.Errorf("%d endpoints unavailable with one draining and %d ejected, want %d", n, i, want)
		}
	}
	h.list(Endpoint{ID: "s0", State: Removed})
	if n := h.Unavailable(); n != 0 {
		t.Errorf("%d endpoints unavailable after the draining one was removed, want 0", n)
	}
}

// At a balancer with few requests, one costly request waits for a long time. Its endpoint is not
// unresponsive and must not be ejected.
func TestOneLateResponseDoesNotEject(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1)
	_, to := h.sendRequest(nonIdempotentClass)
	h.advance(h.horizon)
	if e := h.endpoint(to); e.health.state != healthy {
		t.Errorf("health %+v after one late response, want healthy", e.health)
	}
}

// An endpoint fails each request at once. It has nothing in flight and looks idle, so selection would send
// it more and more requests. Its weight must fall, and it must be ejected.
func TestFastFailuresLowerWeightAndEject(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1)
	failing := h.endpoint("s0")
	failures := 0
	for range 60 {
		id, to := h.sendRequest(nonIdempotentClass)
		result := OK
		if to == "s0" {
			failures, result = failures+1, Failed
		}
		h.endAttempt(id, to, 0, result, NoLoadReport)
	}
	if failures > 6 {
		t.Errorf("an endpoint that fails all requests got %d of 60, want at most 6", failures)
	}
	failing.health.failureRate = ejectionFailureRate
	id, _ := h.sendRequest(nonIdempotentClass)
	h.learnFromOutcome(&attempt{request: h.requests[id], endpoint: failing}, Outcome{Result: Failed})
	if failing.health.state == healthy {
		t.Error("an endpoint that continues to fail was not ejected")
	}
}

// Several endpoints die at once, before the list reports it. Each request that a dead endpoint did not
// accept must be served by another, and soon no request may be sent to the dead endpoints.
func TestManyEndpointsFailAtOnce(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1, 1, 1)
	dead := func(id string) bool { return id < "s2" }
	late := 0
	for i := range 300 {
		id, to := h.sendRequest(cheapClass)
		attempts := 0
		for ; dead(to); attempts++ {
			if i > 150 {
				late++
			}
			next := h.endAttempt(id, to, attempts, ConnectFailed, NoLoadReport)
			if len(next) != 1 || next[0].Kind != Send || next[0].Endpoint == to {
				t.Fatalf("actions after a failed connection: %+v", next)
			}
			to = next[0].Endpoint
			if attempts == 2 {
				t.Fatal("a request had three attempts at dead endpoints")
			}
		}
		h.endAttempt(id, to, attempts, OK, NoLoadReport)
	}
	if late > 2 {
		t.Errorf("%d attempts at dead endpoints after the first 150 requests, want at most 2", late)
	}
}

// A client often waits for less than the latency objective. Its timeouts say nothing about an endpoint:
// they must not eject it, change an estimate, decide a half-open test or indicate an overload. Timeouts
// after the latency objective must count.
func TestTimeoutBeforeObjectiveIsIgnored(t *testing.T) {
	for _, c := range []struct {
		waited time.Duration
		counts bool
	}{{time.Millisecond, false}, {599 * time.Millisecond, false}, {601 * time.Millisecond, true}} {
		h := newHarness(t, testSettings(), 1, 1)
		h.advance(h.horizon)
		h.overload.rejections.fraction = 0.1
		for range 20 {
			id, to := h.sendRequest(nonIdempotentClass)
			h.clock += c.waited
			h.endAttempt(id, to, 0, TimedOut, NoLoadReport)
		}
		// They must not hide that endpoints reject other requests, either.
		counted := h.overload.latencyRatio > 0 || h.overload.rejections.fraction != 0.1
		for _, e := range h.endpoints.listed {
			counted = counted || e.health.failureRate > 0 || e.health.state != healthy
		}
		if counted != c.counts {
			t.Errorf("timeouts after %v: latency ratio %.2f, counted: %v", c.waited, h.overload.latencyRatio, counted)
		}
	}
}

// A request of such a client tests an ejected endpoint. If it times out before the objective, the next
// request must be able to test the endpoint at once; if later, the endpoint must be ejected again.
func TestHalfOpenTimeoutBeforeObjectiveIsInconclusive(t *testing.T) {
	for _, c := range []struct {
		waited time.Duration
		ejects bool
	}{{time.Millisecond, false}, {599 * time.Millisecond, false}, {601 * time.Millisecond, true}} {
		h := newHarness(t, testSettings(), 1, 1)
		e := h.endpoint("s0")
		h.eject(e)
		due := e.health.ejectedUntil
		h.clock = due
		id, to := h.sendRequest(cheapClass)
		if to != "s0" {
			t.Fatalf("the half-open request was sent to %s, want s0", to)
		}
		h.clock += c.waited
		h.endAttempt(id, to, 0, TimedOut, NoLoadReport)
		if again := e.health.ejectedUntil > due; again != c.ejects {
			t.Errorf("timeout of the half-open request after %v: ejected again: %v", c.waited, again)
		}
		if _, to := h.sendRequest(cheapClass); (to == "s0") == c.ejects {
			t.Errorf("timeout of the half-open request after %v: next request sent to %s", c.waited, to)
		}
	}
}

// An endpoint restarts, and attempts at its earlier incarnation end with resets. They must not affect the
// health of the current incarnation.
func TestOutcomesOfEarlierIncarnationAreIgnored(t *testing.T) {
	h := newHarness(t, testSettings(), 1)
	var ids []string
	for range 6 {
		id, _ := h.sendRequest(nonIdempotentClass)
		ids = append(ids, id)
	}
	h.clock += time.Second
	h.list(Endpoint{ID: "s0", StartedAt: h.clock - 100*time.Millisecond, Weight: 1})
	for _, id := range ids {
		h.endAttempt(id, "s0", 0, Reset, NoLoadReport)
	}
	e := h.endpoint("s0")
	if e.health.failureRate > 0 || e.health.state != healthy || len(e.inFlight) > 0 {
		t.Errorf("health %+v with %d attempts in flight after resets at the earlier incarnation", e.health, len(e.inFlight))
	}
	for range 3 { // outcomes of the current incarnation count
		id, _ := h.sendRequest(nonIdempotentClass)
		h.endAttempt(id, "s0", 0, Reset, NoLoadReport)
	}
	if e.health.failureRate == 0 {
		t.Error("failures of the current incarnation do not count")
	}
}
