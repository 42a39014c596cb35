package pool

import (
	"testing"
	"time"
)

// An endpoint sends a second answer some milliseconds after the first, which could be taken for the answer to the next request. The
// next request must get another connection or wait for the end of the quarantine, which comes sooner than a handshake would
// complete. Waiters are served in order.
func TestConnectionIsInQuarantineAfterAnAnswer(t *testing.T) {
	quarantine := 10 * time.Millisecond
	table, endpoint := newTestTable(t, func(s *Settings) { s.Quarantine = quarantine })
	first, second := table.get(endpoint, false), table.get(endpoint, false)
	table.Release(table.now, second, Reusable)
	table.now += 2 * quarantine
	table.Release(table.now, first, Reusable)
	if got := table.get(endpoint, false); got != second {
		t.Error("a connection in quarantine was granted")
	}
	slot, waiter, actions := table.Acquire(table.now, endpoint, false)
	if slot != nil || len(actions) != 1 || actions[0].Kind != ScheduleQuarantineEnd || actions[0].Slot != first || actions[0].Delay != quarantine {
		t.Fatalf("got slot %v and actions %+v, want only a ScheduleQuarantineEnd", slot, actions)
	}
	if _, _, more := table.Acquire(table.now, endpoint, false); len(more) != 1 || more[0].Kind != Open { // for the second waiter
		t.Errorf("%+v", more)
	}
	table.now += quarantine
	if got := table.QuarantineEnded(table.now, first); len(got) != 1 || got[0].Kind != Grant || got[0].Waiter != waiter || got[0].Slot != first {
		t.Errorf("%+v", got)
	}
	if again := table.QuarantineEnded(table.now, first); len(again) != 0 {
		t.Errorf("actions of a repeated QuarantineEnded: %+v", again)
	}
	table.Release(table.now, first, Unused) // nothing was written, so no second answer can arrive
	if stats := table.Stats(); stats.Idle != 0 || stats.Waiting != 0 {
		t.Errorf("an unused connection is idle while a request waits: %+v", stats)
	}
}
