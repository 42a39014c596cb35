package node

import "time"

const (
	// slowStartSlack is how many of the largest requests may come beyond the limit: an agent can't know what comes next.
	slowStartSlack = 3
	// avoidableFraction is the platform's: an overload counts against the agents if at least this share of the work came from
	// those that had been notified of the node's start. Below it nobody could have known.
	avoidableFraction = 2.0 / 3
)

// slowStartLoad is the work that was offered to a node in slow start within the latest OverloadWindow. More than
// SlowStartOverloadFactor times the node's capacity over that time, beyond the slack, overloads it: it drops what it holds and
// never answers again.
type slowStartLoad struct {
	offers []slowStartOffer // the oldest first
}

type slowStartOffer struct {
	at         time.Duration
	work       float64 // seconds on a core of speed 1
	unnotified bool
}

// slowStartSums are the offers of the window.
type slowStartSums struct {
	work     float64
	notified float64 // part of it from agents that had been notified
	largest  float64 // of one offer
}

// avoidable reports whether the load counts against the agents.
func (s slowStartSums) avoidable() bool { return s.notified >= avoidableFraction*s.work }

func (l *slowStartLoad) add(offer slowStartOffer, window time.Duration) {
	l.offers = append(l.offers, offer)
	for l.offers[0].at <= offer.at-window {
		l.offers = l.offers[1:]
	}
}

func (l *slowStartLoad) sums() (s slowStartSums) {
	for _, offer := range l.offers {
		s.work += offer.work
		s.largest = max(s.largest, offer.work)
		if !offer.unnotified {
			s.notified += offer.work
		}
	}
	return s
}

// countSlowStart counts work that is offered to a node in slow start.
func (n *Node) countSlowStart(work Work) {
	if n.SlowStartOverloadFactor == 0 || n.SlowStartFraction() == 1 || n.overloaded {
		n.slowStart.offers = nil
		return
	}
	n.slowStart.add(slowStartOffer{n.now, work.Cost.Seconds(), work.Unnotified}, n.OverloadWindow)
	load := n.slowStart.sums()
	limit := n.SlowStartOverloadFactor * float64(n.Cores) * n.Speed * n.SlowStartFraction() * n.OverloadWindow.Seconds()
	slack := slowStartSlack * load.largest
	if load.avoidable() {
		n.figures.SlowStartPeak = max(n.figures.SlowStartPeak, (load.work-slack)/limit)
	}
	if load.work > limit+slack {
		n.overloaded, n.overloadAvoidable = true, load.avoidable()
		n.running, n.queue = nil, nil
	}
}

// Overloaded reports whether the node was overloaded in slow start. It stays so for the rest of its incarnation.
func (n *Node) Overloaded() bool { return n.overloaded }

// OverloadWasAvoidable reports whether the node is overloaded by agents that had been notified of its start.
func (n *Node) OverloadWasAvoidable() bool { return n.overloadAvoidable }
