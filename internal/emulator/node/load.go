package node

import (
	"slices"
	"time"
)

// LoadReport is a report as a probe sees it.
type LoadReport struct {
	Taken       time.Duration // when it was read
	Rate        float64       // requests done a second
	Utilization float64       // share of its cores in use
}

// onTick is taken at every tick: at the load, the pressure, and what is due in a report.
func (n *Node) onTick() {
	span := (n.now - n.lastTick).Seconds()
	n.lastTick = n.now
	use := n.tickCoreSeconds / span / float64(n.Cores) // over the whole tick: at its end a slot may just be free
	n.tickCoreSeconds = 0
	n.smoothedUtilization += min(1, span/0.5) * (use - n.smoothedUtilization)
	for len(n.recentRejections) > 0 && n.recentRejections[0] <= n.now-time.Second {
		n.recentRejections = n.recentRejections[1:]
	}
	n.updateDegradation()
	n.takeReading()
}

// updateDegradation follows a choke: pressure for long enough begins it, rest for long enough ends it. What is turned away presses,
// too: otherwise a short queue could never choke, whatever is sent.
func (n *Node) updateDegradation() {
	if n.Degradation.QueuePerCore == 0 {
		return
	}
	waiting := float64(len(n.queue)+len(n.recentRejections)) / float64(n.Cores)
	trackSince(&n.overloadedSince, n.now, waiting >= n.Degradation.QueuePerCore)
	trackSince(&n.idleSince, n.now, n.smoothedUtilization < n.Degradation.RecoveryUtilization)
	switch {
	case n.degradedSince < 0 && n.overloadedSince >= 0 && n.now-n.overloadedSince >= n.Degradation.After:
		n.degradedSince = n.now
		n.figures.Degradations++
	case n.degradedSince >= 0 && (n.idleSince >= 0 && n.now-n.idleSince >= n.Degradation.RecoveryTime || n.now-n.degradedSince >= n.Degradation.MaxDuration):
		n.degradedSince, n.overloadedSince = -1, -1
	}
}

// trackSince keeps the time from which something has held; below 0 when it does not.
func trackSince(at *time.Duration, now time.Duration, holds bool) {
	switch {
	case !holds:
		*at = -1
	case *at < 0:
		*at = now
	}
}

// takeReading takes a reading when one is due, with its noise, and lets those be seen whose delay is over.
func (n *Node) takeReading() {
	if n.LoadReporting.Period <= 0 {
		return
	}
	for len(n.pendingReadings) > 0 && n.pendingReadings[0].visibleAt <= n.now {
		n.visibleReading, n.pendingReadings = n.pendingReadings[0], n.pendingReadings[1:]
	}
	last := n.visibleReading.takenAt
	if len(n.pendingReadings) > 0 {
		last = n.pendingReadings[len(n.pendingReadings)-1].takenAt
	}
	span := n.now - last
	if span < n.LoadReporting.Period {
		return
	}
	noise := func() float64 { return max(0, 1+n.LoadReporting.Noise*n.rng.NormFloat64()) }
	n.pendingReadings = append(n.pendingReadings, reading{takenAt: n.now, visibleAt: n.now + n.LoadReporting.Delay,
		rate:        float64(n.reportCompleted) / span.Seconds() * noise(),
		utilization: min(1, n.reportCoreSeconds/span.Seconds()/float64(n.Cores)*noise())})
	n.reportCompleted, n.reportCoreSeconds = 0, 0
}

// Load is the latest report that can be seen; false when there is none yet.
func (n *Node) Load() (LoadReport, bool) {
	return LoadReport{Taken: n.visibleReading.takenAt, Rate: n.visibleReading.rate, Utilization: n.visibleReading.utilization}, n.visibleReading.takenAt > 0
}

// HealthCheck books a probe; false: the node says nothing, or takes no more of them for now.
func (n *Node) HealthCheck(now time.Duration) bool {
	n.advanceTo(now)
	n.recentHealthChecks = slices.DeleteFunc(n.recentHealthChecks, func(t time.Duration) bool { return t <= now-time.Second })
	if n.HealthCheckRate > 0 && float64(len(n.recentHealthChecks)) >= n.HealthCheckRate || n.Unresponsive() {
		return false
	}
	n.recentHealthChecks = append(n.recentHealthChecks, now)
	n.figures.HealthChecks++
	n.addOverhead(n.HealthCheckWork)
	return true
}
