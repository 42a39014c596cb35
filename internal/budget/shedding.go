package budget

import (
	"math"
	"time"
)

// Decision is what Admit decides for a request.
type Decision struct {
	Admit      bool
	RetryAfter time.Duration // for a request that is shed; 0 for none
}

// Admit counts an arriving request and decides whether to admit it.
//
// The rate is filled with demand from the highest priority down. A request that the rate covers needs one token. One at the edge,
// whose priority the rate covers in part, needs more tokens the more of the rate the higher priorities have, so that what they may
// need at once stays saved. One below the edge is shed, unless tokens lie unused. So the highest priority is shed last, and the
// rate is never left idle for a higher priority that doesn't come.
func (b *Budget) Admit(now time.Duration, priority float64) Decision {
	b.advance(now)
	b.demand.add(b.now, priority, b.controller.sent.startedAt)
	b.demand.recent.add(now)
	required, belowEdge := b.requiredTokens(now, priority)
	if b.burst.tokens >= required {
		b.admitted(now)
		return Decision{Admit: true}
	}
	b.stats.Shed++
	b.demand.countShed(priority)
	if belowEdge {
		b.stats.ShedInOrder++
	}
	return Decision{RetryAfter: b.retryAfter(now)}
}

// requiredTokens returns how many tokens must be saved for a request of a priority to be admitted, and whether all of its priority
// lies below what the rate covers.
func (b *Budget) requiredTokens(now time.Duration, priority float64) (tokens float64, belowEdge bool) {
	above, same, rate := b.coverage(now, priority)
	switch {
	case above+same <= rate:
		return 1, false
	case above >= rate:
		return b.burstCapacity() - 1, true
	default:
		return 1 + above/rate*(b.burstCapacity()-2), false
	}
}

// admitted spends a token on a request and earns what it adds to the other budgets.
func (b *Budget) admitted(now time.Duration) {
	b.burst.tokens--
	b.controller.sent.add(now)
	b.retries.earn(b.settings.RetryRatio, b.retryCapacity())
	b.healthChecks.earn(b.settings.HealthCheckRatio, minTokenCapacity)
}

// coverage returns, for a priority, the demand of higher priorities, the demand of the same one, and the rate that both are filled
// from, all in requests a second. With fresh peers they are the fleet's.
func (b *Budget) coverage(now time.Duration, priority float64) (above, same, rate float64) {
	rate = b.ownRate()
	count := func(other, demand float64) {
		switch {
		case other > priority:
			above += demand
		case other == priority:
			same += demand
		}
	}
	b.demand.each(now, count)
	if b.fleet.fresh(now) {
		rate += b.fleet.rate
		for _, demand := range b.fleet.demand {
			count(demand.Priority, demand.Rate)
		}
	}
	return above, same, b.latencyFraction * rate
}

// minRetryAfter is the Retry-After, in seconds, of a request that only found the tokens spent by a burst.
const minRetryAfter = 0.1

// retryAfter is about how long the rate takes to rise to the demand if no attempt meets overload meanwhile, from minRetryAfter to
// MaxRetryAfter; 0 without one.
func (b *Budget) retryAfter(now time.Duration) time.Duration {
	if b.settings.MaxRetryAfter <= 0 {
		return 0
	}
	admitted := b.admittedFraction(now)
	// Exponent of e by which the rate rises in a second.
	growth := b.settings.MaxStep * b.controller.toleratedOverload(admitted) * max(1, b.ownRate())
	seconds := max(math.Log(1/admitted)/growth, minRetryAfter)
	return min(b.settings.MaxRetryAfter, time.Duration(seconds*float64(time.Second)))
}
