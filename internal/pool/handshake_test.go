package pool

import "testing"

// An endpoint does not answer any handshake. It must use up only its own limits on connections and handshakes, not what other
// endpoints need, and gets fewer concurrent handshakes after one has failed.
func TestSilentEndpointTakesNoHandshakesFromOthers(t *testing.T) {
	table, silent := newTestTable(t, func(s *Settings) {
		s.MaxConnections, s.MaxPerEndpoint, s.MaxHandshakes, s.MaxHandshakesPerEndpoint = 8, 4, 4, 2
	})
	var opens []Action
	for range 6 {
		_, _, actions := table.Acquire(table.now, silent, false)
		opens = append(opens, actions...)
	}
	if len(opens) != 2 {
		t.Errorf("%d handshakes with the silent endpoint, want 2", len(opens))
	}
	other := table.addReady("b")
	if table.get(other, false) == nil {
		t.Error("another endpoint got no connection meanwhile")
	}
	rejected := 0
	for _, action := range table.HandshakeFailed(table.now, opens[0].Slot, false) {
		if action.Kind == Reject && action.RejectReason == RejectConnectFailed {
			rejected++
		}
	}
	if rejected != 1 {
		t.Errorf("%d waiters rejected for one failed handshake, want 1", rejected)
	}
	if n := table.maxHandshakes(silent); n != 1 {
		t.Errorf("%d concurrent handshakes allowed after a failure, want 1", n)
	}
}

// One endpoint has all connections while a request waits for another endpoint. The first connection released must be closed for
// that request, although a later request waits for the endpoint that has all connections.
func TestLastConnectionsAreShared(t *testing.T) {
	table, large := newTestTable(t, func(s *Settings) {
		s.MaxConnections, s.MaxPerEndpoint, s.MaxHandshakes, s.MaxHandshakesPerEndpoint = 4, 4, 4, 4
	})
	var used []*Slot
	for range 4 {
		used = append(used, table.get(large, false))
	}
	small := table.addReady("b")
	_, waiter, _ := table.Acquire(table.now, small, false)
	table.Acquire(table.now, large, false)
	var opened *Action
	for _, action := range table.Release(table.now, used[0], Reusable) {
		if action.Kind == Open {
			opened = &action
		}
	}
	if opened == nil || opened.Slot.Endpoint != small || waiter.endpoint != small {
		t.Errorf("%+v", opened)
	}
}
