package logic

import (
	"fmt"
	"testing"
	"time"
)

// One endpoint takes requests and answers none, while the others answer. It must be ejected; later one
// idempotent request tests it, and its answer readmits it.
func TestUnresponsiveEndpointIsEjectedAndReadmitted(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	silent := h.endpoint("s0")
	for silent.health.state == healthy {
		id, to := h.sendRequest(cheapClass)
		if to != "s0" {
			h.endAttempt(id, to, 0, OK, loadReport(0.5, 50))
		}
		h.clock += 10 * time.Millisecond
		if h.clock > time.Hour+3*time.Second {
			t.Fatal("a silent endpoint is never ejected")
		}
		h.advanceTick()
	}
	for range 20 {
		if _, to := h.sendRequest(nonIdempotentClass); to == "s0" {
			t.Fatal("a non-idempotent request went to an ejected endpoint")
		}
	}
	h.clock = silent.health.ejectedUntil
	tests, test := 0, ""
	for range 20 {
		if id, to := h.sendRequest(cheapClass); to == "s0" {
			tests, test = tests+1, id
		}
	}
	if tests != 1 {
		t.Fatalf("%d half-open requests at a time, want 1", tests)
	}
	h.endAttempt(test, "s0", 0, OK, NoLoadReport)
	if silent.health.state != healthy {
		t.Errorf("%+v after an answer to the half-open request", silent.health)
	}
}

// Each transition of the health of an endpoint, one after the other.
func TestHealthStateTransitions(t *testing.T) {
	const until = time.Minute
	for _, c := range []struct {
		name    string
		from    endpointHealth
		change  func(*endpointHealth)
		want    healthState
		waiting bool // for a half-open request
	}{
		{"eject", endpointHealth{}, func(h *endpointHealth) { h.eject(until) }, ejectedLocally, true},
		{"eject by gossip", endpointHealth{}, func(h *endpointHealth) { h.ejectByGossip(until) }, ejectedByGossip, true},
		{"own evidence after gossip", endpointHealth{state: ejectedByGossip},
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
			t.Errorf("%s: %+v, want state %d, awaiting a test: %v", c.name, h, c.want, c.waiting)
		}
		if h.state == healthy && h.ejectedUntil != 0 {
			t.Errorf("%s: healthy and ejected until %v", c.name, h.ejectedUntil)
		}
	}
}

// Unavailable endpoints are those that drain and those that are ejected; ejections of most endpoints do not
// count.
func TestUnavailableCountsDrainingAndEjected(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	h.list(Endpoint{ID: "s0", State: Draining, Weight: 1})
	for i, want := range []int{1, 2, 1} { // none ejected, one of three, two of three
		if i > 0 {
			h.eject(h.endpoint(fmt.Sprint("s", i)))
		}
		h.updateWeights()
		if n := h.Unavailable(); n != want {
			t.Errorf("%d unavailable with one draining and %d ejected, want %d", n, i, want)
		}
	}
	h.list(Endpoint{ID: "s0", State: Removed})
	if n := h.Unavailable(); n != 0 {
		t.Errorf("%d unavailable after the draining one was removed, want 0", n)
	}
}

// At a balancer with few requests one costly request waits for long. Its endpoint is not silent, and must
// not be ejected.
func TestOneLateResponseDoesNotEject(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1)
	_, to := h.sendRequest(nonIdempotentClass)
	h.advance(h.horizon)
	if e := h.endpoint(to); e.health.state != healthy {
		t.Errorf("%+v for one late answer", e.health)
	}
}

// An endpoint fails each request at once. It has nothing in flight and looks idle, so that selection would
// send it ever more requests. Its weight must fall, and it must be ejected.
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
		t.Errorf("an endpoint that fails all requests got %d of 60", failures)
	}
	failing.health.failureRate = ejectionFailureRate
	id, _ := h.sendRequest(nonIdempotentClass)
	h.learnFromOutcome(&attempt{request: h.requests[id], endpoint: failing}, Outcome{Result: Failed})
	if failing.health.state == healthy {
		t.Error("an endpoint that goes on to fail is not ejected")
	}
}

// Several endpoints die at once, before the list says so. Each request that a dead one did not take must be
// served by another, and soon none is sent to the dead ones.
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
				t.Fatalf("after a failed connection: %+v", next)
			}
			to = next[0].Endpoint
			if attempts == 2 {
				t.Fatal("three attempts at dead endpoints")
			}
		}
		h.endAttempt(id, to, attempts, OK, NoLoadReport)
	}
	if late > 2 {
		t.Errorf("%d late attempts at dead endpoints", late)
	}
}

// A client waits for less time than an answer may take, and does so often. Its timeouts say nothing of an
// endpoint: they must eject none, change no estimate, decide no half-open test and show no overload.
// Timeouts after the latency objective do count.
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
		// Nor may they hide that endpoints reject other requests.
		counted := h.overload.latencyRatio > 0 || h.overload.rejections.fraction != 0.1
		for _, e := range h.endpoints.listed {
			counted = counted || e.health.failureRate > 0 || e.health.state != healthy
		}
		if counted != c.counts {
			t.Errorf("after %v: latency ratio %.2f, counted: %v", c.waited, h.overload.latencyRatio, counted)
		}
	}
}

// The same client's request tests an ejected endpoint. Its timeout before the objective must leave the test
// to the next request at once; one after it must eject the endpoint again.
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
			t.Fatalf("the half-open request went to %s", to)
		}
		h.clock += c.waited
		h.endAttempt(id, to, 0, TimedOut, NoLoadReport)
		if again := e.health.ejectedUntil > due; again != c.ejects {
			t.Errorf("after %v: a half-open request without an answer ejects again: %v", c.waited, again)
		}
		if _, to := h.sendRequest(cheapClass); (to == "s0") == c.ejects {
			t.Errorf("after %v: the next request goes to %s", c.waited, to)
		}
	}
}

// An endpoint restarts, and attempts on its earlier incarnation end with resets. They say nothing of the
// present one.
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
		t.Errorf("%+v with %d in flight", e.health, len(e.inFlight))
	}
	for range 3 { // those of the present incarnation count
		id, _ := h.sendRequest(nonIdempotentClass)
		h.endAttempt(id, "s0", 0, Reset, NoLoadReport)
	}
	if e.health.failureRate == 0 {
		t.Error("failures of the present incarnation do not count")
	}
}
