package budget

import "time"

// tokenBucket holds tokens that accrue over time or by events. Its capacity may change from call to call.
type tokenBucket struct{ tokens float64 }

// earn adds tokens, up to the capacity.
func (b *tokenBucket) earn(tokens, capacity float64) {
	b.tokens = min(b.tokens+tokens, capacity)
}

// take spends one token. It returns false and spends nothing if there is less than one.
func (b *tokenBucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

const (
	// minBurst is the number of requests that may always arrive at once, however small the demand is.
	minBurst = 4
	// minTokenCapacity is the minimum capacity for retries and health checks. They accrue in fractions of a token: with a capacity of 1
	// the fraction beyond a whole token would be lost.
	minTokenCapacity = 2
)

// burstCapacity is the capacity for request tokens: minBurst plus BurstWindow of the demand or of the agent's own rate, whichever is
// less. The limit prevents a burst at the onset of a surge, when all agents at the same moment would spend tokens that accrued from an
// unused rate.
func (b *Budget) burstCapacity() float64 {
	return minBurst + min(b.ownRate(), b.demand.total(b.now))*b.settings.BurstWindow.Seconds()
}

// retryRate is this agent's share of FleetRetryRate, retries a second. It allows retries to an agent with little traffic.
func (b *Budget) retryRate() float64 {
	return b.settings.FleetRetryRate / float64(b.settings.Agents)
}

// retryCapacity is the capacity for retry tokens: one second of retryRate, and at least minTokenCapacity.
func (b *Budget) retryCapacity() float64 {
	return max(minTokenCapacity, b.retryRate())
}

// AllowRetry reports whether a retry may be sent now, and spends a token if so. Retries add load for requests that were already tried:
// without a limit, failures of overloaded endpoints would cause the load that keeps them overloaded.
func (b *Budget) AllowRetry(now time.Duration) bool {
	b.advance(now)
	if b.retries.take() {
		return true
	}
	b.stats.RetriesDenied++
	return false
}

// AllowHealthCheck reports whether a health check may be sent, and spends a token if so.
func (b *Budget) AllowHealthCheck() bool {
	if b.healthChecks.take() {
		return true
	}
	b.stats.HealthChecksDenied++
	return false
}

// earnTokens adds the tokens that accrued since the last call; none before the first call.
func (b *Budget) earnTokens(now time.Duration) {
	if b.now == 0 {
		return
	}
	seconds := (now - b.now).Seconds()
	b.burst.earn(b.allowedRate(now)*seconds, b.burstCapacity())
	b.retries.earn(b.retryRate()*seconds, b.retryCapacity())
}
