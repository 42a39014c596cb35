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

// look is taken at every tick: at the load, the pressure, and what is due in a report.
func (n *Node) look() {
	span := (n.now - n.ticked).Seconds()
	n.ticked = n.now
	use := n.usedTime / span / float64(n.Cores) // over the whole tick: at its end a slot may just be free
	n.usedTime = 0
	n.busy += min(1, span/0.5) * (use - n.busy)
	for len(n.rejections) > 0 && n.rejections[0] <= n.now-time.Second {
		n.rejections = n.rejections[1:]
	}
	n.press()
	n.report()
}

// press follows a choke: pressure for long enough begins it, rest for long enough ends it. What is turned away presses,
// too: otherwise a short queue could never choke, whatever is sent.
func (n *Node) press() {
	if n.Degradation.QueuePerCore == 0 {
		return
	}
	waiting := float64(len(n.queue)+len(n.rejections)) / float64(n.Cores)
	since(&n.overloadedSince, n.now, waiting >= n.Degradation.QueuePerCore)
	since(&n.idleSince, n.now, n.busy < n.Degradation.RecoveryUtilization)
	switch {
	case n.chokedSince < 0 && n.overloadedSince >= 0 && n.now-n.overloadedSince >= n.Degradation.After:
		n.chokedSince = n.now
		n.figures.Degradations++
	case n.chokedSince >= 0 && (n.idleSince >= 0 && n.now-n.idleSince >= n.Degradation.RecoveryTime || n.now-n.chokedSince >= n.Degradation.MaxDuration):
		n.chokedSince, n.overloadedSince = -1, -1
	}
}

// since keeps the time from which something has held; below 0 when it does not.
func since(at *time.Duration, now time.Duration, holds bool) {
	switch {
	case !holds:
		*at = -1
	case *at < 0:
		*at = now
	}
}

// report takes a reading when one is due, with its noise, and lets those be seen whose delay is over.
func (n *Node) report() {
	if n.LoadReporting.Period <= 0 {
		return
	}
	for len(n.pending) > 0 && n.pending[0].seen <= n.now {
		n.reading, n.pending = n.pending[0], n.pending[1:]
	}
	last := n.reading.taken
	if len(n.pending) > 0 {
		last = n.pending[len(n.pending)-1].taken
	}
	span := n.now - last
	if span < n.LoadReporting.Period {
		return
	}
	noise := func() float64 { return max(0, 1+n.LoadReporting.Noise*n.rng.NormFloat64()) }
	n.pending = append(n.pending, reading{taken: n.now, seen: n.now + n.LoadReporting.Delay,
		rate: float64(n.completed) / span.Seconds() * noise(),
		util: min(1, n.busyTime/span.Seconds()/float64(n.Cores)*noise())})
	n.completed, n.busyTime = 0, 0
}

// Load is the latest report that can be seen; false when there is none yet.
func (n *Node) Load() (LoadReport, bool) {
	return LoadReport{Taken: n.reading.taken, Rate: n.reading.rate, Utilization: n.reading.util}, n.reading.taken > 0
}

// HealthCheck books a probe; false: the node says nothing, or takes no more of them for now.
func (n *Node) HealthCheck(now time.Duration) bool {
	n.step(now)
	n.probes = slices.DeleteFunc(n.probes, func(t time.Duration) bool { return t <= now-time.Second })
	if n.HealthCheckRate > 0 && float64(len(n.probes)) >= n.HealthCheckRate || n.Unresponsive() {
		return false
	}
	n.probes = append(n.probes, now)
	n.figures.HealthChecks++
	n.overhead(n.HealthCheckWork)
	return true
}
