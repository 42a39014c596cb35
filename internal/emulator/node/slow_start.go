package node

import "time"

const (
	// slowStartSlack is how many requests, each as large as the largest in the window, the load may exceed the limit by. An agent
	// cannot know the cost of the requests that follow.
	slowStartSlack = 3
	// avoidableFraction is set by the platform: an overload counts against the agents if at least this fraction of the work came
	// from agents that had been notified of the node's start. With less, the agents could not have known.
	avoidableFraction = 2.0 / 3
)

// slowStartLoad is the work offered to a node in slow start within the last OverloadWindow. The node is overloaded if that work
// exceeds SlowStartOverloadFactor times what the node can do in the window, plus the slack. It then drops all its requests and
// never answers again.
type slowStartLoad struct {
	offers []slowStartOffer // oldest first
}

type slowStartOffer struct {
	at         time.Duration
	work       float64 // seconds on a core of speed 1
	unnotified bool    // the sender had not been notified of the node's start
}

// slowStartSums are sums over the offers in the window, in seconds on a core of speed 1.
type slowStartSums struct {
	work     float64
	notified float64 // the part of work that came from agents that had been notified of the node's start
	largest  float64 // work of the largest offer
}

// avoidable reports whether an overload by this load counts against the agents.
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

// countSlowStart adds offered work to the load in slow start, and marks the node as overloaded if the load exceeds the limit.
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

// Overloaded reports whether the node was overloaded in slow start. It remains overloaded for the rest of its incarnation.
func (n *Node) Overloaded() bool { return n.overloaded }

// OverloadWasAvoidable reports whether the node was overloaded by load that came mostly (avoidableFraction) from agents that had
// been notified of its start.
func (n *Node) OverloadWasAvoidable() bool { return n.overloadAvoidable }
