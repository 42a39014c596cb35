package agent

import (
	"time"

	"ryeweir/internal/fleetstate"
)

// recordOutcome records whether an endpoint was healthy in an attempt. Suspicions follow from these counts. The core calls it.
func (p *peers) recordOutcome(endpointID string, sentAt time.Duration, healthy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	endpoint, listed := p.endpoints[endpointID]
	if listed && sentAt >= endpoint.since { // an attempt sent before that went to the previous incarnation
		p.failures.AttemptEnded(incarnation(endpoint.Endpoint), healthy)
	}
}

// broadcastSuspicions tells peers at which endpoints this agent's attempts fail, and at which they no longer do.
func (p *peers) broadcastSuspicions() {
	if !p.settings.ShareFacts {
		return
	}
	now := time.Now()
	var suspicions []fleetstate.Fact
	p.mu.Lock()
	p.replica.Expire(now)
	for _, report := range p.failures.Reports(now, len(p.endpoints), fleetstate.DefaultLimits().SuspicionTTL) {
		key := fleetstate.Key{Kind: fleetstate.Suspicion, Server: report.Server, Started: report.Started, Origin: p.name}
		if fact, fresh := p.replica.Put(now, key, report.Failures, p.name); fresh {
			suspicions = append(suspicions, fact)
		}
	}
	p.mu.Unlock()
	p.member.Broadcast(suspicions)
}

// reportSuspected reports to the decision module which endpoints peers suspect, and which they no longer suspect. It reports a
// suspicion again at each call for as long as it holds, as the module expects.
func (p *peers) reportSuspected() {
	suspected := p.suspectedByPeers()
	for id := range p.reportedUnhealthy {
		if !suspected[id] {
			p.core.PeerReport(id, false)
		}
	}
	for id := range suspected {
		p.core.PeerReport(id, true)
	}
	p.reportedUnhealthy = suspected
}

// suspectedByPeers returns the IDs of the listed endpoints that peers suspect. This agent's own suspicions do not count, because the
// decision module already knows of its failed attempts.
func (p *peers) suspectedByPeers() map[string]bool {
	present := map[string]bool{}
	for _, name := range p.member.Peers() {
		present[name] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	suspected := map[string]bool{}
	for suspect := range p.replica.Suspected(time.Now(), present, len(p.endpoints)) {
		endpoint, listed := p.endpoints[suspect.Server]
		if listed && incarnation(endpoint.Endpoint) == suspect {
			suspected[endpoint.ID] = true
		}
	}
	return suspected
}
