package pool

import (
	"slices"
	"time"
)

// Release takes back a slot after its exchange. outcome says in which state the exchange left it.
func (t *Table) Release(now time.Duration, slot *Slot, outcome ReleaseOutcome) []Action {
	t.beginEvent()
	endpoint := slot.Endpoint
	switch outcome {
	case Reusable:
		slot.lastSuccessAt, slot.answeredAt = now, now
		endpoint.suspects.recordSuccess()
		endpoint.idleLimit.recordSurvival(&t.settings, now, slot.idleFor)
		t.makeIdle(now, slot, now)
	case Unused:
		slot.requests--
		t.makeIdle(now, slot, slot.idleSince) // nothing was written, so its idle time continues
	case MustClose:
		t.close(slot, CloseAge)
	case ClosedByServer:
		endpoint.idleLimit.recordClose(&t.settings, now, slot.idleFor)
		t.close(slot, CloseCrossed)
		t.suspectAll(now, endpoint)
	case Abandoned:
		t.close(slot, CloseBroken)
	case Broken:
		t.close(slot, CloseBroken)
		if endpoint.suspects.recordFailure(&t.settings, now) {
			t.suspectAll(now, endpoint)
		}
	}
	t.startHandshakes(now)
	return t.actions
}

// makeIdle makes an open slot available to a waiter or a later request, or closes it if it must not be reused. idleSince is the
// time since which the slot has been idle.
func (t *Table) makeIdle(now time.Duration, slot *Slot, idleSince time.Duration) {
	slot.idleSince = idleSince
	if reason, unusable := t.unusable(now, slot); unusable {
		t.close(slot, reason)
		return
	}
	t.insertIdle(slot)
	if t.inQuarantine(now, slot) {
		t.awaitQuarantined(now, slot.Endpoint)
		return
	}
	t.grantToWaiter(now, slot)
}

// unusable reports whether a slot that has become free must be closed, and why.
func (t *Table) unusable(now time.Duration, slot *Slot) (CloseReason, bool) {
	endpoint := slot.Endpoint
	if !endpoint.ready {
		return CloseRetired, true
	}
	if reason, expired := t.expired(now, slot); expired {
		return reason, true
	}
	overLimit := t.connectionCount() > t.settings.MaxConnections || endpoint.connections > t.settings.MaxPerEndpoint
	if overLimit || len(endpoint.waiters) > 0 && t.mustYieldCapacity(endpoint) {
		return CloseCapacity, true
	}
	return 0, false
}

// insertIdle inserts a slot into the idle list of its endpoint, which is ordered by idleSince. It goes after slots with the same
// time.
func (t *Table) insertIdle(slot *Slot) {
	endpoint := slot.Endpoint
	at, _ := slices.BinarySearchFunc(endpoint.idle, slot.idleSince, func(other *Slot, idleSince time.Duration) int {
		if other.idleSince <= idleSince {
			return -1
		}
		return 1
	})
	endpoint.idle = slices.Insert(endpoint.idle, at, slot)
	slot.inIdleList = true
	t.idle++
}

// removeIdle removes a slot from the idle list if it is in the list.
func (t *Table) removeIdle(slot *Slot) {
	if !slot.inIdleList {
		return
	}
	slot.inIdleList = false
	t.stopAwaiting(slot)
	t.idle--
	endpoint := slot.Endpoint
	i := slices.Index(endpoint.idle, slot)
	endpoint.idle = slices.Delete(endpoint.idle, i, i+1)
}

// close closes an open slot, idle or in use.
func (t *Table) close(slot *Slot, reason CloseReason) {
	t.removeIdle(slot)
	t.open--
	t.stats.Closed[reason]++
	if slot.preopened {
		t.stats.PreopenedWasted++
	}
	t.connectionGone(slot.Endpoint)
	t.emit(Action{Kind: Close, Slot: slot, CloseReason: reason})
}

// closeIdle closes all idle slots of an endpoint.
func (t *Table) closeIdle(endpoint *Endpoint, reason CloseReason) {
	for len(endpoint.idle) > 0 {
		t.close(endpoint.idle[len(endpoint.idle)-1], reason)
	}
}

// connectionGone updates the endpoint after one of its slots was closed or failed to open.
func (t *Table) connectionGone(endpoint *Endpoint) {
	endpoint.connections--
	t.removeIfUnused(endpoint)
}
