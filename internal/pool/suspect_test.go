package pool

import (
	"testing"
	"time"
)

// An endpoint's connections die without a FIN or RST, and several exchanges in a row fail. From then on older connections must
// carry no non-idempotent request: they are closed, or carry only idempotent requests until one completes.
func TestOlderConnectionsAreSuspectAfterABurstOfFailures(t *testing.T) {
	for _, closes := range []bool{false, true} {
		table, endpoint := newTestTable(t, func(s *Settings) { s.CloseSuspect, s.SuspectAfterFailures = closes, 3 })
		old := table.get(endpoint, false)
		var broken []*Slot
		for range 3 {
			broken = append(broken, table.get(endpoint, false))
		}
		table.Release(table.now, old, Reusable)
		table.Release(table.now, table.get(endpoint, false), Reusable) // an answer between two failures resets the count
		for _, slot := range broken {
			table.now += time.Millisecond
			table.Release(table.now, slot, Broken)
		}
		fresh := table.get(endpoint, true)
		if fresh == old {
			t.Fatal("a non-idempotent request got a suspect connection")
		}
		if closes {
			if table.Stats().Closed[CloseSuspected] != 1 {
				t.Error("the suspect connection was not closed")
			}
			continue
		}
		table.now += time.Millisecond
		table.Release(table.now, fresh, Reusable)
		if got := table.get(endpoint, false); got != old {
			t.Error("an idempotent request did not get the suspect connection first")
		}
		table.now += time.Millisecond
		table.Release(table.now, old, Reusable)
		if got := table.get(endpoint, true); got != old {
			t.Error("a connection is still avoided after a completed exchange")
		}
	}
}

// Clients with short timeouts make the agent abandon exchanges before an answer could be expected. Their connections are closed,
// but however many there are, no other connection becomes suspect.
func TestAbandonedExchangesAreNoEvidence(t *testing.T) {
	for _, outcome := range []ReleaseOutcome{Abandoned, Broken} {
		table, endpoint := newTestTable(t, nil)
		idle := table.get(endpoint, false)
		var used []*Slot
		for range 5 {
			used = append(used, table.get(endpoint, false))
		}
		table.Release(table.now, idle, Reusable)
		for _, slot := range used {
			table.now += time.Millisecond
			table.Release(table.now, slot, outcome)
		}
		stats := table.Stats()
		if stillIdle := stats.Idle == 1; stillIdle != (outcome == Abandoned) || stats.Open != stats.Idle || stats.Closed[CloseBroken] != 5 {
			t.Errorf("release outcome %v: %+v", outcome, stats)
		}
	}
}
