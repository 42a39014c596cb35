package logic

import (
	"container/heap"
	"slices"
	"time"
)

// Attempts: what may be sent where, and how a request ends.

// request is a client's request, from its arrival until it has ended and no attempt is in flight.
type request struct {
	Request
	class         *Class
	attempts      []*attempt // in the order of the sends
	inFlight      int        // attempts without an outcome
	closed        bool       // it has its final answer, or needs none
	notReplayable bool       // it can't be sent again
	queued        bool       // it is in the deadline queue
	queueIndex    int        // there
}

// attempt is one send of a request.
type attempt struct {
	request       *request
	endpoint      *endpoint
	zone, cell    int // of the endpoint when it was sent: a later list may change them
	sentAt        time.Duration
	answerDueFrom time.Duration // since when the endpoint owes an answer; 0 while the body still arrives
	inFlight      bool
	neverExecuted bool
}

// awaitsAnswer reports whether the endpoint has the whole request.
func (a *attempt) awaitsAnswer() bool { return a.answerDueFrom > 0 }

// maySend is the guard of all sends: it reports whether a request may be sent to an endpoint now. It holds
// these rules, whatever selection and retries ask for:
//
//   - nothing for a request that has ended or whose deadline has passed;
//   - nothing to an endpoint that drains or is removed;
//   - at most MaxAttempts, and at most two in flight, where hedging is allowed;
//   - no second attempt while the body streams to the first, nor once it can't be replayed;
//   - what may have been executed is sent again only as its idempotency allows.
func (b *Balancer) maySend(r *request, e *endpoint) bool {
	switch {
	case r.closed || b.now >= r.Deadline || e.State != Ready:
		return false
	case len(r.attempts) >= b.settings.MaxAttempts:
		return false
	case r.inFlight > 1 || r.inFlight == 1 && !b.settings.HedgingAllowed:
		return false
	case r.notReplayable || r.BodyPending && r.inFlight > 0:
		return false
	}
	first := r.firstPossiblyExecuted()
	return first == nil || b.mayRepeat(r, first, e)
}

// mayRepeat reports whether a request of which an attempt may have been executed may go to the endpoint:
// within the idempotency window, counted from that attempt and less the error of the timers, and within the
// endpoints that drop repeats of it.
func (b *Balancer) mayRepeat(r *request, first *attempt, e *endpoint) bool {
	switch r.class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		if b.now+b.settings.TimerResolution-first.sentAt >= r.class.IdempotencyWindow {
			return false
		}
		switch r.class.DedupScope {
		case DedupZone:
			return e.Zone == first.zone
		case DedupCell:
			return e.Cell == first.cell
		}
		return true
	}
	return false
}

// firstPossiblyExecuted returns the first attempt that is not known to have had no effect, nil if there is
// none.
func (r *request) firstPossiblyExecuted() *attempt {
	for _, a := range r.attempts {
		if !a.neverExecuted {
			return a
		}
	}
	return nil
}

// attemptedAt reports whether an attempt of the request went to the endpoint.
func (r *request) attemptedAt(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.endpoint == e })
}

// mayReject reports whether the promise of a Reject holds: the client may try again without harm.
func (r *request) mayReject() bool {
	return r.firstPossiblyExecuted() == nil || r.class.Idempotency == Idempotent ||
		r.class.Idempotency == IdempotentWithKey && r.class.DedupScope == DedupFleet
}

// dispatch sends the request to the best endpoint, or ends it where there is none. It reports whether it
// was sent.
func (b *Balancer) dispatch(r *request) bool {
	e := b.selectEndpoint(r)
	if e == nil {
		b.finish(r, b.unsendableReason(r))
		return false
	}
	reason := RetryAttempt
	switch {
	case e.health.state == halfOpen:
		reason = HalfOpenAttempt
	case len(r.attempts) == 0:
		reason = FirstAttempt
	}
	b.send(r, e, reason)
	return true
}

// unsendableReason is why no endpoint may get the request.
func (b *Balancer) unsendableReason(r *request) Reason {
	switch {
	case b.now >= r.Deadline:
		return DeadlineExceeded
	case r.notReplayable || r.firstPossiblyExecuted() != nil && r.class.Idempotency != Idempotent:
		return NotRetryable
	}
	return NoEndpointLeft
}

// send records and emits an attempt that maySend allows.
func (b *Balancer) send(r *request, e *endpoint, reason Reason) {
	if len(e.inFlight) == 0 {
		e.lastSeen = b.now
	}
	a := &attempt{request: r, endpoint: e, zone: e.Zone, cell: e.Cell, sentAt: b.now, inFlight: true}
	if !r.BodyPending {
		a.answerDueFrom = b.now
	}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	e.inFlight = append(e.inFlight, a)
	b.emit(Action{Kind: Send, Reason: reason, Request: r.ID, Endpoint: e.ID})
}

// handleBodyReceived starts the deadline of a request whose body has arrived and gone on to its endpoint.
// Only now does that endpoint owe an answer. The body is not buffered, so the request can't be sent again.
func (b *Balancer) handleBodyReceived(e BodyReceived) {
	r := b.requests[e.Request]
	if r == nil || !r.BodyPending {
		return
	}
	r.BodyPending, r.notReplayable, r.Deadline = false, true, e.Deadline
	for _, a := range r.attempts {
		a.answerDueFrom = b.now
	}
	if !r.closed {
		b.watchDeadline(r)
	}
}

// finish gives a request that was not served its final answer. Where the promise of a Reject is not known to
// hold, it is a Fail.
func (b *Balancer) finish(r *request, reason Reason) {
	if r.closed {
		return
	}
	kind := Fail
	if r.mayReject() {
		kind = Reject
	}
	retryAfter := min(b.settings.MaxRetryAfter, r.class.LatencyObjective/2)
	b.emit(Action{Kind: kind, Reason: reason, Request: r.ID, Delay: retryAfter})
	b.closeRequest(r)
}

// closeRequest marks a request as ended: nothing is sent or answered for it any more. It is forgotten with
// the outcome of its last attempt in flight.
func (b *Balancer) closeRequest(r *request) {
	if r.queued {
		heap.Remove(&b.deadlines.queue, r.queueIndex)
	}
	r.closed = true
	if r.inFlight == 0 {
		delete(b.requests, r.ID)
	}
}

func (b *Balancer) closeByID(id string) {
	if r := b.requests[id]; r != nil {
		b.closeRequest(r)
	}
}
