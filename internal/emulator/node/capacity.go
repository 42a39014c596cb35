package node

import "time"

// SlowStartFraction returns the fraction of its full capacity that the node has at its age. It rises linearly from
// SlowStartInitialFraction at the start to 1 at the end of SlowStartWindow.
func (n *Node) SlowStartFraction() float64 {
	age := n.now - n.Started
	if n.Started < 0 || age >= n.SlowStartWindow {
		return 1
	}
	return n.SlowStartInitialFraction + (1-n.SlowStartInitialFraction)*max(0, float64(age)/float64(n.SlowStartWindow))
}

// Capacity returns the work that the node can currently do per second, without contention.
func (n *Node) Capacity() float64 { return float64(n.Cores) * n.coreSpeed() }

// coreSpeed returns the current speed of a core, without contention.
func (n *Node) coreSpeed() float64 {
	if n.overloaded {
		return 0
	}
	speed := n.Speed * n.SlowStartFraction() * (1 - n.faultSize(NoisyNeighbor)) / max(1, n.faultSize(Slow))
	if n.Degraded() {
		speed /= n.Degradation.SlowdownFactor
	}
	if n.ConnCap > 0 {
		speed *= 1 - n.ConnOverhead*float64(min(n.conns, n.ConnCap))/float64(n.ConnCap)
	}
	return speed
}

// slotRate returns the work that each slot does per second. Contention reduces it in proportion to the requests held per core
// beyond ContentionThreshold, by at most ContentionLoss, which is reached at twice the threshold.
func (n *Node) slotRate() float64 {
	if len(n.running) == 0 {
		return 0
	}
	rate := n.coreSpeed() * min(1, float64(n.Cores)/float64(len(n.running)))
	if held := float64(n.InFlight()) / float64(n.Cores); n.ContentionThreshold > 0 && held > n.ContentionThreshold {
		rate *= 1 - n.ContentionLoss*min(1, (held-n.ContentionThreshold)/n.ContentionThreshold)
	}
	return rate
}

// slots returns the maximum number of requests that execute concurrently.
func (n *Node) slots() int { return max(1, int(float64(n.Cores)*n.SlotsPerCore)) }

// HasCapacity reports whether the node has a free slot or room in its queue.
func (n *Node) HasCapacity() bool {
	return len(n.queue) < int(float64(n.Cores)*n.QueuePerCore) || len(n.running) < n.slots()
}

// noCapacityBacklog is what Backlog returns for a node whose capacity is 0.
const noCapacityBacklog = time.Hour

// Backlog returns how long the node would take to complete the requests it holds, at its current capacity and without contention.
func (n *Node) Backlog() time.Duration {
	speed := n.coreSpeed()
	if speed <= 0 {
		return noCapacityBacklog
	}
	work := 0.0
	for _, item := range n.running {
		work += item.remaining
	}
	for _, item := range n.queue {
		work += item.Cost.Seconds()
	}
	return time.Duration(work / speed / float64(n.Cores) * 1e9)
}

// addOverhead adds work that belongs to no request, such as a handshake. It delays the running requests if no core is free.
func (n *Node) addOverhead(work time.Duration) {
	if len(n.running) < n.Cores {
		return
	}
	for _, item := range n.running {
		item.remaining += work.Seconds() / float64(len(n.running))
	}
}
