package pool

import (
	"testing"
	"time"
)

// testTable is a table whose handshakes succeed immediately.
type testTable struct {
	*Table
	t   *testing.T
	now time.Duration
}

// newTestTable returns a table without quarantine, and a ready endpoint in it. change modifies the settings and may be nil.
func newTestTable(t *testing.T, change func(*Settings)) (*testTable, *Endpoint) {
	t.Helper()
	settings := DefaultSettings(40)
	settings.Quarantine = 0
	if change != nil {
		change(&settings)
	}
	table := &testTable{Table: NewTable(settings, 1), t: t, now: time.Second}
	return table, table.addReady("a")
}

func (table *testTable) addReady(id string) *Endpoint {
	table.t.Helper()
	endpoint := table.AddEndpoint(table.now, id, id, 0)
	table.SetReady(table.now, endpoint, true)
	return endpoint
}

// get returns a connection for one request, reused or newly opened, or nil if the request has to wait.
func (table *testTable) get(endpoint *Endpoint, nonIdempotent bool) *Slot {
	table.t.Helper()
	slot, waiter, actions := table.Acquire(table.now, endpoint, nonIdempotent)
	if slot != nil {
		return slot
	}
	for _, action := range append([]Action(nil), actions...) {
		if action.Kind != Open {
			continue
		}
		for _, action := range table.HandshakeSucceeded(table.now, action.Slot) {
			if action.Kind == Grant && action.Waiter == waiter {
				return action.Slot
			}
		}
	}
	return nil
}

// threeIdle returns three idle connections, released in this order one second apart, after 3, 2 and 4 requests.
func (table *testTable) threeIdle(endpoint *Endpoint) (slots [3]*Slot) {
	table.t.Helper()
	for i := range slots {
		slots[i] = table.get(endpoint, false)
	}
	slots[0].requests, slots[1].requests, slots[2].requests = 3, 2, 4
	for i := range slots {
		table.now += time.Second
		table.Release(table.now, slots[i], Reusable)
	}
	return slots
}

// An operator lowers the limits below the number of open connections. Idle connections close at once, those in use when they are
// released.
func TestLoweredLimitsCloseConnections(t *testing.T) {
	table, endpoint := newTestTable(t, nil)
	table.threeIdle(endpoint)
	used := []*Slot{table.get(endpoint, false), table.get(endpoint, false)}
	settings := table.settings
	settings.MaxConnections, settings.MaxPerEndpoint = 1, 1
	table.Configure(table.now, settings)
	if stats := table.Stats(); stats.Open != 2 || stats.Idle != 0 {
		t.Errorf("%d connections idle of %d open", stats.Idle, stats.Open)
	}
	for _, slot := range used {
		table.Release(table.now, slot, Reusable)
	}
	if stats := table.Stats(); stats.Open != 1 || stats.Idle != 1 {
		t.Errorf("%d connections idle of %d open", stats.Idle, stats.Open)
	}
}

// Each close reason must have its own key in the metrics and its own reason in the events.
func TestCloseReasonsHaveKeysAndEvents(t *testing.T) {
	keys, reasons := map[string]bool{}, map[any]bool{}
	for reason := range CloseReason(closeReasons) {
		if reason.String() == "" || keys[reason.String()] {
			t.Errorf("close reason %d has the empty or repeated key %q", reason, reason)
		}
		if eventReasons[reason] == 0 || reasons[eventReasons[reason]] {
			t.Errorf("close reason %v has the missing or repeated event reason %v", reason, eventReasons[reason])
		}
		keys[reason.String()], reasons[eventReasons[reason]] = true, true
	}
}
