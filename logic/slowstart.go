package logic

// Slow start: an endpoint that has just started has a fraction of its capacity, and the load of a warm one
// overloads it. It gets requests by a draw of its own. By load alone an idle endpoint in slow start would get
// most requests while the others are busy, and none while they are idle.

// slowStartLoadFraction is the load of a warming endpoint, as a fraction of the load that overloads it,
// which is Settings.SlowStartOverloadFactor times its present capacity.
const slowStartLoadFraction = 0.5

// slowStartFraction returns the fraction of its capacity that an endpoint has at least: it rises linearly
// from SlowStartInitialFraction at its start to 1 at the end of SlowStartWindow.
func (b *Balancer) slowStartFraction(e *endpoint) float64 {
	age := b.now - e.StartedAt
	if e.StartedAt == 0 || age >= b.settings.SlowStartWindow {
		return 1
	}
	initial := b.settings.SlowStartInitialFraction
	return initial + (1-initial)*max(0, float64(age)/float64(b.settings.SlowStartWindow))
}

// drawWarming draws one of the warming endpoints, or none. The probability of each is its present capacity
// over the capacity after slow start of all endpoints that were visited, times slowStartLoadFraction of
// what overloads it. The endpoints that were visited are about the subset. Each endpoint is in the subsets
// of about as many balancers, so that together they send it that fraction of their requests. With the
// capacity of the whole list it would be drawn the more rarely the larger the fleet, and be idle after a
// release. The chance is drawn by the caller, from 0 to 1.
func (b *Balancer) drawWarming(candidates *candidateSet, chance float64) *endpoint {
	factor := max(1, b.settings.SlowStartOverloadFactor*slowStartLoadFraction)
	remaining := chance * candidates.visitedCapacity / factor
	for _, e := range candidates.warming {
		if remaining -= e.weight; remaining < 0 {
			return e
		}
	}
	return nil
}
