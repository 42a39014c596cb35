package pool

import "time"

// failedHandshakeDivisor reduces the concurrent handshakes with an endpoint whose latest one failed: an endpoint that does not
// answer would else take the handshakes that others need.
const failedHandshakeDivisor = 4

// canStartHandshake reports whether a handshake with the endpoint may begin now, if need be in the place of an idle connection.
func (t *Table) canStartHandshake(endpoint *Endpoint) bool {
	switch {
	case !endpoint.ready:
		return false
	case endpoint.connections >= t.settings.MaxPerEndpoint:
		return false
	case endpoint.handshakes >= t.maxHandshakes(endpoint), t.opening >= t.settings.MaxHandshakes:
		return false
	}
	return t.places() < t.settings.MaxConnections || t.idle > 0
}

// maxHandshakes is how many handshakes with the endpoint may be under way.
func (t *Table) maxHandshakes(endpoint *Endpoint) int {
	if endpoint.failedHandshakes > 0 {
		return max(1, t.settings.MaxHandshakesPerEndpoint/failedHandshakeDivisor)
	}
	return t.settings.MaxHandshakesPerEndpoint
}

// startHandshakes begins handshakes for the waiters that have none under way.
func (t *Table) startHandshakes(now time.Duration) {
	for t.waiting > 0 {
		endpoint := t.nextToConnect()
		if endpoint == nil {
			return
		}
		t.startHandshake(now, endpoint, false)
	}
}

// nextToConnect is the endpoint that gets the next handshake, or nil: the one with the fewest connections, and of equals the
// one whose first waiter came first.
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

// startHandshake begins a handshake. If all places are taken, the connection that has been idle for longest is closed for it.
func (t *Table) startHandshake(now time.Duration, endpoint *Endpoint, preopened bool) {
	if t.places() >= t.settings.MaxConnections {
		t.close(t.longestIdle(), CloseCapacity)
	}
	endpoint.connections++
	endpoint.handshakes++
	t.opening++
	t.act(Action{Kind: Open, Slot: &Slot{Endpoint: endpoint, openedAt: now, preopened: preopened}})
}

// longestIdle is the slot that has been idle for longest, and of equals the one whose endpoint's ID comes first. At least one
// must be idle.
func (t *Table) longestIdle() *Slot {
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

// HandshakeSucceeded is the event of a handshake that succeeded. The slot goes to the first waiter, which need not be the one that the
// handshake was begun for.
func (t *Table) HandshakeSucceeded(now time.Duration, slot *Slot) []Action {
	t.begin()
	endpoint := slot.Endpoint
	t.opening--
	endpoint.handshakes--
	t.open++
	endpoint.demand.recordHandshake((now - slot.openedAt).Seconds())
	endpoint.failedHandshakes = 0
	slot.openedAt, slot.provenAt = now, now
	if t.settings.MaxAge > 0 {
		slot.expiresAt = now + time.Duration(float64(t.settings.MaxAge)*(1-t.settings.AgeJitter*t.rng.Float64()))
	}
	t.stats.Opened++
	t.makeIdle(now, slot, now)
	t.startHandshakes(now)
	return t.actions
}

// HandshakeFailed is the event of a handshake that failed. localCause says that the agent lacked a resource, which is no evidence
// against the endpoint. The first waiter is rejected, since a failure that no waiter saw would go unnoticed by the balancer.
func (t *Table) HandshakeFailed(now time.Duration, slot *Slot, localCause bool) []Action {
	t.begin()
	endpoint := slot.Endpoint
	t.opening--
	endpoint.handshakes--
	reason := RejectCapacity
	if !localCause {
		reason = RejectConnectFailed
		endpoint.failedHandshakes++
	}
	t.freePlace(endpoint)
	t.stats.OpenFailed++
	if !slot.preopened && len(endpoint.waiters) > 0 {
		first := endpoint.waiters[0]
		t.dequeue(first)
		t.act(Action{Kind: Reject, Waiter: first, RejectReason: reason})
	}
	t.startHandshakes(now)
	return t.actions
}
