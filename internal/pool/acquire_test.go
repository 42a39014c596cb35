package pool

import (
	"testing"
	"time"
)

func TestReuseOrderPicksTheConnection(t *testing.T) {
	for order, want := range map[ReuseOrder]int{MostRecentlyUsed: 2, LeastRecentlyUsed: 0, FewestRequests: 1} {
		table, endpoint := newTestTable(t, func(s *Settings) { s.ReuseOrder = order })
		slots := table.threeIdle(endpoint)
		if got := table.get(endpoint, false); got != slots[want] {
			t.Errorf("reuse order %d did not select connection %d", order, want)
		}
	}
}

// Each connection gets its own age limit, so that connections opened together do not all close together.
func TestConnectionsExpireByAge(t *testing.T) {
	table, endpoint := newTestTable(t, func(s *Settings) { s.MaxAge, s.AgeJitter, s.ReuseOrder = 4*time.Second, 0.5, LeastRecentlyUsed })
	expiries := map[time.Duration]bool{}
	for _, slot := range table.threeIdle(endpoint) {
		expiries[slot.expiresAt] = true
		if age := slot.expiresAt - slot.openedAt; age < 2*time.Second || age > 4*time.Second {
			t.Errorf("age limit %v, want 2 s to 4 s", age)
		}
	}
	if len(expiries) != 3 {
		t.Error("connections opened together have the same expiry")
	}
	table.now += 4 * time.Second
	if slot := table.get(endpoint, false); slot.requests != 1 || table.Stats().Closed[CloseAge] != 3 {
		t.Errorf("an expired connection was reused: %+v", table.Stats())
	}
}

func TestConnectionsExpireByRequests(t *testing.T) {
	table, endpoint := newTestTable(t, func(s *Settings) { s.MaxRequests = 2 })
	first := table.get(endpoint, false)
	for range 2 {
		table.Release(table.now, first, Reusable)
		if slot := table.get(endpoint, false); (slot == first) != (slot.requests == 2) {
			t.Errorf("granted a connection with a request count of %d", slot.requests)
		}
	}
}

// All connections that the endpoint may have exceed the idle limit for non-idempotent requests. Such a request uses one of them
// rather than fail, but never a suspect one.
func TestNonIdempotentFallsBackToAnOldConnectionButNoSuspectOne(t *testing.T) {
	for _, suspect := range []bool{false, true} {
		table, endpoint := newTestTable(t, func(s *Settings) { s.MaxPerEndpoint = 1 })
		slot := table.get(endpoint, false)
		table.Release(table.now, slot, Reusable)
		table.now += 5 * time.Second
		if suspect {
			endpoint.suspects.since = table.now
		}
		if got := table.get(endpoint, true); (got == slot) == suspect {
			t.Errorf("suspect %v: reuse of the old connection: %v", suspect, got == slot)
		}
	}
}

// A connection is repeatedly granted and released unused. Nothing was written to it, so the endpoint still counts its idle time,
// and it must expire as if it had never been granted.
func TestUnusedConnectionKeepsItsIdleTime(t *testing.T) {
	table, endpoint := newTestTable(t, func(s *Settings) { s.ServerIdleTimeout = 10 * time.Second })
	slot := table.get(endpoint, false)
	table.Release(table.now, slot, Reusable)
	for _, at := range []time.Duration{5 * time.Second, 8 * time.Second} {
		got, _, _ := table.Acquire(at, endpoint, false)
		if got != slot {
			t.Fatalf("the connection was not granted at %v", at)
		}
		table.Release(at, slot, Unused)
	}
	if got, _, _ := table.Acquire(10*time.Second, endpoint, false); got == slot {
		t.Error("a connection was reused after 9 s idle, with a limit of 8 s")
	}
	if slot.requests != 1 {
		t.Errorf("%d requests counted, want 1", slot.requests)
	}
}
