package pool

import (
	"testing"
	"time"
)

// An endpoint sends a second answer some milliseconds after the first, which would pass for the answer to the next request. The next
// request gets another connection, or waits until the quarantine is over, which is sooner than a handshake; waiters come in order.
func TestConnectionIsInQuarantineAfterAnAnswer(t *testing.T) {
	quarantine := 10 * time.Millisecond
	b, endpoint := newTableTest(t, func(s *Settings) { s.Quarantine = quarantine })
	first, second := b.get(endpoint, false), b.get(endpoint, false)
	b.Release(b.now, second, Reusable)
	b.now += 2 * quarantine
	b.Release(b.now, first, Reusable)
	if got := b.get(endpoint, false); got != second {
		t.Error("a connection in quarantine is granted")
	}
	slot, waiter, actions := b.Acquire(b.now, endpoint, false)
	if slot != nil || len(actions) != 1 || actions[0].Kind != ScheduleQuarantineEnd || actions[0].Slot != first || actions[0].Delay != quarantine {
		t.Fatalf("%v, %+v", slot, actions)
	}
	if _, _, more := b.Acquire(b.now, endpoint, false); len(more) != 1 || more[0].Kind != Open { // for the second waiter
		t.Errorf("%+v", more)
	}
	b.now += quarantine
	if got := b.QuarantineEnded(b.now, first); len(got) != 1 || got[0].Kind != Grant || got[0].Waiter != waiter || got[0].Slot != first {
		t.Errorf("%+v", got)
	}
	if again := b.QuarantineEnded(b.now, first); len(again) != 0 {
		t.Errorf("a second time: %+v", again)
	}
	b.Release(b.now, first, Unused) // nothing was written, so no second answer can come
	if stats := b.Stats(); stats.Idle != 0 || stats.Waiting != 0 {
		t.Errorf("an unused connection is idle beside a waiter: %+v", stats)
	}
}
