package core

import (
	"sync/atomic"
	"time"

	"ryeweir/internal/event"
	"ryeweir/logic"
)

// PendingResponse is the response to an attempt while its outcome has not been reported. Its methods may be called from any goroutine, and also
// after the outcome has been reported.
type PendingResponse interface {
	// Begun reports whether any part of the response has arrived, whether or not the upstream has read it. It must not block.
	Begun() bool
	// EndWait ends the wait for the response: the upstream must report its outcome at once. A response that may be forwarded before it is
	// complete is reported as successful, with what has arrived of it.
	EndWait()
}

// responseInProgress is what the core knows of the response to an attempt.
type responseInProgress struct {
	pending       atomic.Pointer[PendingResponse] // nil if the upstream does not tell
	arrivedAt     atomic.Int64                    // when more of it last arrived, as time.Duration on the core's clock; 0 before that
	reportedUntil time.Duration                   // the arrivedAt that the balancer was last notified of; owned by the loop
}

// AwaitResponse tells the core where it can ask for the response to the attempt, and end the wait for it. Without it the request ends at its
// deadline, whatever has arrived.
func (a *Attempt) AwaitResponse(response PendingResponse) { a.response.pending.Store(&response) }

// ResponseArriving records that more has arrived of a response that may be forwarded before it is complete.
func (a *Attempt) ResponseArriving(now time.Duration) { a.response.arrivedAt.Store(int64(now)) }

// EndWait ends the wait for the response to the attempt, if the upstream awaits one.
func (a *Attempt) EndWait() {
	if pending := a.response.pending.Load(); pending != nil {
		(*pending).EndWait()
	}
}

// underWay reports whether the balancer has to be notified of what has arrived. waitOver says that the wait for the response is over.
func (r *responseInProgress) underWay(waitOver bool) bool {
	pending := r.pending.Load()
	if pending == nil {
		return false
	}
	arrivedAt := time.Duration(r.arrivedAt.Load())
	if arrivedAt > r.reportedUntil {
		r.reportedUntil = arrivedAt
		return true
	}
	return waitOver && (*pending).Begun()
}

// waitsOverAt returns a function that reports whether the deadline of a call has passed at a time.
func waitsOverAt(now time.Duration) func(*Call) bool {
	return func(call *Call) bool { return call.Deadline != 0 && call.Deadline <= now }
}

// allWaitsOver reports that the wait of every call is over.
func allWaitsOver(*Call) bool { return true }

// reportResponsesUnderWay notifies the balancer of responses of which more has arrived. If the wait of a call is over, that includes any response that
// has begun.
//
// Failure: a response arrives just before the deadline, and the goroutine that reads it runs just after it. The response is asked for here, and not
// reported by a message, so that the balancer decides by what has arrived and not by which goroutine ran first.
func (c *Core) reportResponsesUnderWay(waitOver func(*Call) bool) {
	for _, call := range c.calls {
		if call.finished.Load() {
			continue
		}
		over := waitOver(call)
		for attempt := call.inFlight; attempt != nil; attempt = attempt.previous {
			if attempt.response.underWay(over) {
				c.handleEvent(logic.ResponseUnderWay{Request: call.ID, Attempt: attempt.Number, ArrivedAt: attempt.response.reportedUntil})
			}
		}
	}
}

// forward ends the wait for the response to an attempt, in a separate goroutine because the outcome that follows may wait for the loop.
func (c *Core) forward(action logic.Action) {
	call := c.calls[action.Request]
	for attempt := call.inFlight; attempt != nil; attempt = attempt.previous {
		if attempt.Number == action.Attempt {
			c.recordEvent(event.AnswerWaitEnded, decisionReasons[action.Reason], attempt)
			c.attempts.Go(attempt.EndWait)
		}
	}
}
