package logic

import (
	"container/heap"
	"slices"
	"time"
)

// This file holds the rules for sending a request, and ends requests.

// request is a client's request, from its arrival until it has its final response and no attempt is in
// flight.
type request struct {
	Request
	class         *Class
	attempts      []*attempt // in the order of the sends
	inFlight      int        // attempts without an outcome
	closed        bool       // it has its final response, or needs none
	notReplayable bool       // it can't be sent again
	queued        bool       // it is in the deadline queue
	queueIndex    int        // index in the deadline queue

	forwarded *attempt // its response is being forwarded, as the wait for it is over; nil before that
	endReason Reason   // why the wait is over; only with forwarded
}

// attempt is one send of a request.
type attempt struct {
	request         *request
	endpoint        *endpoint
	zone, cell      int // of the endpoint at the time of the send; a later list may change them
	sentAt          time.Duration
	responseDueFrom time.Duration // when the endpoint had the whole request; 0 while the body is arriving
	lastArrivalAt   time.Duration // when more of the response arrived, as last reported; 0 before that
	responding      bool          // part of the response has arrived
	inFlight        bool
	neverExecuted   bool
}

// fullySent reports whether the endpoint has received the whole request, so that its response is due. This
// stays true after the attempt has ended.
func (a *attempt) fullySent() bool { return a.responseDueFrom > 0 }

// maySend reports whether a request may be sent to an endpoint now. Every send passes this check, so these
// rules hold regardless of selection and retries:
//
//   - a request that has ended, whose deadline has passed or whose response is being forwarded is not sent;
//   - nothing is sent to an endpoint that is draining or removed;
//   - a request has at most MaxAttempts attempts, and at most one in flight, or two if hedging is allowed;
//   - there is no second attempt while the body is being streamed, or once the request can't be replayed;
//   - a request that may have been executed is sent again only as its idempotency allows.
func (b *Balancer) maySend(r *request, e *endpoint) bool {
	switch {
	case r.closed || r.forwarded != nil || b.now >= r.Deadline || e.State != Ready:
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

// mayRepeat reports whether a request may be sent to the endpoint although an earlier attempt, first, may
// have been executed. A request with an idempotency key may be repeated only within the idempotency window,
// which starts when first was sent and is shortened by the timer resolution, and only at an endpoint that
// drops repeats of first.
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

// firstPossiblyExecuted returns the first attempt that may have had an effect, or nil.
func (r *request) firstPossiblyExecuted() *attempt {
	for _, a := range r.attempts {
		if !a.neverExecuted {
			return a
		}
	}
	return nil
}

// attemptedAt reports whether an attempt of the request was sent to the endpoint.
func (r *request) attemptedAt(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.endpoint == e })
}

// mayReject reports whether the guarantee of a Reject holds: the client can safely try again.
func (r *request) mayReject() bool {
	return r.firstPossiblyExecuted() == nil || r.class.Idempotency == Idempotent ||
		r.class.Idempotency == IdempotentWithKey && r.class.DedupScope == DedupFleet
}

// dispatch sends the request to the selected endpoint, or ends it if there is none. It reports whether the
// request was sent.
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

// unsendableReason returns why no endpoint may get the request.
func (b *Balancer) unsendableReason(r *request) Reason {
	switch {
	case b.now >= r.Deadline:
		return DeadlineExceeded
	case r.notReplayable || r.firstPossiblyExecuted() != nil && r.class.Idempotency != Idempotent:
		return NotRetryable
	}
	return NoEndpointLeft
}

// send records and emits an attempt. The caller must have checked it with maySend.
func (b *Balancer) send(r *request, e *endpoint, reason Reason) {
	if len(e.inFlight) == 0 {
		e.lastSeen = b.now
	}
	a := &attempt{request: r, endpoint: e, zone: e.Zone, cell: e.Cell, sentAt: b.now, inFlight: true}
	if !r.BodyPending {
		a.responseDueFrom = b.now
	}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	e.inFlight = append(e.inFlight, a)
	b.emit(Action{Kind: Send, Reason: reason, Request: r.ID, Endpoint: e.ID})
}

// handleBodyReceived starts the deadline of a request whose body has arrived and was forwarded to its
// endpoint. The endpoint's response is due from now on. The body is not buffered, so the request can't be
// sent again.
func (b *Balancer) handleBodyReceived(e BodyReceived) {
	r := b.requests[e.Request]
	if r == nil || !r.BodyPending {
		return
	}
	r.BodyPending, r.notReplayable, r.Deadline = false, true, e.Deadline
	for _, a := range r.attempts {
		a.responseDueFrom = b.now
	}
	if !r.closed {
		b.watchDeadline(r)
	}
}

// handleResponseUnderWay notes that the endpoint of an attempt is responding.
func (b *Balancer) handleResponseUnderWay(e ResponseUnderWay) {
	r := b.requests[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) {
		return
	}
	a := r.attempts[e.Attempt]
	a.responding = true
	a.lastArrivalAt = max(a.lastArrivalAt, e.ArrivedAt)
	a.endpoint.lastSeen = max(a.endpoint.lastSeen, e.ArrivedAt)
}

// responseUnderWay returns the attempt in flight whose response has begun to arrive, or nil. Of two it is the
// one of which more has arrived last: the other endpoint may have stopped in the middle of its response.
func (r *request) responseUnderWay() (latest *attempt) {
	for _, a := range r.attempts {
		if a.inFlight && a.responding && (latest == nil || a.lastArrivalAt > latest.lastArrivalAt) {
			latest = a
		}
	}
	return latest
}

// finish ends a request that was not served, with a Reject if the client can safely try again and with a
// Fail otherwise.
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

// closeRequest marks a request as ended: no further attempt or response follows. The request is deleted
// when its last attempt in flight has its outcome.
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
