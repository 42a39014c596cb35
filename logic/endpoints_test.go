package logic

import (
	"slices"
	"testing"
	"time"
)

// After an outage of discovery, the polls of a large fleet must not overload it again: the more balancers
// there are, the longer each backs off, within the limits of the settings.
func TestPollBackoffGrowsWithFleet(t *testing.T) {
	settings := testSettings()
	settings.SubscriptionRequired, settings.MaxPollInterval = true, 10*time.Second
	meanBackoff := func(balancers int) (mean time.Duration) {
		settings.Balancers = balancers
		b, err := New(settings, 1)
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
	if few != reference || many < 2*reference || many > 4*settings.MaxPollInterval {
		t.Errorf("mean backoff %v with 2 balancers, %v at the reference size, %v at four times that size", few, reference, many)
	}
}

// failPoll fires the poll timer of a balancer, fails that poll and returns the timer of the next poll.
func failPoll(b *Balancer) Action {
	b.Handle(0, TimerFired{pollToken})
	return b.Handle(0, DiscoveryUnavailable{})[0]
}

// Balancers that lose discovery at the same time must not poll at the same time: each draws its backoff,
// which grows with each failed poll. At most one timer is set, however many polls have failed.
func TestPollBackoffGrowsWithJitterWithinBounds(t *testing.T) {
	settings := testSettings()
	settings.SubscriptionRequired = true
	var firstDelays []time.Duration
	for seed := range uint64(5) {
		b, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		b.Start(0)
		first := b.Handle(0, DiscoveryUnavailable{})[0]
		if first.Kind != SetTimer || first.Token != pollToken || slices.Contains(firstDelays, first.Delay) {
			t.Errorf("seed %d: first poll timer %+v, first delays of earlier seeds %v", seed, first, firstDelays)
		}
		firstDelays = append(firstDelays, first.Delay)
		if a := b.Handle(first.Delay, TimerFired{pollToken}); len(a) != 1 || a[0].Kind != Subscribe {
			t.Errorf("seed %d: actions after the poll timer: %+v, want Subscribe", seed, a)
		}
		for range maxBackoffDoublings {
			failPoll(b)
			if a := b.Handle(0, DiscoveryUnavailable{}); len(a) != 0 {
				t.Errorf("seed %d: a second poll timer was set: %+v", seed, a)
			}
		}
		if last := failPoll(b); last.Delay <= first.Delay {
			t.Errorf("seed %d: the backoff did not grow: first %v, last %v", seed, first.Delay, last.Delay)
		}
	}
}

// A balancer that polls too late is treated as if it knew of changes that it has not received. The backoff
// must stay within MaxPollInterval and MaxPollRetryInterval, however large the fleet is.
func TestPollBackoffStaysWithinSettings(t *testing.T) {
	settings := testSettings()
	settings.SubscriptionRequired, settings.MaxPollInterval = true, time.Second
	for seed := range uint64(5) {
		b, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		for range 2 * maxBackoffDoublings {
			if a := failPoll(b); a.Delay > settings.MaxPollInterval {
				t.Errorf("seed %d: poll after %v, want at most %v", seed, a.Delay, settings.MaxPollInterval)
			}
		}
		large := settings
		large.MaxPollRetryInterval, large.Balancers = 400*time.Millisecond, 300
		b, err = New(large, seed)
		if err != nil {
			t.Fatal(err)
		}
		var delays []time.Duration
		for range 2 * maxBackoffDoublings {
			a := failPoll(b)
			if a.Delay > large.MaxPollRetryInterval || slices.Contains(delays, a.Delay) {
				t.Errorf("seed %d: poll after %v, want at most %v and different from the earlier delays %v",
					seed, a.Delay, large.MaxPollRetryInterval, delays)
			}
			delays = append(delays, a.Delay)
		}
	}
}

// The list reports a restart of an endpoint by a new start time. Estimates from the earlier process must be
// discarded, because they do not apply to the new one.
func TestRestartDropsEarlierEstimates(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1)
	h.now = h.clock
	e := h.endpoint("s0")
	h.learnFromReport(e, loadReport(0.5, 500))
	e.health.failureRate = 0.9
	h.eject(e)
	h.list(Endpoint{ID: "s0", StartedAt: h.clock})
	if e.estimate.rate != 0 || e.health.failureRate != 0 || e.health.state != healthy {
		t.Errorf("estimate %+v and health %+v are kept after a restart", e.estimate, e.health)
	}
}

// A restarted balancer begins with its persisted list, which contains an endpoint that no longer exists and
// an outdated start time of one that is warming. Requests whose connection fails must be sent to another
// endpoint, and the new list must take effect immediately.
func TestStaleRestoredListIsCorrected(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1) // s0 no longer exists, s1 has restarted
	for range 20 {
		id, to := h.sendRequest(nonIdempotentClass)
		for attempt := 0; to == "s0"; attempt++ {
			next := h.endAttempt(id, to, attempt, ConnectFailed, NoLoadReport)
			if len(next) != 1 || next[0].Kind != Send || next[0].Endpoint == "s0" {
				t.Fatalf("actions after a failed connection to a removed endpoint: %+v", next)
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
			t.Fatal("request sent to an endpoint that is no longer listed")
		case "s1":
			warming++
		}
	}
	if warming > 200*3/10/3+15 {
		t.Errorf("an endpoint that has just started got %d of 200 requests", warming)
	}
}

// An endpoint that is listed again after its removal must get requests.
func TestEndpointListedAgainGetsRequests(t *testing.T) {
	h := newHarness(t, testSettings(), 1)
	h.list(Endpoint{ID: "s0", State: Removed})
	if _, to := h.sendRequest(cheapClass); to != "" {
		t.Fatalf("request sent to %s, which has been removed", to)
	}
	h.list(Endpoint{ID: "s0", Weight: 1})
	if _, to := h.sendRequest(cheapClass); to != "s0" {
		t.Errorf("s0 is listed again, but the request was sent to %q", to)
	}
}

// An outdated list reports a dead endpoint as ready. The balancer's own health state must take precedence
// over that. A list that reports an endpoint as draining must take precedence over everything else.
func TestDrainingAndEjectionOutweighOldList(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1)
	h.eject(h.endpoint("s0"))
	h.list(Endpoint{ID: "s0", Weight: 1, State: Ready})
	h.list(Endpoint{ID: "s1", Weight: 1, State: Draining})
	for range 200 {
		id, to := h.sendRequest(cheapClass)
		if to != "s2" {
			t.Fatalf("request sent to %s, but s0 is dead and s1 is draining", to)
		}
		h.endAttempt(id, to, 0, OK, NoLoadReport)
	}
}
