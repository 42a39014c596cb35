package logic

// Gossip: ejection on the reports of other balancers. Without it each balancer finds out by itself that an
// endpoint fails, and all of them test a dead one again and again. It overrules nothing that this balancer
// has seen itself: not an ejection of its own, not a half-open test, not an answer within the last horizon.

// handlePeerReport ejects an endpoint that peers report, for one horizon from each report, and readmits it
// when they no longer do.
func (b *Balancer) handlePeerReport(report PeerReport) {
	e := b.endpoints.byID[report.Endpoint]
	if e == nil {
		return
	}
	switch e.health.state {
	case healthy:
		if report.Unhealthy && b.now-e.lastSeen > b.horizon {
			e.health.ejectByGossip(b.now + b.horizon)
		}
	case ejectedByGossip:
		if report.Unhealthy {
			e.health.ejectByGossip(b.now + b.horizon)
		} else {
			e.health.readmit()
		}
	}
}
