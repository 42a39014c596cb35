package pool

import (
	"testing"
	"time"
)

// tableTest is a table in which handshakes succeed at once.
type tableTest struct {
	*Table
	t   *testing.T
	now time.Duration
}

// newTableTest returns a table without a quarantine and with a ready endpoint. change may be nil.
func newTableTest(t *testing.T, change func(*Settings)) (*tableTest, *Endpoint) {
	t.Helper()
	settings := DefaultSettings(40)
	settings.Quarantine = 0
	if change != nil {
		change(&settings)
	}
	table := &tableTest{Table: NewTable(settings, 1), t: t, now: time.Second}
	return table, table.addReady("a")
}

func (b *tableTest) addReady(id string) *Endpoint {
	b.t.Helper()
	endpoint := b.AddEndpoint(b.now, id, id, 0)
	b.SetReady(b.now, endpoint, true)
	return endpoint
}

// get returns a new connection or one that was used before, or nil.
func (b *tableTest) get(endpoint *Endpoint, nonIdempotent bool) *Slot {
	b.t.Helper()
	slot, waiter, actions := b.Acquire(b.now, endpoint, nonIdempotent)
	if slot != nil {
		return slot
	}
	for _, action := range append([]Action(nil), actions...) {
		if action.Kind != Open {
			continue
		}
		for _, action := range b.HandshakeSucceeded(b.now, action.Slot) {
			if action.Kind == Grant && action.Waiter == waiter {
				return action.Slot
			}
		}
	}
	return nil
}

// threeIdle returns connections that were released in this order, a second apart, after 3, 2 and 4 requests.
func (b *tableTest) threeIdle(endpoint *Endpoint) (slots [3]*Slot) {
	b.t.Helper()
	for i := range slots {
		slots[i] = b.get(endpoint, false)
	}
	slots[0].requests, slots[1].requests, slots[2].requests = 3, 2, 4
	for i := range slots {
		b.now += time.Second
		b.Release(b.now, slots[i], Reusable)
	}
	return slots
}

// An operator lowers the limits below what is open: idle connections close at once, those in use when they are released.
func TestLoweredLimitsCloseConnections(t *testing.T) {
	b, endpoint := newTableTest(t, nil)
	b.threeIdle(endpoint)
	used := []*Slot{b.get(endpoint, false), b.get(endpoint, false)}
	settings := b.settings
	settings.MaxConnections, settings.MaxPerEndpoint = 1, 1
	b.Configure(b.now, settings)
	if stats := b.Stats(); stats.Open != 2 || stats.Idle != 0 {
		t.Errorf("%d idle of %d", stats.Idle, stats.Open)
	}
	for _, slot := range used {
		b.Release(b.now, slot, Reusable)
	}
	if stats := b.Stats(); stats.Open != 1 || stats.Idle != 1 {
		t.Errorf("%d idle of %d", stats.Idle, stats.Open)
	}
}

// Each close reason has a key in the metrics and a reason in the event stream, and no two share one.
func TestCloseReasonsHaveKeysAndEvents(t *testing.T) {
	keys, reasons := map[string]bool{}, map[any]bool{}
	for reason := range CloseReason(closeReasons) {
		if reason.String() == "" || keys[reason.String()] {
			t.Errorf("reason %d has the key %q", reason, reason)
		}
		if eventReasons[reason] == 0 || reasons[eventReasons[reason]] {
			t.Errorf("reason %v has the event reason %v", reason, eventReasons[reason])
		}
		keys[reason.String()], reasons[eventReasons[reason]] = true, true
	}
}
