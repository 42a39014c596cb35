package pool

import (
	"testing"
	"time"
)

// An endpoint closes idle connections earlier than its settings say, and a close crosses a request. The idle limit falls below that
// time and recovers; meanwhile non-idempotent requests use connections only up to a fraction of it.
func TestIdleLimitFallsAtAnEarlyCloseAndRecovers(t *testing.T) {
	b, endpoint := newTableTest(t, nil)
	limit := func() time.Duration { return endpoint.idleLimit.current(&b.settings, b.now) }
	if got := limit(); got != 8*time.Second {
		t.Errorf("at first %v", got)
	}
	slot := b.get(endpoint, false)
	b.Release(b.now, slot, Reusable)
	b.now += 2 * time.Second
	slot = b.get(endpoint, false)
	b.Release(b.now, slot, ClosedByServer)
	if got := limit(); got != 1600*time.Millisecond {
		t.Errorf("after a close at 2 s: %v", got)
	}
	slot = b.get(endpoint, false)
	b.now += time.Second
	b.Release(b.now, slot, Reusable)
	b.now += time.Second
	if got := b.get(endpoint, true); got == slot {
		t.Error("a non-idempotent request uses a connection that was idle for over half the limit")
	} else if got := b.get(endpoint, false); got != slot {
		t.Error("an idempotent request does not use it")
	}
	b.now += time.Minute
	if got := limit(); got < 6*time.Second {
		t.Errorf("after a minute: %v", got)
	}
	for range 40 { // the recovered limit must not overflow
		b.now += time.Hour
		if got := limit(); got != 8*time.Second {
			t.Fatalf("after hours: %v", got)
		}
	}
}
