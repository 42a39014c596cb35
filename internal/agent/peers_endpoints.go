package agent

import (
	"time"

	"ryeweir/internal/core"
	"ryeweir/internal/fleetstate"
	"ryeweir/logic"
)

// listedEndpoint is an endpoint as this agent's own list has it.
type listedEndpoint struct {
	core.Endpoint
	since time.Duration // when this incarnation was first listed, on the core's clock
}

// UpdateEndpoints takes in this agent's own endpoint list or a change of it. The core receives it with the drains that peers
// report, and peers receive what it says of drains and removals.
func (p *peers) UpdateEndpoints(list core.EndpointList) {
	p.updates.Lock()
	defer p.updates.Unlock()
	p.mu.Lock()
	notices := p.recordList(list)
	changed := p.updateOverlay()
	shown := core.EndpointList{Full: list.Full}
	for _, endpoint := range list.Endpoints {
		shown.Endpoints = append(shown.Endpoints, p.withOverlay(endpoint))
		delete(changed, endpoint.ID)
	}
	p.mu.Unlock()
	p.member.Broadcast(notices)
	p.core.UpdateEndpoints(shown)
	p.sendChanged(changed)
}

// DiscoveryUnavailable passes on that this agent's own endpoint list can't be had.
func (p *peers) DiscoveryUnavailable() { p.core.DiscoveryUnavailable() }

// recordList applies a list to p.endpoints and returns the notices of drains and removals that follow from it. p.mu is held.
func (p *peers) recordList(list core.EndpointList) (notices []fleetstate.Fact) {
	now := p.clock.Now()
	listed := map[string]bool{}
	for _, endpoint := range list.Endpoints {
		listed[endpoint.ID] = true
		notices = append(notices, p.recordEndpoint(endpoint, now)...)
	}
	if !list.Full {
		return notices
	}
	for id, previous := range p.endpoints {
		if !listed[id] {
			notices = append(notices, p.notice(previous.Endpoint, fleetstate.Removed)...)
			delete(p.endpoints, id)
		}
	}
	return notices
}

// recordEndpoint applies one entry of a list and returns the notices that follow from it. p.mu is held.
func (p *peers) recordEndpoint(endpoint core.Endpoint, now time.Duration) (notices []fleetstate.Fact) {
	previous, known := p.endpoints[endpoint.ID]
	entry := listedEndpoint{endpoint, now}
	switch {
	case known && incarnation(previous.Endpoint) == incarnation(endpoint):
		entry.since = previous.since
	case known && endpoint.StartedAt > previous.StartedAt:
		// A peer that does not know of the restart takes the new process, which is in slow start, for the one before.
		notices = p.notice(previous.Endpoint, fleetstate.Removed)
	}
	switch endpoint.State {
	case logic.Removed:
		if known {
			notices = append(notices, p.notice(previous.Endpoint, fleetstate.Removed)...)
		}
		delete(p.endpoints, endpoint.ID)
		return notices
	case logic.Draining:
		notices = append(notices, p.notice(endpoint, fleetstate.Draining)...)
	}
	p.endpoints[endpoint.ID] = entry
	return notices
}

// notice adds to the replica that an endpoint is draining or removed, and returns the fact if it is new. p.mu is held.
func (p *peers) notice(endpoint core.Endpoint, state int64) []fleetstate.Fact {
	if !p.settings.ShareFacts {
		return nil
	}
	key := fleetstate.Key{Kind: fleetstate.Notice, Server: endpoint.ID, Started: endpoint.StartedUnixMilli, Origin: p.name}
	if fact, fresh := p.replica.Put(time.Now(), key, state, p.name); fresh {
		return []fleetstate.Fact{fact}
	}
	return nil
}

// withOverlay returns an endpoint of the own list as the core is to see it. p.mu is held.
func (p *peers) withOverlay(endpoint core.Endpoint) core.Endpoint {
	if endpoint.State == logic.Ready && p.overlay.Drained(incarnation(endpoint)) {
		endpoint.State = logic.Draining
	}
	return endpoint
}

// updateOverlay recomputes which endpoints are drained by the report of peers, and returns those of which that has changed. p.mu
// is held.
func (p *peers) updateOverlay() map[string]core.Endpoint {
	ready, before := map[fleetstate.Incarnation]bool{}, map[string]bool{}
	for id, endpoint := range p.endpoints {
		if endpoint.State == logic.Ready {
			ready[incarnation(endpoint.Endpoint)] = true
			before[id] = p.overlay.Drained(incarnation(endpoint.Endpoint))
		}
	}
	now := time.Now()
	if _, differs := p.overlay.Update(now, ready, p.replica.ConfirmedNotices(now)); !differs {
		return nil
	}
	changed := map[string]core.Endpoint{}
	for id, wasDrained := range before {
		endpoint := p.endpoints[id].Endpoint
		drained := p.overlay.Drained(incarnation(endpoint))
		if drained == wasDrained {
			continue
		}
		changed[id] = endpoint
		if drained {
			p.drainedEarly++
		}
	}
	return changed
}

// refreshOverlay applies to the core what has changed in the report of peers.
func (p *peers) refreshOverlay() {
	p.updates.Lock()
	defer p.updates.Unlock()
	p.mu.Lock()
	changed := p.updateOverlay()
	p.mu.Unlock()
	p.sendChanged(changed)
}

// sendChanged sends the core a change of the endpoints whose overlay has changed. p.updates is held.
func (p *peers) sendChanged(changed map[string]core.Endpoint) {
	if len(changed) == 0 {
		return
	}
	var list core.EndpointList
	p.mu.Lock()
	for _, endpoint := range changed {
		list.Endpoints = append(list.Endpoints, p.withOverlay(endpoint))
	}
	p.mu.Unlock()
	p.core.UpdateEndpoints(list)
}
