package logic

// Slow start: an endpoint that has just started has only a fraction of its capacity, and the load of a warm
// endpoint would overload it. Warming endpoints are therefore selected by a separate draw (drawWarming).
// Selection by load alone would send an idle warming endpoint most requests while the other endpoints are
// busy, and none while they are idle.

// slowStartLoadFraction is the load that a warming endpoint gets, as a fraction of the load that overloads
// it. The latter is Settings.SlowStartOverloadFactor times its current capacity.
const slowStartLoadFraction = 0.5

// slowStartFraction returns the minimum fraction of its capacity that an endpoint has now. It rises
// linearly from SlowStartInitialFraction at the endpoint's start to 1 at the end of SlowStartWindow.
func (b *Balancer) slowStartFraction(e *endpoint) float64 {
	age := b.now - e.StartedAt
	if e.StartedAt == 0 || age >= b.settings.SlowStartWindow {
		return 1
	}
	initial := b.settings.SlowStartInitialFraction
	return initial + (1-initial)*max(0, float64(age)/float64(b.settings.SlowStartWindow))
}

// drawWarming draws one of the warming endpoints, or nil. An endpoint's probability is its current capacity
// divided by visitedCapacity, times the product of SlowStartOverloadFactor and slowStartLoadFraction, which
// counts as at least 1.
//
// The endpoints that visitedCapacity covers are approximately those of the subset. Each endpoint is in the
// subset of about the same number of balancers, so together they send it that share of their requests. If
// visitedCapacity covered the whole list, an endpoint would be drawn more rarely the larger the fleet is, and
// would be idle after a release.
//
// The caller draws chance from 0 to 1.
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
