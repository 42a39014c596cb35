package logic

// Gossip ejects endpoints because other balancers report them as unhealthy. Without it, each balancer has
// to detect a failing endpoint itself, and all of them test a dead endpoint again and again. Reports of
// peers never override this balancer's own observations: an ejection of its own, a half-open test, or a
// response within the last horizon.

// handlePeerReport ejects an endpoint that peers report as unhealthy, for one horizon from each report, and
// readmits it when they no longer do.
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
