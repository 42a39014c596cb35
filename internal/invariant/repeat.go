package invariant

import "time"

// Repeat describes a further attempt (a retry or a hedged request) of a request. Times are those of the agent's clock.
type Repeat struct {
	Now               time.Duration
	MayHaveRun        bool          // an earlier attempt may have run, or may yet
	FirstSentAt       time.Duration // when the earliest such attempt was decided on; only with MayHaveRun
	Idempotent        bool          // the request may run twice
	IdempotencyWindow time.Duration // of a class with idempotency keys: how long after FirstSentAt another attempt may begin; else 0
}

// Check is called immediately before a further attempt begins.
//
// A request that must not run twice, sent again after an attempt that may have run, is a duplicate: a payment made twice. With an
// idempotency key the endpoints drop the second, but only within the window.
func (r Repeat) Check() Verdict {
	switch {
	case !r.MayHaveRun || r.Idempotent:
		return allowed
	case r.IdempotencyWindow <= 0:
		return denied(RepeatOfNonIdempotent)
	case r.Now >= r.FirstSentAt+r.IdempotencyWindow:
		return denied(RepeatAfterIdempotencyWindow)
	}
	return allowed
}
