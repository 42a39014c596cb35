package pool

import (
	"math"
	"time"
)

const (
	handshakeWeight = 0.2         // of a new sample in the time that a handshake takes
	rateOver        = time.Second // over which sends are smoothed
	aheadLeast      = 0.05        // sends in the time of a handshake from which opening ahead is worth it
)

// sends counts one send to the server in its smoothed rate.
func (n *Endpoint) sends(now time.Duration) {
	n.rate = n.rate*math.Exp(-float64(now-n.rated)/float64(rateOver)) + 1/rateOver.Seconds()
	n.rated = now
}

// spare is how many idle connections a server should have: what may come while a handshake goes on, which at a steady rate is
// Poisson with this mean, up to two deviations.
func (t *Table) spare(now time.Duration, n *Endpoint) int {
	rate := n.rate * math.Exp(-float64(now-n.rated)/float64(rateOver))
	mean := rate * n.handshake
	if mean < aheadLeast {
		return t.set.PreopenMinIdle
	}
	return max(t.set.PreopenMinIdle, min(t.set.PreopenMaxIdle, int(math.Ceil(mean+2*math.Sqrt(mean)))))
}

// openAhead opens at most one connection ahead of need. What all agents open so on one server is bounded: each has its part
// of a rate, which is lower while the server is cold, and takes it at random times.
func (t *Table) openAhead(now time.Duration, n *Endpoint) {
	if t.set.PreopenRate <= 0 || now < n.nextAhead || n.dialFails > 0 || len(n.waiters) > 0 || t.open+t.opening >= t.set.MaxConnections ||
		!t.room(n) || len(n.idle)+n.opening >= t.spare(now, n) {
		return
	}
	n.nextAhead = now + time.Duration((0.5+t.rng.Float64())*float64(t.aheadPause(now, n)))
	t.counts.Preopened++
	t.start(now, n, true)
}

// aheadPause is the mean time between two connections that one agent opens ahead on a server.
func (t *Table) aheadPause(now time.Duration, n *Endpoint) time.Duration {
	if t.set.PreopenRate <= 0 {
		return 0
	}
	return time.Duration(float64(t.set.Agents) / (t.set.PreopenRate * t.warm(now, n)) * float64(time.Second))
}

// warm is the share of its capacity that a server has.
func (t *Table) warm(now time.Duration, n *Endpoint) float64 {
	if n.started == 0 || t.set.SlowStartWindow <= 0 || now-n.started >= t.set.SlowStartWindow {
		return 1
	}
	return t.set.SlowStartInitialFraction + (1-t.set.SlowStartInitialFraction)*float64(max(0, now-n.started))/float64(t.set.SlowStartWindow)
}
