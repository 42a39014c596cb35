package pool

import (
	"testing"
	"time"
)

func TestReuseOrderPicksTheConnection(t *testing.T) {
	for order, want := range map[ReuseOrder]int{MostRecentlyUsed: 2, LeastRecentlyUsed: 0, FewestRequests: 1} {
		b, endpoint := newTableTest(t, func(s *Settings) { s.ReuseOrder = order })
		slots := b.threeIdle(endpoint)
		if got := b.get(endpoint, false); got != slots[want] {
			t.Errorf("order %d does not use connection %d", order, want)
		}
	}
}

// Connections that were opened together must not all close together: each gets an age of its own.
func TestConnectionsExpireByAge(t *testing.T) {
	b, endpoint := newTableTest(t, func(s *Settings) { s.MaxAge, s.AgeJitter, s.ReuseOrder = 4*time.Second, 0.5, LeastRecentlyUsed })
	expiries := map[time.Duration]bool{}
	for _, slot := range b.threeIdle(endpoint) {
		expiries[slot.expiresAt] = true
		if age := slot.expiresAt - slot.openedAt; age < 2*time.Second || age > 4*time.Second {
			t.Errorf("an age of %v", age)
		}
	}
	if len(expiries) != 3 {
		t.Error("connections opened together expire together")
	}
	b.now += 4 * time.Second
	if slot := b.get(endpoint, false); slot.requests != 1 || b.Stats().Closed[CloseAge] != 3 {
		t.Errorf("an expired one is used again: %+v", b.Stats())
	}
}

func TestConnectionsExpireByRequests(t *testing.T) {
	b, endpoint := newTableTest(t, func(s *Settings) { s.MaxRequests = 2 })
	first := b.get(endpoint, false)
	for range 2 {
		b.Release(b.now, first, Reusable)
		if slot := b.get(endpoint, false); (slot == first) != (slot.requests == 2) {
			t.Errorf("%d requests", slot.requests)
		}
	}
}

// Every place of an endpoint is taken by a connection that it may be closing. A non-idempotent request uses it rather than fail,
// but never a suspect one.
func TestNonIdempotentFallsBackToAnOldConnectionButNoSuspectOne(t *testing.T) {
	for _, suspect := range []bool{false, true} {
		b, endpoint := newTableTest(t, func(s *Settings) { s.MaxPerEndpoint = 1 })
		slot := b.get(endpoint, false)
		b.Release(b.now, slot, Reusable)
		b.now += 5 * time.Second
		if suspect {
			endpoint.suspicion.since = b.now
		}
		if got := b.get(endpoint, true); (got == slot) == suspect {
			t.Errorf("suspect %v: the old connection is used: %v", suspect, got == slot)
		}
	}
}

// A connection is granted and given back unused, again and again. Nothing was written on it, so its idle time at the endpoint goes on
// and it must expire as if it had not been granted.
func TestUnusedConnectionKeepsItsIdleTime(t *testing.T) {
	b, endpoint := newTableTest(t, func(s *Settings) { s.ServerIdleTimeout = 10 * time.Second })
	slot := b.get(endpoint, false)
	b.Release(b.now, slot, Reusable)
	for _, at := range []time.Duration{5 * time.Second, 8 * time.Second} {
		got, _, _ := b.Acquire(at, endpoint, false)
		if got != slot {
			t.Fatalf("at %v it is not granted", at)
		}
		b.Release(at, slot, Unused)
	}
	if got, _, _ := b.Acquire(10*time.Second, endpoint, false); got == slot {
		t.Error("a connection that was idle for 9 s of 10 is used, as if it had been used meanwhile")
	}
	if slot.requests != 1 {
		t.Errorf("%d requests", slot.requests)
	}
}
