package agent

import (
	"time"

	"ryeweir/internal/core"
	"ryeweir/internal/fleetstate"
	"ryeweir/logic"
)

// listedEndpoint is an endpoint as in this agent's own list.
type listedEndpoint struct {
	core.Endpoint
	since time.Duration // when this incarnation was first listed, on the core's clock
}

// UpdateEndpoints applies an endpoint list of this agent's own discovery, or a change of it. It passes the list on to the core with
// the drains that peers report, and sends peers notices of the drains and removals in the list. The discovery client calls it.
func (p *peers) UpdateEndpoints(list core.EndpointList) {
	p.updates.Lock()
	defer p.updates.Unlock()
	p.mu.Lock()
	notices := p.recordList(list)
	changed := p.updateOverlay()
	overlaid := core.EndpointList{Full: list.Full}
	for _, endpoint := range list.Endpoints {
		overlaid.Endpoints = append(overlaid.Endpoints, p.withOverlay(endpoint))
		delete(changed, endpoint.ID)
	}
	p.mu.Unlock()
	p.member.Broadcast(notices)
	p.core.UpdateEndpoints(overlaid)
	p.sendChanged(changed)
}

// DiscoveryUnavailable tells the core that discovery can't deliver this agent's own endpoint list.
func (p *peers) DiscoveryUnavailable() { p.core.DiscoveryUnavailable() }

// recordList applies a list to p.endpoints and returns new notices of the drains and removals in it. The caller holds p.mu.
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
			notices = append(notices, p.putNotice(previous.Endpoint, fleetstate.Removed)...)
			delete(p.endpoints, id)
		}
	}
	return notices
}

// recordEndpoint applies one entry of a list to p.endpoints and returns new notices of a drain or removal. The caller holds p.mu.
func (p *peers) recordEndpoint(endpoint core.Endpoint, now time.Duration) (notices []fleetstate.Fact) {
	previous, known := p.endpoints[endpoint.ID]
	entry := listedEndpoint{endpoint, now}
	switch {
	case known && incarnation(previous.Endpoint) == incarnation(endpoint):
		entry.since = previous.since
	case known && endpoint.StartedAt > previous.StartedAt:
		// The endpoint has restarted. A peer that does not know of it would take the new process, which is in slow start, for the
		// previous one.
		notices = p.putNotice(previous.Endpoint, fleetstate.Removed)
	}
	switch endpoint.State {
	case logic.Removed:
		if known {
			notices = append(notices, p.putNotice(previous.Endpoint, fleetstate.Removed)...)
		}
		delete(p.endpoints, endpoint.ID)
		return notices
	case logic.Draining:
		notices = append(notices, p.putNotice(endpoint, fleetstate.Draining)...)
	}
	p.endpoints[endpoint.ID] = entry
	return notices
}

// putNotice adds to the replica a notice that an endpoint is draining or removed, and returns it if it is new. The caller holds p.mu.
func (p *peers) putNotice(endpoint core.Endpoint, state int64) []fleetstate.Fact {
	if !p.settings.ShareFacts {
		return nil
	}
	key := fleetstate.Key{Kind: fleetstate.Notice, Server: endpoint.ID, Started: endpoint.StartedUnixMilli, Origin: p.name}
	if fact, fresh := p.replica.Put(time.Now(), key, state, p.name); fresh {
		return []fleetstate.Fact{fact}
	}
	return nil
}

// withOverlay returns an endpoint of this agent's own list as the core receives it: draining if the list has it as ready and
// peers report that it is draining or removed. The caller holds p.mu.
func (p *peers) withOverlay(endpoint core.Endpoint) core.Endpoint {
	if endpoint.State == logic.Ready && p.overlay.Drained(incarnation(endpoint)) {
		endpoint.State = logic.Draining
	}
	return endpoint
}

// updateOverlay recomputes which endpoints the core receives as draining because peers report a drain or removal. It returns those for
// which that has changed, with the state that they have in this agent's own list. The caller holds p.mu.
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

// refreshOverlay updates the overlay of drains and sends the core the endpoints for which it has changed.
func (p *peers) refreshOverlay() {
	p.updates.Lock()
	defer p.updates.Unlock()
	p.mu.Lock()
	changed := p.updateOverlay()
	p.mu.Unlock()
	p.sendChanged(changed)
}

// sendChanged sends the core these endpoints with the overlay of drains applied. The caller holds p.updates.
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
