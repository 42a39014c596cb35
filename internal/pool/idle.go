package pool

import (
	"math"
	"slices"
	"time"
)

// How long a connection may stand idle: the settings' limit, what a server's closes teach of it, and when connections are suspect.

// expired reports whether an idle slot is not to be used again.
func (t *Table) expired(now time.Duration, s *Slot) (CloseReason, bool) {
	switch {
	case s.proven < s.Endpoint.suspect && t.set.CloseSuspect:
		return CloseSuspected, true
	case now-s.came >= t.limit(now, s.Endpoint):
		return CloseIdle, true
	case s.ends > 0 && now >= s.ends, t.set.MaxRequests > 0 && s.uses >= t.set.MaxRequests:
		return CloseAge, true
	}
	return 0, false
}

// young reports whether a slot has had an answer just now: behind that more may come that belongs to no request, and would pass
// for the answer of the next one. After a rest such a slot is found out before it is used.
func (t *Table) young(now time.Duration, s *Slot) bool {
	return s.answered > 0 && now-s.answered < t.set.Quarantine
}

// rest lets young slots rest for those who wait, a slot each: that is sooner over than a handshake, and costs the server nothing.
func (t *Table) rest(now time.Duration, n *Endpoint) {
	for _, s := range n.idle {
		if n.resting < len(n.waiters) && !s.resting && t.young(now, s) {
			s.resting = true
			n.resting++
			t.act(Action{Kind: ScheduleQuarantineEnd, Slot: s, Delay: s.answered + t.set.Quarantine - now})
		}
	}
}

// rises ends a slot's rest.
func (t *Table) rises(s *Slot) {
	if s.resting {
		s.resting = false
		s.Endpoint.resting--
	}
}

// idleFull is the idle limit as the settings have it.
func (t *Table) idleFull() time.Duration {
	return time.Duration(t.set.IdleFraction * float64(t.set.ServerIdleTimeout))
}

// limit is how long a connection may stand idle and be used again.
func (t *Table) limit(now time.Duration, n *Endpoint) time.Duration {
	full := t.idleFull()
	if n.idleLimit >= full {
		return full
	}
	// Compared before it is a time: after some minutes it would be one that no time can hold.
	healed := float64(n.idleLimit) * math.Exp2(float64(now-n.learnt)/float64(t.set.IdleLimitDoublingTime))
	if healed >= float64(full) {
		return full
	}
	return time.Duration(healed)
}

// sure is how long it may have stood for what must not repeat. While nothing speaks against the limit of the settings, that
// is as long as for anything else.
func (t *Table) sure(now time.Duration, n *Endpoint) time.Duration {
	limit := t.limit(now, n)
	if limit == t.idleFull() {
		return limit
	}
	return time.Duration(t.set.NonIdempotentIdleFraction * float64(limit))
}

// outlived takes in that a connection stood idle for so long and was open still.
func (n *Endpoint) outlived(now, stood, keep time.Duration) {
	if stood >= n.survived || now-n.survivor > keep {
		n.survived, n.survivor = stood, now
	}
}

// mostEvidence bounds what is remembered of a server's closes, so that one that changes its ways is noticed.
const mostEvidence = 8

// learn takes in that a server closed a connection that had stood idle for so long at the most: it was found closed, or a
// request crossed the close. Where another has outlived that, the server has no such limit: it closed for a reason of its own.
func (t *Table) learn(now time.Duration, n *Endpoint, stood time.Duration) {
	if n.survived > stood && now-n.survivor <= t.set.IdleLimitDoublingTime {
		n.limited = max(n.limited-1, -mostEvidence)
		return
	}
	if n.limited = min(n.limited+1, mostEvidence); n.limited <= 0 {
		return
	}
	lower := max(t.set.MinIdleLimit, time.Duration(t.set.IdleFraction*float64(stood)))
	if lower < t.limit(now, n) {
		n.idleLimit, n.learnt = lower, now
	}
}

// failed counts a broken exchange. An answer between two shows a server that is slow or spoils answers: its connections are
// well, and closing them would give it more to do.
func (t *Table) failed(now time.Duration, n *Endpoint) {
	if t.set.SuspectAfterFailures == 0 {
		return
	}
	n.failures = slices.DeleteFunc(append(n.failures, now), func(at time.Duration) bool { return now-at > t.set.SuspectWindow })
	if len(n.failures) >= t.set.SuspectAfterFailures {
		n.failures = n.failures[:0]
		t.suspectAll(now, n)
	}
}

// suspectAll makes all of a server's connections suspect that are not proven after now.
func (t *Table) suspectAll(now time.Duration, n *Endpoint) {
	if t.set.SuspectAfterFailures == 0 {
		return
	}
	n.suspect = now
	if t.set.CloseSuspect {
		t.closeIdle(n, CloseSuspected)
	}
}
