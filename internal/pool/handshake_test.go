package pool

import "testing"

// An endpoint accepts no connections and says nothing. It uses up its own places and handshakes, not those that other endpoints
// need, and gets fewer handshakes after one has failed.
func TestSilentEndpointTakesNoHandshakesFromOthers(t *testing.T) {
	b, silent := newTableTest(t, func(s *Settings) {
		s.MaxConnections, s.MaxPerEndpoint, s.MaxHandshakes, s.MaxHandshakesPerEndpoint = 8, 4, 4, 2
	})
	var opens []Action
	for range 6 {
		_, _, actions := b.Acquire(b.now, silent, false)
		opens = append(opens, actions...)
	}
	if len(opens) != 2 {
		t.Errorf("%d handshakes", len(opens))
	}
	other := b.addReady("b")
	if b.get(other, false) == nil {
		t.Error("another endpoint gets nothing meanwhile")
	}
	rejected := 0
	for _, action := range b.HandshakeFailed(b.now, opens[0].Slot, false) {
		if action.Kind == Reject && action.RejectReason == RejectConnectFailed {
			rejected++
		}
	}
	if rejected != 1 {
		t.Errorf("%d waiters were rejected for one failed handshake", rejected)
	}
	if n := b.maxHandshakes(silent); n != 1 {
		t.Errorf("%d handshakes at a time after a failure", n)
	}
}

// All places are taken by one endpoint while a request for another waits: the first one released makes place for it, though a later
// request waits for the endpoint with many.
func TestLastPlacesAreShared(t *testing.T) {
	b, large := newTableTest(t, func(s *Settings) {
		s.MaxConnections, s.MaxPerEndpoint, s.MaxHandshakes, s.MaxHandshakesPerEndpoint = 4, 4, 4, 4
	})
	var used []*Slot
	for range 4 {
		used = append(used, b.get(large, false))
	}
	small := b.addReady("b")
	_, waiter, _ := b.Acquire(b.now, small, false)
	b.Acquire(b.now, large, false)
	var opened *Action
	for _, action := range b.Release(b.now, used[0], Reusable) {
		if action.Kind == Open {
			opened = &action
		}
	}
	if opened == nil || opened.Slot.Endpoint != small || waiter.endpoint != small {
		t.Errorf("%+v", opened)
	}
}
