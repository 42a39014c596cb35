package logic

// Slow start: an endpoint that has just started has a part of its capacity, and is overloaded by the share of
// a warm one. It gets a bounded part of all requests by a draw of its own; by load alone an idle endpoint in
// slow start would get most of them while the others are busy.

// slowStartSendFraction is the share of requests that a warming endpoint may get from all balancers
// together, as a fraction of Settings.SlowStartOverloadFactor times its share of the capacity.
const slowStartSendFraction = 0.5

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

// drawWarming draws one of the warming endpoints, or none: each with the probability of its present capacity
// over the warm capacity of all that were visited. Those are about the subset, not the whole list: each
// endpoint has about as many balancers, so that together they send it this part. With the whole list it would
// be drawn the more rarely the larger the fleet, and stand idle after a release. The chance is from 0 to 1.
func (b *Balancer) drawWarming(candidates *candidateSet, chance float64) *endpoint {
	factor := max(1, b.settings.SlowStartOverloadFactor*slowStartSendFraction)
	remaining := chance * candidates.visitedCapacity / factor
	for _, e := range candidates.warming {
		if remaining -= e.weight; remaining < 0 {
			return e
		}
	}
	return nil
}
