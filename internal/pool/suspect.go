package pool

import (
	"slices"
	"time"
)

// suspicion is the rule for which connections to one endpoint are distrusted.
//
// Failure: a link or an endpoint breaks for a moment and its connections die without a word. Each request on such a connection
// costs its whole timeout. It shows as several failed exchanges in a row. The guard holds because after so many every connection
// that has not completed an exchange since is suspect: it is closed, or carries only requests that may be repeated until one
// completes.
//
// An answer between two failures resets the count: it shows that the endpoint is slow or damages answers, and that its
// connections work. Closing them would add handshakes to its load.
type suspicion struct {
	since    time.Duration   // connections not proven since then are suspect; 0: none are
	failures []time.Duration // failed exchanges since the latest answer, within Settings.SuspectWindow
}

// covers reports whether a connection is suspect.
func (s *suspicion) covers(slot *Slot) bool { return slot.provenAt < s.since }

// recordSuccess records a completed exchange.
func (s *suspicion) recordSuccess() { s.failures = s.failures[:0] }

// recordFailure records a failed exchange and reports whether the endpoint's connections are to become suspect.
func (s *suspicion) recordFailure(settings *Settings, now time.Duration) bool {
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

// suspectAll makes all present connections to an endpoint suspect.
func (t *Table) suspectAll(now time.Duration, endpoint *Endpoint) {
	if t.settings.SuspectAfterFailures == 0 {
		return
	}
	endpoint.suspicion.since = now
	if t.settings.CloseSuspect {
		t.closeIdle(endpoint, CloseSuspected)
	}
}
