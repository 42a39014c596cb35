package invariant

import "time"

// Repeat describes a further attempt at a request, which is a retry or a hedged request. Times are on the agent's clock.
type Repeat struct {
	Now             time.Duration
	MayHaveExecuted bool          // an earlier attempt may have been executed, or may still be
	FirstSentAt     time.Duration // when the earliest such attempt was decided on; valid only if MayHaveExecuted
	Idempotent      bool          // executing the request twice does no harm
	// IdempotencyWindow is the time after FirstSentAt within which a further attempt may begin, for a class with idempotency keys;
	// 0 for other classes.
	IdempotencyWindow time.Duration
}

// Check must be called immediately before a further attempt begins.
//
// A request that is not idempotent must not be sent again if an earlier attempt may have been executed: a payment could be made
// twice. If the request has an idempotency key, endpoints discard the duplicate, but only within the idempotency window.
func (r Repeat) Check() CheckResult {
	switch {
	case !r.MayHaveExecuted || r.Idempotent:
		return allowed
	case r.IdempotencyWindow <= 0:
		return denied(RepeatOfNonIdempotent)
	case r.Now >= r.FirstSentAt+r.IdempotencyWindow:
		return denied(RepeatAfterIdempotencyWindow)
	}
	return allowed
}
