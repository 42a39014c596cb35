package budget

import "time"

// tokenBucket holds tokens earned over time or by events. Its capacity may change from one call to the next.
type tokenBucket struct{ tokens float64 }

// earn adds tokens, up to a capacity.
func (b *tokenBucket) earn(tokens, capacity float64) {
	b.tokens = min(b.tokens+tokens, capacity)
}

// take spends a token; false, and nothing is spent, without a whole one.
func (b *tokenBucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

const (
	// minBurst is how many requests may come at once, however few are expected.
	minBurst = 4
	// minTokenCapacity may always be saved of retries and health checks: with a capacity of 1, what is earned in fractions would be
	// lost beyond a whole token.
	minTokenCapacity = 2
)

// burstCapacity is how many request tokens may be saved: minBurst, and BurstWindow of the demand or of the own rate, whichever is
// less. It guards against a burst at the onset of a surge: tokens saved from a rate that nobody used would all be spent in its
// first moment, by all agents in the same one.
func (b *Budget) burstCapacity() float64 {
	return minBurst + min(b.ownRate(), b.demand.total(b.now))*b.settings.BurstWindow.Seconds()
}

// retryRate is this agent's part of the fleet's rate of retries, retries a second. It lets an agent with little traffic retry at all.
func (b *Budget) retryRate() float64 {
	return b.settings.FleetRetryRate / float64(b.settings.Agents)
}

// retryCapacity is how many retries may be saved: those of a second of retryRate.
func (b *Budget) retryCapacity() float64 {
	return max(minTokenCapacity, b.retryRate())
}

// AllowRetry reports whether a retry may be sent now, and spends a token if so. A retry is work for what was tried before: without
// the bound, failures of overloaded endpoints add the load that keeps them overloaded.
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

// earnTokens adds what was earned by time since the last call. Nothing is earned before the first.
func (b *Budget) earnTokens(now time.Duration) {
	if b.now == 0 {
		return
	}
	seconds := (now - b.now).Seconds()
	b.burst.earn(b.allowedRate(now)*seconds, b.burstCapacity())
	b.retries.earn(b.retryRate()*seconds, b.retryCapacity())
}
