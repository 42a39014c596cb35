package pool

import (
	"slices"
	"time"
)

// Waiter is a request that waits for a connection. It gets exactly one Grant or Reject, unless Cancel is called before.
type Waiter struct {
	endpoint      *Endpoint // nil if the request was rejected immediately
	nonIdempotent bool
	sequence      uint64      // order of arrival over all endpoints
	Result        chan Action // receives the Grant or Reject; has a buffer of one
}

// rejectedWaiter returns a waiter that is rejected immediately.
func (t *Table) rejectedWaiter(reason RejectReason) *Waiter {
	waiter := &Waiter{Result: make(chan Action, 1)}
	t.emit(Action{Kind: Reject, Waiter: waiter, RejectReason: reason})
	return waiter
}

// enqueue adds a waiter to the endpoint.
func (t *Table) enqueue(endpoint *Endpoint, nonIdempotent bool) *Waiter {
	waiter := &Waiter{endpoint: endpoint, nonIdempotent: nonIdempotent, sequence: t.nextSequence, Result: make(chan Action, 1)}
	t.nextSequence++
	endpoint.waiters = append(endpoint.waiters, waiter)
	t.waiting++
	return waiter
}

// dequeue removes a waiter from its endpoint.
func (t *Table) dequeue(waiter *Waiter) {
	if i := slices.Index(waiter.endpoint.waiters, waiter); i >= 0 {
		waiter.endpoint.waiters = slices.Delete(waiter.endpoint.waiters, i, i+1)
		t.waiting--
	}
}

// Cancel removes a waiter that has no result yet. It returns why there was none in time: handshakes with the endpoint fail or take
// too long, or the agent's limits left no connection for it.
func (t *Table) Cancel(waiter *Waiter) RejectReason {
	t.beginEvent()
	t.dequeue(waiter)
	t.stats.WaitTimedOut++
	if waiter.endpoint.handshakes > 0 || waiter.endpoint.failedHandshakes > 0 {
		return RejectConnectFailed
	}
	return RejectCapacity
}

// grantToWaiter grants an idle slot to the first waiter that may use it.
func (t *Table) grantToWaiter(now time.Duration, slot *Slot) {
	endpoint := slot.Endpoint
	for _, waiter := range endpoint.waiters {
		if waiter.nonIdempotent && endpoint.suspects.contains(slot) {
			continue
		}
		t.dequeue(waiter)
		t.grant(now, slot)
		t.emit(Action{Kind: Grant, Waiter: waiter, Slot: slot})
		return
	}
}

// mustYieldCapacity reports whether a freed connection of the endpoint must be closed for another endpoint, so that the last
// connections are shared. This is so if Settings.MaxConnections is reached, no connection is idle, and another endpoint has at
// least two connections fewer, more waiters than handshakes in progress, and a first waiter that arrived before the first waiter of
// this endpoint. The endpoint must have a waiter.
func (t *Table) mustYieldCapacity(endpoint *Endpoint) bool {
	if t.connectionCount() < t.settings.MaxConnections || t.idle > 0 {
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
		t.emit(Action{Kind: Reject, Waiter: waiter, RejectReason: reason})
	}
	endpoint.waiters = nil
}
