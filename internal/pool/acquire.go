package pool

import "time"

// lowPriorityReserve is the divisor of Settings.MaxConnections that gives the reserve which low-priority use leaves free: a tenth.
const lowPriorityReserve = 10

// Acquire requests a connection to the endpoint for one request. It returns either a slot or a waiter; a waiter for an endpoint
// that is not ready, or one above Settings.MaxWaiters, is rejected at once. A nonIdempotent request must not be repeated: it gets
// no suspect connection, and gets one that the endpoint may be closing only if no idle one is safer and no handshake can start.
func (t *Table) Acquire(now time.Duration, endpoint *Endpoint, nonIdempotent bool) (*Slot, *Waiter, []Action) {
	t.beginEvent()
	if endpoint == nil || !endpoint.ready {
		waiter := t.rejectedWaiter(RejectNotReady)
		return nil, waiter, t.actions
	}
	endpoint.demand.recordRequest(now)
	if slot := t.pickIdle(now, endpoint, nonIdempotent); slot != nil {
		t.grant(now, slot)
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

// AllowsLowPriority reports whether use that must not compete with requests, such as a health check, may get a connection to the
// endpoint. It may if no request waits, and either the endpoint has an idle connection or more than a tenth of
// Settings.MaxConnections is free.
func (t *Table) AllowsLowPriority(endpoint *Endpoint) bool {
	if t.waiting > 0 {
		return false
	}
	hasIdle := endpoint != nil && len(endpoint.idle) > 0
	return hasIdle || lowPriorityReserve*t.connectionCount() < (lowPriorityReserve-1)*t.settings.MaxConnections
}

// pickIdle returns the idle slot for a request, or nil if there is none or a new connection should be opened instead. It closes the
// expired slots that it finds. A non-idempotent request gets a slot that exceeds the idle limit for such requests only if no
// handshake can start.
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
		if nonIdempotent && endpoint.suspects.contains(slot) {
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
		if t.settings.ReuseOrder == MostRecentlyUsed && t.suspectsExpired(now, endpoint) {
			break // the iteration starts at the most recently used slot
		}
	}
	if best == nil && !t.canStartHandshake(endpoint) {
		return fallback
	}
	return best
}

// preferred reports whether slot is reused before other. A suspect slot goes first, with a request that may be repeated, so that it
// is soon either known to work or closed.
func (t *Table) preferred(slot, other *Slot) bool {
	suspect, otherSuspect := slot.Endpoint.suspects.contains(slot), other.Endpoint.suspects.contains(other)
	if suspect != otherSuspect {
		return suspect
	}
	switch t.settings.ReuseOrder {
	case LeastRecentlyUsed:
		return slot.idleSince < other.idleSince || slot.idleSince == other.idleSince && slot.openedAt < other.openedAt
	case FewestRequests:
		return slot.requests < other.requests
	}
	return false // the iteration starts at the most recently used slot
}

// suspectsExpired reports whether every connection that was suspect must have expired by now.
func (t *Table) suspectsExpired(now time.Duration, endpoint *Endpoint) bool {
	return now-endpoint.suspects.since > t.settings.configuredIdleLimit()
}

// expired reports whether an idle slot must not be reused, and why.
func (t *Table) expired(now time.Duration, slot *Slot) (CloseReason, bool) {
	endpoint := slot.Endpoint
	switch {
	case t.settings.CloseSuspect && endpoint.suspects.contains(slot):
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

// grant marks an idle slot as in use by a request.
func (t *Table) grant(now time.Duration, slot *Slot) {
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

// DiscardStale closes a slot that was granted but cannot be used, because the endpoint closed it or it has unexpected bytes to
// read.
func (t *Table) DiscardStale(now time.Duration, slot *Slot) []Action {
	t.beginEvent()
	slot.requests--
	slot.Endpoint.idleLimit.recordClose(&t.settings, now, slot.idleFor)
	t.close(slot, CloseStale)
	t.startHandshakes(now)
	return t.actions
}
