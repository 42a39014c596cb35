package logic

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a server that takes requests and answers none while others answer.
func TestSilentEndpointIsEjectedAndReadmitted(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	for h.endpoint("s0").health.state == healthy {
		id, to := h.sendRequest(cheapClass)
		if to != "s0" {
			h.endAttempt(id, to, 0, OK, loadReport(0.5, 50))
		}
		h.clock += 10 * time.Millisecond
		if h.clock > time.Hour+3*time.Second {
			t.Fatal("a silent server was never ejected")
		}
		h.advanceTick()
	}
	for range 20 {
		if _, to := h.sendRequest(nonIdempotentClass); to == "s0" {
			t.Fatal("an unsafe request went to an ejected server")
		}
	}
	h.clock = h.endpoint("s0").health.ejectedUntil
	trials, trial := 0, ""
	for range 20 {
		id, to := h.sendRequest(cheapClass)
		if to != "s0" {
			continue
		}
		trials, trial = trials+1, id
	}
	if trials != 1 {
		t.Fatalf("%d trials at once, want 1", trials)
	}
	h.endAttempt(trial, "s0", 0, OK, NoLoadReport)
	if h.endpoint("s0").health.state != healthy {
		t.Error("an answered trial does not readmit")
	}
}

// What is avoided is a server that drains and one that is kept out as ill; most can't be ill.
func TestUnavailableCountsDrainingAndEjected(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	h.list(Endpoint{ID: "s0", State: Draining, Weight: 1})
	for i, want := range []int{1, 2, 1} { // none ill, one of three, two of three
		if i > 0 {
			h.eject(h.endpoint(fmt.Sprint("s", i)))
		}
		h.updateWeights()
		if n := h.Unavailable(); n != want {
			t.Errorf("%d with one draining and %d ill", n, i)
		}
	}
	h.list(Endpoint{ID: "s0", State: Removed})
	if n := h.Unavailable(); n != 0 {
		t.Errorf("%d when the draining one has gone", n)
	}
}

// Guards against one costly request passing for a silent server at a quiet balancer.
func TestOneLateAnswerEjectsNone(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1)
	_, to := h.sendRequest(nonIdempotentClass)
	h.advance(h.horizon)
	if s := h.endpoint(to); s.health.state != healthy {
		t.Error("ejected for one answer that is an aim late")
	}
}

// Guards against a server that fails fast and so looks idle.
func TestFastFailuresLowerWeightAndEject(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1)
	bad := 0
	for range 60 {
		id, to := h.sendRequest(nonIdempotentClass)
		result := OK
		if to == "s0" {
			bad, result = bad+1, Failed
		}
		h.endAttempt(id, to, 0, result, NoLoadReport)
	}
	if bad > 6 {
		t.Errorf("a server that only fails got %d of 60", bad)
	}
	h.endpoint("s0").health.failureRate = ejectionFailureRate
	id, _ := h.sendRequest(nonIdempotentClass)
	r := h.requests[id]
	h.learnFromOutcome(&attempt{request: r, endpoint: h.endpoint("s0")}, Outcome{Result: Failed})
	if h.endpoint("s0").health.state == healthy {
		t.Error("a server that fails again and again is not ejected")
	}
}

// Guards against many servers that die at once before the list says so: each request that a dead one did not
// take is served elsewhere, and soon none is sent there.
func TestManyEndpointsFailAtOnce(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1, 1, 1)
	dead := func(id string) bool { return id < "s2" }
	late := 0
	for i := range 300 {
		id, to := h.sendRequest(cheapClass)
		n := 0
		for ; dead(to); n++ {
			if i > 150 {
				late++
			}
			next := h.endAttempt(id, to, n, ConnectFailed, NoLoadReport)
			if len(next) != 1 || next[0].Kind != Send || next[0].Endpoint == to {
				t.Fatalf("after a failed connection: %+v", next)
			}
			to = next[0].Endpoint
			if n == 2 {
				t.Fatal("three attempts at dead servers")
			}
		}
		h.endAttempt(id, to, n, OK, NoLoadReport)
	}
	if late > 2 {
		t.Errorf("%d late attempts at dead servers", late)
	}
}

// A client that waits for less than an answer may take learns nothing of a server, whatever it does and however often: its
// time-outs eject none, bend no capacity, decide no trial and pass for no jam. Those after the aim do count.
func TestTimeoutBeforeObjectiveBlamesNone(t *testing.T) {
	for waited, blames := range map[time.Duration]bool{time.Millisecond: false, 599 * time.Millisecond: false, 601 * time.Millisecond: true} {
		h := newHarness(t, testSettings(), 1, 1)
		h.advance(h.horizon)
		h.overload.rejections.fraction = 0.1
		for range 20 {
			id, to := h.sendRequest(nonIdempotentClass)
			h.clock += waited
			h.endAttempt(id, to, 0, TimedOut, NoLoadReport)
		}
		blamed := h.overload.latencyRatio > 0 || h.overload.rejections.fraction != 0.1 // nor do they hide that servers turn others away
		for _, s := range h.endpoints.listed {
			blamed = blamed || s.health.failureRate > 0 || s.health.state != healthy
		}
		if blamed != blames {
			t.Errorf("after %v: late %.2f, servers %+v", waited, h.overload.latencyRatio, h.endpoints.listed)
		}
		h = newHarness(t, testSettings(), 1, 1)
		s := h.endpoint("s0")
		h.eject(s)
		due := s.health.ejectedUntil
		h.clock = due
		id, to := h.sendRequest(cheapClass)
		if to != "s0" {
			t.Fatalf("the trial went to %s", to)
		}
		h.clock += waited
		h.endAttempt(id, to, 0, TimedOut, NoLoadReport)
		if again := s.health.ejectedUntil > due; again != blames {
			t.Errorf("after %v: a trial that ends without an answer ejects again: %v", waited, again)
		}
		if _, to := h.sendRequest(cheapClass); (to == "s0") == blames {
			t.Errorf("after %v: the next request goes to %s", waited, to)
		}
	}
}

// What attempts on a server's earlier life come to, once its restart is known, says nothing of the present one.
func TestRestartedEndpointIsNotBlamedForEarlierAttempts(t *testing.T) {
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
	s := h.endpoint("s0")
	if s.health.failureRate > 0 || s.health.state != healthy || len(s.inFlight) > 0 {
		t.Errorf("%+v", s)
	}
	for range 3 { // its own count
		id, _ := h.sendRequest(nonIdempotentClass)
		h.endAttempt(id, "s0", 0, Reset, NoLoadReport)
	}
	if s.health.failureRate == 0 {
		t.Error("its own failures do not count")
	}
}
