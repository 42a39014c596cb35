package pool

import "time"

// lowPriorityReserve is the divisor of the places that low-priority use leaves free: a tenth.
const lowPriorityReserve = 10

// Acquire asks for a connection to the endpoint for one request. It returns a slot, or else a waiter that has or will get a
// result. nonIdempotent is a request that must not be repeated: it gets no connection that the endpoint may be closing as long as
// another can be had, and no suspect one.
func (t *Table) Acquire(now time.Duration, endpoint *Endpoint, nonIdempotent bool) (*Slot, *Waiter, []Action) {
	t.begin()
	if endpoint == nil || !endpoint.ready {
		waiter := t.rejectedWaiter(RejectNotReady)
		return nil, waiter, t.actions
	}
	endpoint.demand.recordRequest(now)
	if slot := t.pickIdle(now, endpoint, nonIdempotent); slot != nil {
		t.take(now, slot)
		t.preopen(now, endpoint)
		return slot, nil, t.actions
	}
	if t.waiting >= t.settings.MaxWaiters {
		t.stats.Rejected++
		waiter := t.rejectedWaiter(RejectCapacity)
		return nil, waiter, t.actions
	}
	waiter := t.enqueue(endpoint, nonIdempotent)
	t.awaitQuarantined(now, endpoint)
	openingBefore := t.opening
	t.startHandshakes(now)
	if t.opening == openingBefore {
		t.stats.Waited++
	}
	return nil, waiter, t.actions
}

// AllowsLowPriority reports whether use that must not compete with requests, such as a health check, may have a connection to
// the endpoint: nothing waits, and one is idle there or a tenth of all places is free.
func (t *Table) AllowsLowPriority(endpoint *Endpoint) bool {
	if t.waiting > 0 {
		return false
	}
	hasIdle := endpoint != nil && len(endpoint.idle) > 0
	return hasIdle || lowPriorityReserve*t.places() < (lowPriorityReserve-1)*t.settings.MaxConnections
}

// pickIdle returns the idle slot for a request, or nil: then a new connection can be had, or none is idle. It closes expired slots
// on its way. A non-idempotent request gets a slot that is past its own idle limit only where no handshake can begin.
func (t *Table) pickIdle(now time.Duration, endpoint *Endpoint, nonIdempotent bool) *Slot {
	var best, fallback *Slot
	for i := len(endpoint.idle) - 1; i >= 0; i-- {
		slot := endpoint.idle[i]
		if slot.awaitedInQuarantine || t.inQuarantine(now, slot) {
			continue
		}
		if reason, expired := t.expired(now, slot); expired {
			t.close(slot, reason)
			continue
		}
		if nonIdempotent && endpoint.suspicion.covers(slot) {
			continue
		}
		if nonIdempotent && now-slot.idleSince > endpoint.idleLimit.forNonIdempotent(&t.settings, now) {
			if fallback == nil || slot.idleSince > fallback.idleSince {
				fallback = slot
			}
			continue
		}
		if best == nil || t.preferred(slot, best) {
			best = slot
		}
		if t.settings.ReuseOrder == MostRecentlyUsed && t.noneSuspect(now, endpoint) {
			break // the walk began at the most recently used
		}
	}
	if best == nil && !t.canStartHandshake(endpoint) {
		return fallback
	}
	return best
}

// preferred reports whether slot is used before other. A suspect one goes first, with a request that may be repeated, so that it
// is proven or closed.
func (t *Table) preferred(slot, other *Slot) bool {
	suspect, otherSuspect := slot.Endpoint.suspicion.covers(slot), other.Endpoint.suspicion.covers(other)
	if suspect != otherSuspect {
		return suspect
	}
	switch t.settings.ReuseOrder {
	case LeastRecentlyUsed:
		return slot.idleSince < other.idleSince || slot.idleSince == other.idleSince && slot.openedAt < other.openedAt
	case FewestRequests:
		return slot.requests < other.requests
	}
	return false // the walk begins at the most recently used
}

// noneSuspect reports whether all suspect connections of the endpoint must have expired by now.
func (t *Table) noneSuspect(now time.Duration, endpoint *Endpoint) bool {
	return now-endpoint.suspicion.since > t.settings.configuredIdleLimit()
}

// expired reports whether an idle slot must not be used again, and why.
func (t *Table) expired(now time.Duration, slot *Slot) (CloseReason, bool) {
	endpoint := slot.Endpoint
	switch {
	case t.settings.CloseSuspect && endpoint.suspicion.covers(slot):
		return CloseSuspected, true
	case now-slot.idleSince >= endpoint.idleLimit.current(&t.settings, now):
		return CloseIdle, true
	case slot.expiresAt > 0 && now >= slot.expiresAt:
		return CloseAge, true
	case t.settings.MaxRequests > 0 && slot.requests >= t.settings.MaxRequests:
		return CloseAge, true
	}
	return 0, false
}

// take grants an idle slot to a request.
func (t *Table) take(now time.Duration, slot *Slot) {
	t.removeIdle(slot)
	slot.idleFor = now - slot.idleSince
	if slot.requests > 0 {
		t.stats.Reused++
	}
	if slot.preopened {
		slot.preopened = false
		t.stats.PreopenedUsed++
	}
	slot.requests++
}

// DiscardStale closes a slot that was just granted and can't be used: the endpoint closed it, or it has unexpected bytes to read.
func (t *Table) DiscardStale(now time.Duration, slot *Slot) []Action {
	t.begin()
	slot.requests--
	slot.Endpoint.idleLimit.recordClose(&t.settings, now, slot.idleFor)
	t.close(slot, CloseStale)
	t.startHandshakes(now)
	return t.actions
}
