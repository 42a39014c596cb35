package logic

import (
	"slices"
	"testing"
	"time"
)

// After an outage of discovery a large fleet must not overload it again by its polls: each of many
// balancers backs off for longer, within what the settings require.
func TestPollBackoffGrowsWithFleet(t *testing.T) {
	set := testSettings()
	set.SubscriptionRequired, set.MaxPollInterval = true, 10*time.Second
	meanBackoff := func(balancers int) (mean time.Duration) {
		set.Balancers = balancers
		b, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		b.Start(time.Hour)
		for range 50 {
			mean += b.Handle(time.Hour, DiscoveryUnavailable{})[0].Delay / 50
			b.Handle(time.Hour, TimerFired{pollToken})
		}
		return mean
	}
	few, reference, many := meanBackoff(2), meanBackoff(referenceFleetSize), meanBackoff(4*referenceFleetSize)
	if few != reference || many < 2*reference || many > 4*set.MaxPollInterval {
		t.Errorf("the backoff is %v with few balancers, %v and %v with many", few, reference, many)
	}
}

// failPoll fires the poll timer of a balancer, fails that poll and returns the timer of the next one.
func failPoll(b *Balancer) Action {
	b.Handle(0, TimerFired{pollToken})
	return b.Handle(0, DiscoveryUnavailable{})[0]
}

// Balancers that lose discovery together must not poll together: each draws its backoff, which grows with
// each failed poll. However many polls have failed, one timer is set.
func TestPollBackoffGrowsWithJitterWithinBounds(t *testing.T) {
	set := testSettings()
	set.SubscriptionRequired = true
	var firstDelays []time.Duration
	for seed := range uint64(5) {
		b, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		b.Start(0)
		first := b.Handle(0, DiscoveryUnavailable{})[0]
		if first.Kind != SetTimer || first.Token != pollToken || slices.Contains(firstDelays, first.Delay) {
			t.Errorf("seed %d: %+v, earlier delays %v", seed, first, firstDelays)
		}
		firstDelays = append(firstDelays, first.Delay)
		if a := b.Handle(first.Delay, TimerFired{pollToken}); len(a) != 1 || a[0].Kind != Subscribe {
			t.Errorf("seed %d: %+v", seed, a)
		}
		for range maxBackoffDoublings {
			failPoll(b)
			if a := b.Handle(0, DiscoveryUnavailable{}); len(a) != 0 {
				t.Errorf("seed %d: a second timer: %+v", seed, a)
			}
		}
		if last := failPoll(b); last.Delay <= first.Delay {
			t.Errorf("seed %d: the backoff does not grow: %v, then %v", seed, first.Delay, last.Delay)
		}
	}
}

// A balancer that polls too late counts as knowing a change that it has not received. The backoff must stay
// within the poll interval of the settings, and within that after a failed poll, however large the fleet
// is.
func TestPollBackoffStaysWithinSettings(t *testing.T) {
	set := testSettings()
	set.SubscriptionRequired, set.MaxPollInterval = true, time.Second
	for seed := range uint64(5) {
		b, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		for range 2 * maxBackoffDoublings {
			if a := failPoll(b); a.Delay > set.MaxPollInterval {
				t.Errorf("seed %d: polls after %v, must within %v", seed, a.Delay, set.MaxPollInterval)
			}
		}
		large := set
		large.MaxPollRetryInterval, large.Balancers = 400*time.Millisecond, 300
		b, err = New(large, seed)
		if err != nil {
			t.Fatal(err)
		}
		var delays []time.Duration
		for range 2 * maxBackoffDoublings {
			a := failPoll(b)
			if a.Delay > large.MaxPollRetryInterval || slices.Contains(delays, a.Delay) {
				t.Errorf("seed %d: polls after %v, must within %v and at different times: %v",
					seed, a.Delay, large.MaxPollRetryInterval, delays)
			}
			delays = append(delays, a.Delay)
		}
	}
}

// An endpoint has restarted, which the list shows by a new start time. What the earlier process has shown
// says nothing of the new one.
func TestRestartDropsEarlierEstimates(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1)
	h.now = h.clock
	e := h.endpoint("s0")
	h.learnFromReport(e, loadReport(0.5, 500))
	e.health.failureRate = 0.9
	h.eject(e)
	h.list(Endpoint{ID: "s0", StartedAt: h.clock})
	if e.estimate.rate != 0 || e.health.failureRate != 0 || e.health.state != healthy {
		t.Errorf("after a restart: %+v, %+v", e.estimate, e.health)
	}
}

// A restarted balancer starts from its persisted list. That names an endpoint which is gone, and an old
// start time of one that warms up. What does not connect must be served elsewhere, and the new list must
// count at once.
func TestStaleRestoredListIsCorrected(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1) // s0 is gone, s1 has restarted
	for range 20 {
		id, to := h.sendRequest(nonIdempotentClass)
		for attempt := 0; to == "s0"; attempt++ {
			next := h.endAttempt(id, to, attempt, ConnectFailed, NoLoadReport)
			if len(next) != 1 || next[0].Kind != Send || next[0].Endpoint == "s0" {
				t.Fatalf("after no connection to an endpoint that is gone: %+v", next)
			}
			to = next[0].Endpoint
		}
	}
	h.Handle(h.clock, EndpointList{Full: true, Endpoints: []Endpoint{
		{ID: "s1", StartedAt: h.clock}, {ID: "s2"}, {ID: "s3"}}})
	warming := 0
	for range 200 {
		h.overload.level = 0
		switch _, to := h.sendRequest(nonIdempotentClass); to {
		case "s0":
			t.Fatal("sent to an endpoint that is not listed any more")
		case "s1":
			warming++
		}
	}
	if warming > 200*3/10/3+15 {
		t.Errorf("an endpoint that has just started got %d of 200 requests", warming)
	}
}

// An endpoint that was removed is listed again, and gets requests.
func TestEndpointListedAgainGetsRequests(t *testing.T) {
	h := newHarness(t, testSettings(), 1)
	h.list(Endpoint{ID: "s0", State: Removed})
	if _, to := h.sendRequest(cheapClass); to != "" {
		t.Fatalf("sent to %s, which is removed", to)
	}
	h.list(Endpoint{ID: "s0", Weight: 1})
	if _, to := h.sendRequest(cheapClass); to != "s0" {
		t.Errorf("it is listed again, but the request went to %q", to)
	}
}

// The list is late: it calls a dead endpoint ready. What this balancer has seen of its health must outweigh
// that. A list that calls an endpoint draining must outweigh everything.
func TestDrainingAndEjectionOutweighOldList(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1)
	h.eject(h.endpoint("s0"))
	h.list(Endpoint{ID: "s0", Weight: 1, State: Ready})
	h.list(Endpoint{ID: "s1", Weight: 1, State: Draining})
	for range 200 {
		id, to := h.sendRequest(cheapClass)
		if to != "s2" {
			t.Fatalf("sent to %s: s0 is dead and s1 draining", to)
		}
		h.endAttempt(id, to, 0, OK, NoLoadReport)
	}
}
