package node

import "time"

// notSince stands for a time from which something has held when it does not hold.
const notSince = -1

// degradation is the state of a node's slowdown after a lasting overload, as of one that swaps or collects garbage. It begins
// when there has been pressure for Degradation.After, and ends when the node has been idle enough for RecoveryTime, or after
// MaxDuration. Pressure is the requests queued or rejected within a second, a core: rejections count, as otherwise a short queue
// could never degrade a node, whatever it is sent.
type degradation struct {
	overloadedSince time.Duration // notSince without pressure
	idleSince       time.Duration // notSince while utilization is above RecoveryUtilization
	degradedSince   time.Duration // notSince while not degraded
}

func newDegradation() degradation { return degradation{notSince, notSince, notSince} }

// Degraded reports whether the node is slowed down after an overload.
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

// update follows the pressure and the utilization. It reports whether a degradation has begun.
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

// trackSince keeps the time from which something has held.
func trackSince(at *time.Duration, now time.Duration, holds bool) {
	switch {
	case !holds:
		*at = notSince
	case *at < 0:
		*at = now
	}
}
