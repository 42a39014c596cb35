package pool

import (
	"testing"
	"time"
)

// An endpoint's connections die without a word and several exchanges fail in a row. Older connections then carry no non-idempotent
// request: they are closed, or carry idempotent requests until one completes.
func TestOlderConnectionsAreSuspectAfterABurstOfFailures(t *testing.T) {
	for _, closes := range []bool{false, true} {
		b, endpoint := newTableTest(t, func(s *Settings) { s.CloseSuspect, s.SuspectAfterFailures = closes, 3 })
		old := b.get(endpoint, false)
		var broken []*Slot
		for range 3 {
			broken = append(broken, b.get(endpoint, false))
		}
		b.Release(b.now, old, Reusable)
		b.Release(b.now, b.get(endpoint, false), Reusable) // an answer between failures resets the count
		for _, slot := range broken {
			b.now += time.Millisecond
			b.Release(b.now, slot, Broken)
		}
		fresh := b.get(endpoint, true)
		if fresh == old {
			t.Fatal("a non-idempotent request uses a suspect connection")
		}
		if closes {
			if b.Stats().Closed[CloseSuspected] != 1 {
				t.Error("it was not closed")
			}
			continue
		}
		b.now += time.Millisecond
		b.Release(b.now, fresh, Reusable)
		if got := b.get(endpoint, false); got != old {
			t.Error("a suspect connection is not preferred for an idempotent request")
		}
		b.now += time.Millisecond
		b.Release(b.now, old, Reusable)
		if got := b.get(endpoint, true); got != old {
			t.Error("a proven connection is avoided")
		}
	}
}

// Clients with short timeouts make the agent abandon exchanges before an answer could be expected. However many there are, no other
// connection becomes suspect; those of the exchanges close.
func TestAbandonedExchangesAreNoEvidence(t *testing.T) {
	for _, outcome := range []ReleaseOutcome{Abandoned, Broken} {
		b, endpoint := newTableTest(t, nil)
		idle := b.get(endpoint, false)
		var used []*Slot
		for range 5 {
			used = append(used, b.get(endpoint, false))
		}
		b.Release(b.now, idle, Reusable)
		for _, slot := range used {
			b.now += time.Millisecond
			b.Release(b.now, slot, outcome)
		}
		stats := b.Stats()
		if stillIdle := stats.Idle == 1; stillIdle != (outcome == Abandoned) || stats.Open != stats.Idle || stats.Closed[CloseBroken] != 5 {
			t.Errorf("%v: %+v", outcome, stats)
		}
	}
}
