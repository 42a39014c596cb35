package node

import "time"

// notSince is the value of a "since" field while its condition does not hold.
const notSince = -1

// degradation tracks the slowdown of a node after a sustained overload, as in a process that swaps or collects garbage. It begins
// when the pressure has been at least Degradation.QueuePerCore for Degradation.After. It ends when utilization has been below
// RecoveryUtilization for RecoveryTime, or after MaxDuration. Pressure is the number of requests per core that are queued or were
// rejected within the last second. Without the rejections, a node with a short queue could never degrade, whatever its load.
type degradation struct {
	overloadedSince time.Duration // notSince while the pressure is below QueuePerCore
	idleSince       time.Duration // notSince while utilization is at least RecoveryUtilization
	degradedSince   time.Duration // notSince while not degraded
}

func newDegradation() degradation { return degradation{notSince, notSince, notSince} }

// Degraded reports whether the node is slowed down after a sustained overload.
func (n *Node) Degraded() bool { return n.degradation.degradedSince >= 0 }

func (n *Node) updateDegradation() {
	if n.Degradation.QueuePerCore == 0 {
		return
	}
	pressure := float64(len(n.queue)+len(n.recentRejections)) / float64(n.Cores)
	if n.degradation.update(n.now, pressure, n.smoothedUtilization, n.Degradation) {
		n.figures.Degradations++
	}
}

// update records the current pressure and utilization. It reports whether a degradation has begun.
func (d *degradation) update(now time.Duration, pressure, utilization float64, rule Degradation) (begun bool) {
	trackSince(&d.overloadedSince, now, pressure >= rule.QueuePerCore)
	trackSince(&d.idleSince, now, utilization < rule.RecoveryUtilization)
	if d.degradedSince < 0 {
		begun = d.overloadedSince >= 0 && now-d.overloadedSince >= rule.After
		if begun {
			d.degradedSince = now
		}
		return begun
	}
	recovered := d.idleSince >= 0 && now-d.idleSince >= rule.RecoveryTime
	if recovered || now-d.degradedSince >= rule.MaxDuration {
		d.degradedSince, d.overloadedSince = notSince, notSince
	}
	return false
}

// trackSince keeps in at the time since when a condition has held without interruption.
func trackSince(at *time.Duration, now time.Duration, holds bool) {
	switch {
	case !holds:
		*at = notSince
	case *at < 0:
		*at = now
	}
}
