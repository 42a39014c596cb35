package pool

import (
	"slices"
	"time"
)

// Who waits for a connection, and for whom handshakes are begun.

// refused is a waiter that has its answer.
func (t *Table) refused(why CloseReason) *Waiter {
	w := &Waiter{Result: make(chan Action, 1)}
	t.act(Action{Kind: Reject, Waiter: w, CloseReason: why})
	return w
}

// Cancel takes back a waiter that has no answer so far. It says why there was none in time: the server's handshakes take too
// long, or there was no place.
func (t *Table) Cancel(now time.Duration, w *Waiter) CloseReason {
	t.begin()
	t.unqueue(w)
	t.counts.WaitTimedOut++
	if w.node.opening > 0 || w.node.dialFails > 0 {
		return RejectConnectFailed
	}
	return RejectCapacity
}

// give hands an idle slot to the first of those who wait that may have it.
func (t *Table) give(now time.Duration, s *Slot) {
	n := s.Endpoint
	for i, w := range n.waiters {
		if w.careful && s.proven < n.suspect {
			continue
		}
		n.waiters = slices.Delete(n.waiters, i, i+1)
		t.waiting--
		t.hand(now, s)
		t.act(Action{Kind: Grant, Waiter: w, Slot: s})
		return
	}
}

// starving reports whether all places are taken and another server has fewer than this one, and somebody who has waited for
// longer: then this one gives a place up. The last places go round in turn.
func (t *Table) starving(n *Endpoint) bool {
	if t.open+t.opening < t.set.MaxConnections || t.idle > 0 {
		return false
	}
	for _, o := range t.nodes {
		if o != n && len(o.waiters) > o.opening && o.places+1 < n.places && o.waiters[0].turn < n.waiters[0].turn {
			return true
		}
	}
	return false
}

// unqueue takes a waiter out of the queue.
func (t *Table) unqueue(w *Waiter) {
	if i := slices.Index(w.node.waiters, w); i >= 0 {
		w.node.waiters = slices.Delete(w.node.waiters, i, i+1)
		t.waiting--
	}
}

func (t *Table) refuseAll(n *Endpoint, why CloseReason) {
	t.waiting -= len(n.waiters)
	for _, w := range n.waiters {
		t.act(Action{Kind: Reject, Waiter: w, CloseReason: why})
	}
	n.waiters = nil
}

// room reports whether a handshake with the server may begin now, if need be in the place of an idle connection of another.
func (t *Table) room(n *Endpoint) bool {
	return n.ready && n.places < t.set.MaxPerEndpoint && n.opening < t.openingMost(n) && t.opening < t.set.MaxHandshakes &&
		(t.open+t.opening < t.set.MaxConnections || t.idle > 0)
}

// openingMost is how many handshakes a server may have at once: one whose latest failed gets few.
func (t *Table) openingMost(n *Endpoint) int {
	if n.dialFails > 0 {
		return max(1, t.set.MaxHandshakesPerEndpoint/4)
	}
	return t.set.MaxHandshakesPerEndpoint
}

// fill begins handshakes for those who wait and have none under way: for the server with the fewest places first, and of
// equals for who has waited for longest.
func (t *Table) fill(now time.Duration) {
	for t.waiting > 0 {
		var best *Endpoint
		for _, n := range t.nodes {
			if len(n.waiters) <= n.opening+n.resting || !t.room(n) {
				continue
			}
			if best == nil || n.places < best.places || n.places == best.places && n.waiters[0].turn < best.waiters[0].turn {
				best = n
			}
		}
		if best == nil {
			return
		}
		t.start(now, best, false)
	}
}

// start begins a handshake. Where all places are taken the connection closes that has stood idle for longest.
func (t *Table) start(now time.Duration, n *Endpoint, ahead bool) {
	if t.open+t.opening >= t.set.MaxConnections {
		var oldest *Slot
		for _, o := range t.nodes {
			if len(o.idle) > 0 && (oldest == nil || o.idle[0].came < oldest.came || o.idle[0].came == oldest.came && o.ID < oldest.Endpoint.ID) {
				oldest = o.idle[0]
			}
		}
		t.close(oldest, CloseCapacity)
	}
	n.places++
	n.opening++
	t.opening++
	t.act(Action{Kind: Open, Slot: &Slot{Endpoint: n, opened: now, ahead: ahead}})
}
