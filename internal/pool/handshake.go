package pool

import "time"

// failedHandshakeDivisor reduces the concurrent handshakes with an endpoint whose last handshake failed. Without it an endpoint
// that does not respond would use up the handshakes that other endpoints need.
const failedHandshakeDivisor = 4

// canStartHandshake reports whether a handshake with the endpoint may start now, if necessary by closing an idle connection.
func (t *Table) canStartHandshake(endpoint *Endpoint) bool {
	switch {
	case !endpoint.ready:
		return false
	case endpoint.connections >= t.settings.MaxPerEndpoint:
		return false
	case endpoint.handshakes >= t.maxHandshakes(endpoint), t.opening >= t.settings.MaxHandshakes:
		return false
	}
	return t.connectionCount() < t.settings.MaxConnections || t.idle > 0
}

// maxHandshakes returns how many handshakes with the endpoint may be in progress at a time.
func (t *Table) maxHandshakes(endpoint *Endpoint) int {
	if endpoint.failedHandshakes > 0 {
		return max(1, t.settings.MaxHandshakesPerEndpoint/failedHandshakeDivisor)
	}
	return t.settings.MaxHandshakesPerEndpoint
}

// startHandshakes starts handshakes for waiters that have none in progress, as far as the limits allow.
func (t *Table) startHandshakes(now time.Duration) {
	for t.waiting > 0 {
		endpoint := t.nextToConnect()
		if endpoint == nil {
			return
		}
		t.startHandshake(now, endpoint, false)
	}
}

// nextToConnect returns the endpoint that gets the next handshake, or nil if none may: the one with the fewest connections and,
// among equals, the one whose first waiter arrived earliest.
func (t *Table) nextToConnect() *Endpoint {
	var best *Endpoint
	for _, endpoint := range t.endpoints {
		if len(endpoint.waiters) <= endpoint.handshakes+endpoint.awaitedInQuarantine || !t.canStartHandshake(endpoint) {
			continue
		}
		if best == nil || endpoint.connections < best.connections ||
			endpoint.connections == best.connections && endpoint.waiters[0].sequence < best.waiters[0].sequence {
			best = endpoint
		}
	}
	return best
}

// startHandshake starts a handshake. At Settings.MaxConnections it first closes the connection that has been idle longest.
func (t *Table) startHandshake(now time.Duration, endpoint *Endpoint, preopened bool) {
	if t.connectionCount() >= t.settings.MaxConnections {
		t.close(t.leastRecentlyUsedIdle(), CloseCapacity)
	}
	endpoint.connections++
	endpoint.handshakes++
	t.opening++
	t.emit(Action{Kind: Open, Slot: &Slot{Endpoint: endpoint, openedAt: now, preopened: preopened}})
}

// leastRecentlyUsedIdle returns the slot that has been idle longest and, among equals, the one whose endpoint has the lowest ID. At
// least one slot must be idle.
func (t *Table) leastRecentlyUsedIdle() *Slot {
	var longest *Slot
	for _, endpoint := range t.endpoints {
		if len(endpoint.idle) == 0 {
			continue
		}
		slot := endpoint.idle[0]
		if longest == nil || slot.idleSince < longest.idleSince ||
			slot.idleSince == longest.idleSince && endpoint.ID < longest.Endpoint.ID {
			longest = slot
		}
	}
	return longest
}

// HandshakeSucceeded is the event of a successful handshake. The slot goes to the first waiter that may use it, which need not be
// the one for which the handshake was started.
func (t *Table) HandshakeSucceeded(now time.Duration, slot *Slot) []Action {
	t.beginEvent()
	endpoint := slot.Endpoint
	t.opening--
	endpoint.handshakes--
	t.open++
	endpoint.demand.recordHandshake((now - slot.openedAt).Seconds())
	endpoint.failedHandshakes = 0
	slot.openedAt, slot.lastSuccessAt = now, now
	if t.settings.MaxAge > 0 {
		slot.expiresAt = now + time.Duration(float64(t.settings.MaxAge)*(1-t.settings.AgeJitter*t.rng.Float64()))
	}
	t.stats.Opened++
	t.makeIdle(now, slot, now)
	t.startHandshakes(now)
	return t.actions
}

// HandshakeFailed is the event of a failed handshake. localError means that the agent lacked a resource or permission, which is no
// evidence against the endpoint. Unless the connection was to be opened in advance, the first waiter is rejected: the balancer learns
// of the failure only through a rejected request.
func (t *Table) HandshakeFailed(now time.Duration, slot *Slot, localError bool) []Action {
	t.beginEvent()
	endpoint := slot.Endpoint
	t.opening--
	endpoint.handshakes--
	reason := RejectCapacity
	if !localError {
		reason = RejectConnectFailed
		endpoint.failedHandshakes++
	}
	t.connectionGone(endpoint)
	t.stats.OpenFailed++
	if !slot.preopened && len(endpoint.waiters) > 0 {
		first := endpoint.waiters[0]
		t.dequeue(first)
		t.emit(Action{Kind: Reject, Waiter: first, RejectReason: reason})
	}
	t.startHandshakes(now)
	return t.actions
}
