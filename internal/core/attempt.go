package core

import (
	"sync/atomic"
	"time"

	"ryeweir/internal/invariant"
	"ryeweir/logic"
)

// Attempt is one attempt to send a call to one endpoint, as requested by a Send action of the balancer. The exported fields do not
// change after Upstream.Execute has begun.
type Attempt struct {
	Call     *Call
	Number   int           // of the attempt within its call, from 0
	Endpoint string        // the endpoint's id
	Target   any           // the result of Upstream.Bind when the balancer decided on the attempt
	SentAt   time.Duration // when the balancer decided on the attempt, on the core's clock
	// WriteDeadline is the time before which the first byte must be written. It is the deadline, or the end of the idempotency window
	// if that is earlier and a previous attempt of the call may have been executed.
	WriteDeadline time.Duration

	deadline  atomic.Int64 // as time.Duration on the core's clock
	writtenAt atomic.Int64 // when the end of a pending body was written, as time.Duration on the core's clock; 0 before that
	reported  atomic.Bool  // the outcome is known
	claim     atomic.Int32 // see Begin
	response  responseInProgress

	core   *Core
	report func(Outcome) // receives the outcome if core is nil

	// Owned by the loop.
	previous      *Attempt // the next older attempt of the call that is in flight
	overdueChecks int      // number of periodic checks that found the outcome overdue
}

// The values of Attempt.claim. It changes once, from unclaimed to begun or to withdrawn.
const (
	unclaimed int32 = iota
	begun           // the first byte may be written
	withdrawn       // the call finished first: the attempt must not begin
)

// NewAttempt returns an attempt that belongs to no core and passes its outcome to report. It is for tests of upstreams and for tools.
func NewAttempt(call *Call, target any, deadline, writeDeadline time.Duration, report func(Outcome)) *Attempt {
	a := &Attempt{Call: call, Target: target, WriteDeadline: writeDeadline, report: report}
	a.deadline.Store(int64(deadline))
	return a
}

// Deadline returns the time on the core's clock at which the agent stops waiting for the answer.
func (a *Attempt) Deadline() time.Duration { return time.Duration(a.deadline.Load()) }

// Begin claims the right to write the first byte. The upstream must call it immediately before it writes. Begin returns false if
// the call has already finished. Nothing may be written then.
//
// The claim and its withdrawal by Call.finish are compare-and-swap operations on the same value, so exactly one of them succeeds.
// Otherwise a call that ends while its attempt waits for a connection could be answered as not executed, and be executed later.
func (a *Attempt) Begin() bool { return a.claim.CompareAndSwap(unclaimed, begun) }

// BodyWritten reports when the end of a pending body was written, and how much of the call's timeout had passed by then: the client may have
// written it before.
func (a *Attempt) BodyWritten(now, elapsed time.Duration) {
	a.writtenAt.Store(int64(now))
	a.deadline.Store(int64(now + a.Call.Timeout - elapsed))
}

// AwaitingSince returns the time on the core's clock from which on an answer can be expected: SentAt, or when the end of a pending
// body was written.
func (a *Attempt) AwaitingSince() time.Duration {
	return max(a.SentAt, time.Duration(a.writtenAt.Load()))
}

// latency returns how long the endpoint took for a response whose outcome is known now.
func (a *Attempt) latency(outcome Outcome, now time.Duration) time.Duration {
	if outcome.BegunAt > 0 {
		now = outcome.BegunAt
	}
	return max(0, now-a.AwaitingSince())
}

// Report reports the outcome. It must be called exactly once: a further outcome is counted as a violation and discarded.
func (a *Attempt) Report(outcome Outcome) {
	if !a.reported.CompareAndSwap(false, true) {
		a.discardExtraOutcome(outcome)
		return
	}
	if a.core == nil {
		a.report(outcome)
		return
	}
	a.core.send(attemptEnded{a, outcome})
}

// discardExtraOutcome counts and discards an outcome that was reported after a first one, or after the core had ended the attempt
// as overdue.
func (a *Attempt) discardExtraOutcome(outcome Outcome) {
	if a.core != nil {
		a.core.violations.ReportedTwice.Add(1)
		a.core.config.Monitor.Violated(invariant.OutcomeReportedTwice, a.Call.ID, "second outcome of an attempt on endpoint "+a.Endpoint)
	}
	if outcome.Content != nil {
		outcome.Content.Discard()
	}
}

// newAttempt adds the call's next attempt, as decided by the balancer. While the body is pending and the deadline is therefore
// unknown, the attempt ends at the upload timeout.
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

// writeDeadline returns the time before which the next attempt must be written. The balancer checks the idempotency window when it
// decides on an attempt, but dialing may take until after the end of the window. Endpoints would then no longer recognize the
// attempt as a repetition, and would execute the request again. The upstream therefore checks this deadline when it writes.
func (c *Call) writeDeadline(deadline time.Duration) time.Duration {
	first := c.firstPossibleExecution()
	if first == 0 || c.IdempotencyWindow <= 0 {
		return deadline
	}
	return min(deadline, first+c.IdempotencyWindow)
}

// attemptEnded removes an attempt from those in flight and notes whether it may have been executed.
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
	if c.possibleExecutionAt == 0 || a.SentAt < c.possibleExecutionAt {
		c.possibleExecutionAt = a.SentAt
	}
}

// provesNotExecuted reports whether the result proves that the request was not executed.
func provesNotExecuted(result logic.Result) bool {
	switch result {
	case logic.NotSent, logic.ConnectFailed, logic.Rejected:
		return true
	}
	return false
}

// withdrawAttempts prevents attempts that have not begun from beginning.
func (c *Call) withdrawAttempts() {
	for a := c.inFlight; a != nil; a = a.previous {
		a.claim.CompareAndSwap(unclaimed, withdrawn)
	}
}

// neverExecuted reports whether no attempt can have been executed, or be executed later. It must be called after withdrawAttempts.
func (c *Call) neverExecuted() bool {
	for a := c.inFlight; a != nil; a = a.previous {
		if a.claim.Load() == begun {
			return false
		}
	}
	return c.possibleExecutionAt == 0
}

// firstPossibleExecution returns the SentAt of the earliest attempt that may have been executed or may still be; 0 if there is none.
func (c *Call) firstPossibleExecution() time.Duration {
	first := c.possibleExecutionAt
	for a := c.inFlight; a != nil; a = a.previous {
		if first == 0 || a.SentAt < first {
			first = a.SentAt
		}
	}
	return first
}
