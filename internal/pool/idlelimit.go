package pool

import (
	"math"
	"time"
)

// maxIdleEvidence bounds the net number of closes that are remembered, so that an endpoint whose idle timeout changes is
// noticed after as many.
const maxIdleEvidence = 8

// idleLimit is the rule for how long a connection to one endpoint may be idle and still be used.
//
// Failure: an endpoint closes connections that are idle for longer than its timeout. A request written while the close is on its
// way is lost, and whether it ran is unknown. It shows as close reason "crossed". The guard holds because a connection is
// dropped before the endpoint's timeout, as far as that is known: a fraction of the configured timeout at first, lowered when
// the endpoint is seen to close earlier, and recovering exponentially so that one early close has no lasting effect.
//
// Endpoints also close for other reasons, such as load. A connection that outlived the idle time in question shows that
// no timeout closed the other one.
type idleLimit struct {
	lowered   time.Duration // the limit as set at loweredAt
	loweredAt time.Duration

	survived   time.Duration // longest recent idle time after which a connection was still open
	survivedAt time.Duration

	evidence int // closes that speak for a timeout, less those that speak against one
}

// configuredIdleLimit is the limit while nothing is known against it.
func (s *Settings) configuredIdleLimit() time.Duration {
	return time.Duration(s.IdleFraction * float64(s.ServerIdleTimeout))
}

// current returns how long a connection may be idle and be used again.
func (l *idleLimit) current(settings *Settings, now time.Duration) time.Duration {
	configured := settings.configuredIdleLimit()
	if l.lowered >= configured {
		return configured
	}
	// Compared as floats: after some minutes the doubled value overflows a Duration.
	recovered := float64(l.lowered) * math.Exp2(float64(now-l.loweredAt)/float64(settings.IdleLimitDoublingTime))
	if recovered >= float64(configured) {
		return configured
	}
	return time.Duration(recovered)
}

// forNonIdempotent returns the limit for a request that must not be repeated. It is below the current limit only while that is a
// learned estimate.
func (l *idleLimit) forNonIdempotent(settings *Settings, now time.Duration) time.Duration {
	limit := l.current(settings, now)
	if limit == settings.configuredIdleLimit() {
		return limit
	}
	return time.Duration(settings.NonIdempotentIdleFraction * float64(limit))
}

// recordSurvival records that a connection was still open after it had been idle for so long.
func (l *idleLimit) recordSurvival(settings *Settings, now, idle time.Duration) {
	if idle >= l.survived || now-l.survivedAt > settings.IdleLimitDoublingTime {
		l.survived, l.survivedAt = idle, now
	}
}

// recordClose records that the endpoint closed a connection which had been idle for so long at the most: it was found closed,
// or a request crossed the close. The limit is lowered unless another connection outlived that idle time.
func (l *idleLimit) recordClose(settings *Settings, now, idle time.Duration) {
	if l.survived > idle && now-l.survivedAt <= settings.IdleLimitDoublingTime {
		l.evidence = max(l.evidence-1, -maxIdleEvidence)
		return
	}
	l.evidence = min(l.evidence+1, maxIdleEvidence)
	if l.evidence <= 0 {
		return
	}
	lower := max(settings.MinIdleLimit, time.Duration(settings.IdleFraction*float64(idle)))
	if lower < l.current(settings, now) {
		l.lowered, l.loweredAt = lower, now
	}
}
