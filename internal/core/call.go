package core

import (
	"sync/atomic"
	"time"

	"ryeweir/internal/event"
)

// Call is a client request: the properties that the balancer's decisions depend on, the message, and the channel for the answer.
// A frontend sets the exported fields and passes the call to Core.Submit. It must not change the fields afterwards.
type Call struct {
	ID     string // unique among the calls in progress
	Class  int    // index into logic.Settings.Classes
	Tenant int    // index into logic.Settings.TenantQuotas; negative if there is none
	Key    string // what the request concerns, for affinity: requests with the same key prefer the same endpoint; may be empty

	// Timeout is the time limit for the answer, from the last byte of the message on. The client itself waits longer, by
	// TimeoutSlack.
	Timeout      time.Duration
	TimeoutSlack time.Duration
	// Deadline is when Timeout ends, on the core's clock. For a call with BodyPending it is 0 until the loop sets it after
	// Core.BodyReceived.
	Deadline time.Duration
	// LatencyObjective is the time that an endpoint has to answer before a timeout counts as a failure of the endpoint.
	LatencyObjective time.Duration

	// BodyPending means that the message is still arriving and can be read only once: after an attempt has read from it, there can
	// be no further one.
	BodyPending bool
	// RepeatRestricted is true for every class but the idempotent ones: a further attempt is allowed only if no earlier one can have
	// been executed, or within IdempotencyWindow.
	RepeatRestricted bool
	// IdempotencyWindow applies to classes with idempotency keys and is 0 for others. It is the time after the first attempt that
	// may have been executed within which a further attempt may begin.
	IdempotencyWindow time.Duration

	Message any    // opaque to the core; its type is agreed between the frontend and the upstream of a protocol
	Release func() // called once, when Message is no longer in use; may be nil

	answer      chan Answer // buffered, so that the loop never blocks on a frontend
	submitted   atomic.Bool
	submittedAt time.Duration // set only if there is a budget
	finished    atomic.Bool   // answered or abandoned; set by the loop only
	finishedAt  atomic.Int64  // as time.Duration on the core's clock
	done        chan struct{} // closed when finished

	// Owned by the loop.
	acceptedAt    time.Duration
	attemptsMade  int
	inFlightCount int
	inFlight      *Attempt // the latest attempt in flight, linked to earlier ones by Attempt.previous
	// possibleExecutionAt is the SentAt of the earliest ended attempt that may have been executed; 0 if there is none.
	possibleExecutionAt time.Duration
}

// Done returns a channel that is closed when the call has been answered or abandoned. It returns nil before Submit.
func (c *Call) Done() <-chan struct{} { return c.done }

// Finished reports whether the call has been answered or abandoned. It may be called from any goroutine.
func (c *Call) Finished() bool { return c.finished.Load() }

// FinishedAt returns the time on the core's clock at which the call was answered or abandoned. It is valid once Finished returns
// true, and may be called from any goroutine.
func (c *Call) FinishedAt() time.Duration { return time.Duration(c.finishedAt.Load()) }

// finish marks the call as answered or abandoned, and withdraws attempts that have not begun. It must be called only once.
func (c *Call) finish(now time.Duration) {
	c.withdrawAttempts()
	c.finishedAt.Store(int64(now))
	c.finished.Store(true)
	close(c.done)
}

// release tells the frontend that Message is no longer in use.
func (c *Call) release() {
	if c.Release != nil {
		c.Release()
	}
}

// AnswerKind says how a call ended for its client.
type AnswerKind int

// The kinds of answers.
const (
	Served    AnswerKind = iota // an endpoint answered; Content is what it sent
	Rejected                    // the request was not executed, or may be executed again: sending it again does no harm
	Failed                      // the request may have been executed
	Duplicate                   // another call with the same id is in progress
)

// Answer is the final answer to a client.
type Answer struct {
	Kind       AnswerKind
	Reason     event.Reason  // for events and the log
	Content    Content       // only if Kind is Served; the receiver owns it and must consume or discard it
	RetryAfter time.Duration // how long the client should wait before it sends the request again; 0 for no advice
}

// Content is an endpoint's answer to a call. It may still be arriving, and is opaque to the core.
type Content interface {
	// Discard releases content that no client receives. It may be called more than once and from any goroutine, and must not block.
	Discard()
}

// discard discards the answer's content, if it has any.
func (a Answer) discard() {
	if a.Content != nil {
		a.Content.Discard()
	}
}
