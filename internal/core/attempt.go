package core

import (
	"sync/atomic"
	"time"

	"ryeweir/internal/invariant"
	"ryeweir/logic"
)

// Attempt is one Send of the module: a call on its way to one endpoint. The exported fields are not changed after Execute
// begins.
type Attempt struct {
	Call     *Call
	Number   int           // counts the call's attempts from 0
	Endpoint string        // id
	Target   any           // what Upstream.Bind returned when the attempt was decided on
	SentAt   time.Duration // when the module decided on it, on the core's clock
	// WriteDeadline is when it is too late to write the first byte: the deadline, or earlier for a call with an idempotency key
	// of which an attempt may have run.
	WriteDeadline time.Duration

	deadline  atomic.Int64 // time.Duration on the core's clock
	writtenAt atomic.Int64 // when the end of a pending body was written, time.Duration on the core's clock; 0 before
	reported  atomic.Bool  // its outcome is known
	claim     atomic.Int32 // see Begin

	core   *Core
	report func(Outcome) // receives the outcome of an attempt outside a core

	// Owned by the loop.
	previous      *Attempt // the next older attempt of the call in flight
	overdueChecks int      // checks of the boundary that found its outcome overdue
}

// The states of an attempt's claim. It leaves unclaimed once and never returns.
const (
	unclaimed int32 = iota
	begun           // its first byte may be written
	withdrawn       // its call finished before that: it never begins
)

// NewAttempt returns an attempt outside a core, whose outcome goes to report: for tests of upstreams and for tools.
func NewAttempt(call *Call, target any, deadline, writeDeadline time.Duration, report func(Outcome)) *Attempt {
	a := &Attempt{Call: call, Target: target, WriteDeadline: writeDeadline, report: report}
	a.deadline.Store(int64(deadline))
	return a
}

// Deadline returns when the agent stops waiting for the answer, on the core's clock.
func (a *Attempt) Deadline() time.Duration { return time.Duration(a.deadline.Load()) }

// Begin claims the right to write the first byte and must be called just before that. It returns false if the call has
// finished: then nothing may be written.
//
// The claim and the withdrawal by Call.finish are one compare-and-swap, so that exactly one of them wins. Without it, a call
// that ends while its attempt waits for a connection could be answered as one that did not run, and run afterwards.
func (a *Attempt) Begin() bool { return a.claim.CompareAndSwap(unclaimed, begun) }

// BodyWritten reports when the end of a pending body has been written. The call's timeout runs from then on.
func (a *Attempt) BodyWritten(now time.Duration) {
	a.writtenAt.Store(int64(now))
	a.deadline.Store(int64(now + a.Call.Timeout))
}

// AwaitingSince returns since when an answer may be expected, on the core's clock: SentAt, or the end of a pending body.
func (a *Attempt) AwaitingSince() time.Duration {
	return max(a.SentAt, time.Duration(a.writtenAt.Load()))
}

// Report hands over the outcome. An attempt has exactly one: a further one is counted as a violation and discarded.
func (a *Attempt) Report(outcome Outcome) {
	if !a.reported.CompareAndSwap(false, true) {
		a.discardSecond(outcome)
		return
	}
	if a.core == nil {
		a.report(outcome)
		return
	}
	a.core.send(attemptEnded{a, outcome})
}

// discardSecond counts and discards an outcome that was reported after another, or after the core gave it up as overdue.
func (a *Attempt) discardSecond(outcome Outcome) {
	if a.core != nil {
		a.core.violations.ReportedTwice.Add(1)
		a.core.config.Monitor.Violated(invariant.OutcomeReportedTwice, a.Call.ID, "attempt on "+a.Endpoint)
	}
	if outcome.Content != nil {
		outcome.Content.Discard()
	}
}

// newAttempt adds the next attempt of the call, as the module decided. The upload timeout limits an attempt whose deadline
// is not known yet because the body is pending.
func (c *Call) newAttempt(action logic.Action, now, uploadTimeout time.Duration) *Attempt {
	deadline := c.Deadline
	if deadline == 0 {
		deadline = now + uploadTimeout
	}
	if action.Delay > 0 {
		deadline = min(deadline, now+action.Delay)
	}
	a := &Attempt{
		Call:          c,
		Number:        c.attemptsMade,
		Endpoint:      action.Endpoint,
		SentAt:        now,
		WriteDeadline: c.writeDeadline(deadline),
		previous:      c.inFlight,
	}
	a.deadline.Store(int64(deadline))
	c.inFlight = a
	c.attemptsMade++
	c.inFlightCount++
	return a
}

// writeDeadline returns when the next attempt is too late to begin. The module checks the idempotency window when it decides,
// but the dial may take until after its end: endpoints would then no longer recognize the retry as one and run it again. The
// upstream therefore checks this deadline once more as it writes.
func (c *Call) writeDeadline(deadline time.Duration) time.Duration {
	first := c.firstExecutedAt()
	if first == 0 || c.IdempotencyWindow <= 0 {
		return deadline
	}
	return min(deadline, first+c.IdempotencyWindow)
}

// attemptEnded removes an attempt from those in flight.
func (c *Call) attemptEnded(a *Attempt, result logic.Result) {
	for link := &c.inFlight; *link != nil; link = &(*link).previous {
		if *link == a {
			*link = a.previous
			break
		}
	}
	c.inFlightCount--
	if provesNotExecuted(result) {
		return
	}
	if c.executedAt == 0 || a.SentAt < c.executedAt {
		c.executedAt = a.SentAt
	}
}

// provesNotExecuted reports whether the request certainly did not run.
func provesNotExecuted(result logic.Result) bool {
	switch result {
	case logic.NotSent, logic.ConnectFailed, logic.Rejected:
		return true
	}
	return false
}

// withdrawAttempts stops the attempts that have not begun.
func (c *Call) withdrawAttempts() {
	for a := c.inFlight; a != nil; a = a.previous {
		a.claim.CompareAndSwap(unclaimed, withdrawn)
	}
}

// neverExecuted reports whether it is certain that no attempt has run or will. Attempts must have been withdrawn before.
func (c *Call) neverExecuted() bool {
	for a := c.inFlight; a != nil; a = a.previous {
		if a.claim.Load() == begun {
			return false
		}
	}
	return c.executedAt == 0
}

// firstExecutedAt returns when the earliest attempt was sent that may have run, or may yet; 0 without one.
func (c *Call) firstExecutedAt() time.Duration {
	first := c.executedAt
	for a := c.inFlight; a != nil; a = a.previous {
		if first == 0 || a.SentAt < first {
			first = a.SentAt
		}
	}
	return first
}
