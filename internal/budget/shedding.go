package budget

import (
	"math"
	"time"
)

// Decision is the result of Admit.
type Decision struct {
	Admit      bool
	RetryAfter time.Duration // for a shed request; 0 for none
}

// Admit counts an arriving request and decides whether to admit it.
//
// The rate is given to demand from the highest priority down. A request whose priority is covered by the rate needs one token. If its
// priority is covered in part, it needs more tokens the larger the share of higher priorities in the rate is, which reserves tokens for
// a burst of those. If its priority is not covered at all, it is shed unless the bucket is nearly full. The highest priority is therefore
// shed last, and the rate is never left unused for higher-priority requests that do not arrive.
func (b *Budget) Admit(now time.Duration, priority float64) Decision {
	b.advance(now)
	b.demand.add(b.now, priority, b.controller.sent.startedAt)
	b.demand.recent.add(now)
	required, uncovered := b.requiredTokens(now, priority)
	if b.burst.tokens >= required {
		b.admitted(now)
		return Decision{Admit: true}
	}
	b.stats.Shed++
	b.demand.countShed(priority)
	if uncovered {
		b.stats.ShedInOrder++
	}
	return Decision{RetryAfter: b.retryAfter(now)}
}

// requiredTokens returns how many tokens must be available for a request of the given priority to be admitted, and whether the rate
// covers none of that priority.
func (b *Budget) requiredTokens(now time.Duration, priority float64) (tokens float64, uncovered bool) {
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

// admitted spends a token on an admitted request and adds the retry and health check tokens that it earns.
func (b *Budget) admitted(now time.Duration) {
	b.burst.tokens--
	b.controller.sent.add(now)
	b.retries.earn(b.settings.RetryRatio, b.retryCapacity())
	b.healthChecks.earn(b.settings.HealthCheckRatio, minTokenCapacity)
}

// coverage returns the demand of higher priorities, the demand of the given priority, and the rate that serves both, all in requests a
// second. While peer state is fresh, all three are those of the fleet.
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

// minRetryAfter is the shortest Retry-After, in seconds. It applies to a request that was shed only because a burst had spent the tokens.
const minRetryAfter = 0.1

// retryAfter estimates how long the rate takes to rise to the demand if no attempt meets overload meanwhile. It is between minRetryAfter
// and MaxRetryAfter, or 0 if MaxRetryAfter is 0.
func (b *Budget) retryAfter(now time.Duration) time.Duration {
	if b.settings.MaxRetryAfter <= 0 {
		return 0
	}
	admitted := b.admittedFraction(now)
	// The exponent of e by which the rate rises in a second.
	growth := b.settings.MaxStep * b.controller.toleratedOverload(admitted) * max(1, b.ownRate())
	seconds := max(math.Log(1/admitted)/growth, minRetryAfter)
	return min(b.settings.MaxRetryAfter, time.Duration(seconds*float64(time.Second)))
}
