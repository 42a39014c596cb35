package pool

import (
	"testing"
	"time"
)

// An endpoint closes idle connections earlier than configured, while a request is in transit. The idle limit must fall below that
// time and recover later. Until then non-idempotent requests reuse connections only up to a fraction of the limit.
func TestIdleLimitFallsAtAnEarlyCloseAndRecovers(t *testing.T) {
	table, endpoint := newTestTable(t, nil)
	limit := func() time.Duration { return endpoint.idleLimit.current(&table.settings, table.now) }
	if got := limit(); got != 8*time.Second {
		t.Errorf("initial limit %v, want 8 s", got)
	}
	slot := table.get(endpoint, false)
	table.Release(table.now, slot, Reusable)
	table.now += 2 * time.Second
	slot = table.get(endpoint, false)
	table.Release(table.now, slot, ClosedByServer)
	if got := limit(); got != 1600*time.Millisecond {
		t.Errorf("limit %v after a close at 2 s idle, want 1.6 s", got)
	}
	slot = table.get(endpoint, false)
	table.now += time.Second
	table.Release(table.now, slot, Reusable)
	table.now += time.Second
	if got := table.get(endpoint, true); got == slot {
		t.Error("a non-idempotent request reused a connection that was idle for over half the limit")
	} else if got := table.get(endpoint, false); got != slot {
		t.Error("an idempotent request did not reuse that connection")
	}
	table.now += time.Minute
	if got := limit(); got < 6*time.Second {
		t.Errorf("limit %v after a minute, want at least 6 s", got)
	}
	for range 40 { // the recovered limit must not overflow
		table.now += time.Hour
		if got := limit(); got != 8*time.Second {
			t.Fatalf("limit %v after hours, want 8 s", got)
		}
	}
}
