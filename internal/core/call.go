package core

import (
	"sync/atomic"
	"time"

	"ryeweir/internal/event"
)

// Call is one request of a client: what the decisions need, the message itself, and the channel for its one answer. A front
// sets the exported fields, hands the call over with Submit, and does not change them afterwards.
type Call struct {
	ID     string // unique among the calls in progress
	Class  int    // index into the settings' classes
	Tenant int    // index into the settings' tenants; below 0 for none
	Key    string // what the request is about, for affinity; may be empty

	// Timeout is how long the answer may take, from the last byte of the message on. The client itself waits TimeoutSlack
	// longer.
	Timeout      time.Duration
	TimeoutSlack time.Duration
	// Deadline is when Timeout ends, on the core's clock. It is 0 for a call with BodyPending until the loop sets it on
	// Core.BodyReceived.
	Deadline time.Duration
	// LatencyObjective is how long an answer may take before its absence counts against the endpoint.
	LatencyObjective time.Duration

	// BodyPending says that the message is still arriving and can be read once only: no attempt after the first that read it.
	BodyPending bool
	// RepeatRestricted is true for every class but the idempotent ones: another attempt is allowed only if none can have run, or
	// within IdempotencyWindow.
	RepeatRestricted bool
	// IdempotencyWindow, of a class with idempotency keys, is how long after the first attempt that may have run another may
	// begin; 0 for other classes.
	IdempotencyWindow time.Duration

	Message any    // opaque to the core; the front and the upstream of one protocol agree on it
	Release func() // called once, when nothing uses Message any more; may be nil

	answer      chan Answer // buffered, so that the loop never blocks on a front
	submitted   atomic.Bool
	submittedAt time.Duration // set only with a budget
	finished    atomic.Bool   // answered or abandoned; set by the loop only
	finishedAt  atomic.Int64  // time.Duration on the core's clock
	done        chan struct{} // closed when finished

	// Owned by the loop.
	acceptedAt    time.Duration
	attemptsMade  int
	inFlightCount int
	inFlight      *Attempt // the latest attempt in flight, linked to those before it
	// executedAt is when the earliest ended attempt that may have run was sent; 0 without one.
	executedAt time.Duration
}

// Done is closed when no client waits for the call's answer any more. It is nil for a call that was not submitted.
func (c *Call) Done() <-chan struct{} { return c.done }

// Finished reports whether no client waits for the call's answer any more. It may be called by any goroutine.
func (c *Call) Finished() bool { return c.finished.Load() }

// FinishedAt returns when Finished became true, on the core's clock. It may be called by any goroutine.
func (c *Call) FinishedAt() time.Duration { return time.Duration(c.finishedAt.Load()) }

// finish records that no client waits for the answer any more and stops attempts that have not begun. It is called once.
func (c *Call) finish(now time.Duration) {
	c.withdrawAttempts()
	c.finishedAt.Store(int64(now))
	c.finished.Store(true)
	close(c.done)
}

// release gives the message back to the front.
func (c *Call) release() {
	if c.Release != nil {
		c.Release()
	}
}

// AnswerKind is the kind of an answer.
type AnswerKind int

// The kinds of answers.
const (
	Served    AnswerKind = iota // with the content that an endpoint sent
	Rejected                    // the request did not run, or may run again: sending it again does no harm
	Failed                      // the request may have run
	Duplicate                   // another call under the same id is in progress
)

// Answer is the final answer to a client.
type Answer struct {
	Kind       AnswerKind
	Reason     event.Reason  // for events and the log
	Content    Content       // of Served; the receiver owns it and must consume or discard it
	RetryAfter time.Duration // how long the client should wait before it sends the request again; 0 to say nothing
}

// Content is what an endpoint sent for a call, which may still be arriving. It is opaque to the core.
type Content interface {
	// Discard releases content that is not passed on. It may be called more than once and by any goroutine, and must not block.
	Discard()
}

// discard releases the content of an answer that no client receives.
func (a Answer) discard() {
	if a.Content != nil {
		a.Content.Discard()
	}
}
