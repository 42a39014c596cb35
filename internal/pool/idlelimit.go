package pool

import (
	"math"
	"time"
)

// maxIdleEvidence bounds idleLimit.evidence, so that a changed idle timeout of the endpoint takes effect after about as many
// observations.
const maxIdleEvidence = 8

// idleLimit determines how long a connection to one endpoint may be idle and still be reused.
//
// Failure: an endpoint closes connections that have been idle longer than its timeout. A request written while the close is in
// transit is lost, and it is unknown whether it ran. The metrics count this as close reason "crossed". To prevent it, a connection
// is dropped before the endpoint's timeout, as far as that is known. The limit starts at a fraction of the configured timeout, is
// lowered when the endpoint is seen to close earlier, and recovers exponentially, so that one early close has no lasting effect.
//
// Endpoints also close connections for other reasons, such as load. If another connection was idle for longer and stayed open, the
// close was not caused by a timeout.
type idleLimit struct {
	learned   time.Duration // the limit as of learnedAt
	learnedAt time.Duration

	longestSurvived   time.Duration // longest recent idle time after which a connection was still open
	longestSurvivedAt time.Duration

	evidence int // closes that indicate a timeout, minus those that contradict it
}

// configuredIdleLimit returns the limit that applies until the endpoint is seen to close earlier.
func (s *Settings) configuredIdleLimit() time.Duration {
	return time.Duration(s.IdleFraction * float64(s.ServerIdleTimeout))
}

// current returns how long a connection may be idle and still be reused.
func (l *idleLimit) current(settings *Settings, now time.Duration) time.Duration {
	configured := settings.configuredIdleLimit()
	if l.learned >= configured {
		return configured
	}
	// The comparison uses floats, because the doubled value overflows a Duration after some minutes.
	recovered := float64(l.learned) * math.Exp2(float64(now-l.learnedAt)/float64(settings.IdleLimitDoublingTime))
	if recovered >= float64(configured) {
		return configured
	}
	return time.Duration(recovered)
}

// forNonIdempotent returns the limit for a request that must not be repeated. It is lower than the current limit only while that is
// below the configured one, because a learned limit is an estimate.
func (l *idleLimit) forNonIdempotent(settings *Settings, now time.Duration) time.Duration {
	limit := l.current(settings, now)
	if limit == settings.configuredIdleLimit() {
		return limit
	}
	return time.Duration(settings.NonIdempotentIdleFraction * float64(limit))
}

// recordSurvival records that a connection was still open after the given idle time.
func (l *idleLimit) recordSurvival(settings *Settings, now, idle time.Duration) {
	if idle >= l.longestSurvived || now-l.longestSurvivedAt > settings.IdleLimitDoublingTime {
		l.longestSurvived, l.longestSurvivedAt = idle, now
	}
}

// recordClose records that the endpoint closed a connection that had been idle for at most the given time: the connection was found
// closed, or a request was written while the close was in transit. The limit is lowered unless another connection recently survived
// a longer idle time, or earlier evidence against a timeout prevails.
func (l *idleLimit) recordClose(settings *Settings, now, idle time.Duration) {
	if l.longestSurvived > idle && now-l.longestSurvivedAt <= settings.IdleLimitDoublingTime {
		l.evidence = max(l.evidence-1, -maxIdleEvidence)
		return
	}
	l.evidence = min(l.evidence+1, maxIdleEvidence)
	if l.evidence <= 0 {
		return
	}
	lower := max(settings.MinIdleLimit, time.Duration(settings.IdleFraction*float64(idle)))
	if lower < l.current(settings, now) {
		l.learned, l.learnedAt = lower, now
	}
}
