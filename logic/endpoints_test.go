package logic

import (
	"slices"
	"testing"
	"time"
)

// In a large fleet each waits for longer before it asks again, and all of them at different times.
func TestPollBackoffGrowsWithFleet(t *testing.T) {
	set := testSettings()
	set.SubscriptionRequired, set.MaxPollInterval = true, 10*time.Second
	mean := func(balancers int) (wait time.Duration) {
		set.Balancers = balancers
		b, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		b.Start(time.Hour)
		for range 50 {
			wait += b.Handle(time.Hour, DiscoveryUnavailable{})[0].Delay / 50
			b.Handle(time.Hour, TimerFired{pollToken})
		}
		return wait
	}
	few, usual, many := mean(2), mean(referenceFleetSize), mean(4*referenceFleetSize)
	if few != usual || many < 2*usual || many > 4*set.MaxPollInterval {
		t.Errorf("%v, %v and %v", few, usual, many)
	}
}

// A restart voids what was learnt, and is seen by the new start time.
func TestRestartDropsEarlierEstimates(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1)
	h.now = h.clock
	s := h.endpoint("s0")
	h.learnFromReport(s, loadReport(0.5, 500))
	s.health.failureRate = 0.9
	h.eject(s)
	h.list(Endpoint{ID: "s0", StartedAt: h.clock})
	if s.estimate.requestRate != 0 || s.health.failureRate != 0 || s.health.state != healthy {
		t.Errorf("after a restart: %+v", s)
	}
}

// Balancers that lose the list together ask again apart, and later each time.
func TestPollBackoffGrowsWithJitterWithinBounds(t *testing.T) {
	set := testSettings()
	set.SubscriptionRequired = true
	var waits []time.Duration
	for seed := range uint64(5) {
		b, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		b.Start(0)
		first := b.Handle(0, DiscoveryUnavailable{})[0]
		if first.Kind != SetTimer || first.Token != pollToken || slices.Contains(waits, first.Delay) {
			t.Errorf("seed %d: %+v, earlier waits %v", seed, first, waits)
		}
		waits = append(waits, first.Delay)
		if a := b.Handle(first.Delay, TimerFired{pollToken}); len(a) != 1 || a[0].Kind != Subscribe {
			t.Errorf("seed %d: %+v", seed, a)
		}
		fail := func(b *Balancer) Action { // asks again, then fails again
			b.Handle(0, TimerFired{pollToken})
			return b.Handle(0, DiscoveryUnavailable{})[0]
		}
		for range maxBackoffDoublings {
			fail(b)
			if a := b.Handle(0, DiscoveryUnavailable{}); len(a) != 0 {
				t.Errorf("seed %d: a second timer to ask again: %+v", seed, a)
			}
		}
		set := set // guards against asking so late that the balancer is held to know what it has not heard
		set.MaxPollInterval = time.Second
		bound, _ := New(set, seed)
		for range 2 * maxBackoffDoublings {
			if a := fail(bound); a.Delay > time.Second {
				t.Errorf("asks again after %v, must within %v", a.Delay, set.MaxPollInterval)
			}
		}
		set.MaxPollRetryInterval, set.Balancers = 400*time.Millisecond, 300 // nor, however large the fleet is, by a time of its own
		again, _ := New(set, seed)
		var waits []time.Duration
		for range 2 * maxBackoffDoublings {
			a := fail(again)
			if a.Delay > set.MaxPollRetryInterval || slices.Contains(waits, a.Delay) {
				t.Errorf("asks again after %v, must within %v, and at different times: %v", a.Delay, set.MaxPollRetryInterval, waits)
			}
			waits = append(waits, a.Delay)
		}
		if last := fail(b); last.Delay <= first.Delay {
			t.Errorf("the wait does not grow: %v, then %v", first.Delay, last.Delay)
		}
	}
}

// Guards against a restarted balancer that trusts its last list, which names servers that have gone since and
// has an old start of one that is cold: what does not connect goes elsewhere, and the list counts at once.
func TestStaleRestoredListIsCorrected(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1) // as restored; s0 is gone, s1 has just started again
	for range 20 {
		id, to := h.sendRequest(nonIdempotentClass)
		for n := 0; to == "s0"; n++ {
			next := h.endAttempt(id, to, n, ConnectFailed, NoLoadReport)
			if len(next) != 1 || next[0].Kind != Send || next[0].Endpoint == "s0" {
				t.Fatalf("after no connection to a server that is gone: %+v", next)
			}
			to = next[0].Endpoint
		}
	}
	h.Handle(h.clock, EndpointList{Full: true, Endpoints: []Endpoint{{ID: "s1", StartedAt: h.clock}, {ID: "s2"}, {ID: "s3"}}})
	cold := 0
	for range 200 {
		h.overload.level = 0
		switch _, to := h.sendRequest(nonIdempotentClass); to {
		case "s0":
			t.Fatal("sent to a server that the list has dropped")
		case "s1":
			cold++
		}
	}
	if cold > 200*3/10/3+15 {
		t.Errorf("a server that has just started got %d of 200", cold)
	}
}

// A server that is named again after it was gone starts afresh and gets requests.
func TestEndpointListedAgainGetsRequests(t *testing.T) {
	h := newHarness(t, testSettings(), 1)
	h.list(Endpoint{ID: "s0", State: Removed})
	if _, to := h.sendRequest(cheapClass); to != "" {
		t.Fatalf("sent to %s, which is gone", to)
	}
	h.list(Endpoint{ID: "s0", Weight: 1})
	if _, to := h.sendRequest(cheapClass); to != "s0" {
		t.Errorf("named again, but the request went to %q", to)
	}
}

// Guards against a list that is late or old: what own traffic shows of a server's health outweighs a list
// that calls it ready, and nothing outweighs a list that has it draining.
func TestDrainingAndEjectionOutweighOldList(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1)
	list := func(state EndpointState, id string) {
		h.list(Endpoint{ID: id, Weight: 1, State: state})
	}
	h.eject(h.endpoint("s0")) // dead, and still in the list
	list(Ready, "s0")
	list(Draining, "s1")
	for range 200 {
		id, to := h.sendRequest(cheapClass)
		if to != "s2" {
			t.Fatalf("sent to %s: s0 is dead and s1 draining", to)
		}
		h.endAttempt(id, to, 0, OK, NoLoadReport)
	}
}
