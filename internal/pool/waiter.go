package pool

import (
	"slices"
	"time"
)

// Waiter is a request that waits for a connection. It gets one Grant or one Reject, unless Cancel comes before.
type Waiter struct {
	endpoint      *Endpoint // nil if it was rejected at once
	nonIdempotent bool
	sequence      uint64      // order of arrival over all endpoints
	Result        chan Action // holds one: a Grant or a Reject
}

// rejectedWaiter returns a waiter that has its result.
func (t *Table) rejectedWaiter(reason RejectReason) *Waiter {
	waiter := &Waiter{Result: make(chan Action, 1)}
	t.act(Action{Kind: Reject, Waiter: waiter, RejectReason: reason})
	return waiter
}

// enqueue adds a waiter for a connection to the endpoint.
func (t *Table) enqueue(endpoint *Endpoint, nonIdempotent bool) *Waiter {
	waiter := &Waiter{endpoint: endpoint, nonIdempotent: nonIdempotent, sequence: t.nextSequence, Result: make(chan Action, 1)}
	t.nextSequence++
	endpoint.waiters = append(endpoint.waiters, waiter)
	t.waiting++
	return waiter
}

// dequeue removes a waiter.
func (t *Table) dequeue(waiter *Waiter) {
	if i := slices.Index(waiter.endpoint.waiters, waiter); i >= 0 {
		waiter.endpoint.waiters = slices.Delete(waiter.endpoint.waiters, i, i+1)
		t.waiting--
	}
}

// Cancel removes a waiter that has no result so far. It returns why there was none in time: the endpoint's handshakes fail or
// take too long, or there was no place.
func (t *Table) Cancel(waiter *Waiter) RejectReason {
	t.begin()
	t.dequeue(waiter)
	t.stats.WaitTimedOut++
	if waiter.endpoint.handshakes > 0 || waiter.endpoint.failedHandshakes > 0 {
		return RejectConnectFailed
	}
	return RejectCapacity
}

// grantToWaiter gives an idle slot to the first waiter that may have it.
func (t *Table) grantToWaiter(now time.Duration, slot *Slot) {
	endpoint := slot.Endpoint
	for _, waiter := range endpoint.waiters {
		if waiter.nonIdempotent && endpoint.suspicion.covers(slot) {
			continue
		}
		t.dequeue(waiter)
		t.take(now, slot)
		t.act(Action{Kind: Grant, Waiter: waiter, Slot: slot})
		return
	}
}

// mustYieldPlace reports whether the endpoint is to give up a place, so that the last places are shared: all are taken and none
// is idle, and another endpoint has fewer connections, a waiter without a handshake, and that waiter came first.
func (t *Table) mustYieldPlace(endpoint *Endpoint) bool {
	if t.places() < t.settings.MaxConnections || t.idle > 0 {
		return false
	}
	for _, other := range t.endpoints {
		if other != endpoint && len(other.waiters) > other.handshakes && other.connections+1 < endpoint.connections &&
			other.waiters[0].sequence < endpoint.waiters[0].sequence {
			return true
		}
	}
	return false
}

// rejectWaiters rejects all waiters of an endpoint.
func (t *Table) rejectWaiters(endpoint *Endpoint, reason RejectReason) {
	t.waiting -= len(endpoint.waiters)
	for _, waiter := range endpoint.waiters {
		t.act(Action{Kind: Reject, Waiter: waiter, RejectReason: reason})
	}
	endpoint.waiters = nil
}
