package pool

import (
	"slices"
	"time"
)

// suspectTracker determines which connections to one endpoint are not trusted.
//
// Failure: a link or an endpoint fails briefly, and its connections die without a FIN or RST. Each request on such a connection
// waits for its whole timeout. This shows as several failed exchanges in a row. After Settings.SuspectAfterFailures of them, or after a
// single release with ClosedByServer, every connection without a success since then is suspect: it is closed, or carries only
// requests that may be repeated until one completes. A success is a completed exchange or the handshake. If
// Settings.SuspectAfterFailures is 0, no connection becomes suspect.
//
// An answer between two failures resets the count. It shows that the connections work and that the endpoint is slow or damages
// answers; closing connections would only add handshakes to its load.
type suspectTracker struct {
	since    time.Duration   // connections without a success since this time are suspect; 0 means none are
	failures []time.Duration // times of the failed exchanges since the last answer, within Settings.SuspectWindow
}

// contains reports whether a connection is suspect.
func (s *suspectTracker) contains(slot *Slot) bool { return slot.lastSuccessAt < s.since }

// recordSuccess records a completed exchange.
func (s *suspectTracker) recordSuccess() { s.failures = s.failures[:0] }

// recordFailure records a failed exchange. It reports whether the endpoint's connections become suspect.
func (s *suspectTracker) recordFailure(settings *Settings, now time.Duration) bool {
	if settings.SuspectAfterFailures == 0 {
		return false
	}
	s.failures = slices.DeleteFunc(append(s.failures, now), func(at time.Duration) bool { return now-at > settings.SuspectWindow })
	if len(s.failures) < settings.SuspectAfterFailures {
		return false
	}
	s.failures = s.failures[:0]
	return true
}

// suspectAll makes all current connections to an endpoint suspect.
func (t *Table) suspectAll(now time.Duration, endpoint *Endpoint) {
	if t.settings.SuspectAfterFailures == 0 {
		return
	}
	endpoint.suspects.since = now
	if t.settings.CloseSuspect {
		t.closeIdle(endpoint, CloseSuspected)
	}
}
