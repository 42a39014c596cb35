package logic

import (
	"container/heap"
	"slices"
	"time"
)

// Attempts: what may be sent where, and how a request ends.

// maySend is the one place that says what may be sent where; every send passes it.
func (b *Balancer) maySend(r *request, s *server) bool {
	if r.closed || b.now >= r.Deadline || s.State != Ready || len(r.attempts) >= b.set.MaxAttempts ||
		r.out > 1 || r.out == 1 && !b.set.HedgingAllowed || r.spent || r.BodyPending && r.out > 0 {
		return false
	}
	first := r.mayHaveRun()
	if first == nil {
		return true
	}
	switch r.class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		if b.now+b.set.TimerResolution-first.sent >= r.class.IdempotencyWindow {
			return false
		}
		switch r.class.DedupScope {
		case DedupZone:
			return s.Zone == first.zone
		case DedupCell:
			return s.Cell == first.cell
		}
		return true
	}
	return false
}

// mayHaveRun is the first attempt that is not known to have had no effect.
func (r *request) mayHaveRun() *attempt {
	for _, a := range r.attempts {
		if !a.neverRan {
			return a
		}
	}
	return nil
}

// mayRefuse reports whether the client may be told that trying again does no harm.
func (r *request) mayRefuse() bool {
	return r.mayHaveRun() == nil || r.class.Idempotency == Idempotent ||
		r.class.Idempotency == IdempotentWithKey && r.class.DedupScope == DedupFleet
}

// try sends the request to the best server, or ends it when there is none. It reports whether it was sent.
func (b *Balancer) try(r *request) bool {
	s := b.pick(r)
	if s == nil {
		b.finish(r, b.whyNotSent(r))
		return false
	}
	cause := RetryAttempt
	switch {
	case s.trial:
		cause = HalfOpenAttempt
	case len(r.attempts) == 0:
		cause = FirstAttempt
	}
	b.send(r, s, cause)
	return true
}

// whyNotSent is why no server may get the request.
func (b *Balancer) whyNotSent(r *request) Reason {
	switch {
	case b.now >= r.Deadline:
		return DeadlineExceeded
	case r.spent || r.mayHaveRun() != nil && r.class.Idempotency != Idempotent:
		return NotRetryable
	}
	return NoEndpointLeft
}

func (b *Balancer) send(r *request, s *server, cause Reason) {
	if len(s.inFlight) == 0 {
		s.heard = b.now
	}
	a := &attempt{req: r, srv: s, zone: s.Zone, cell: s.Cell, sent: b.now, owed: b.now, out: true}
	if r.BodyPending {
		a.owed = 0
	}
	r.attempts = append(r.attempts, a)
	r.out++
	s.inFlight = append(s.inFlight, a)
	b.act(Action{Kind: Send, Reason: cause, Request: r.ID, Endpoint: s.ID})
}

// copyLate sends a second copy of requests whose answer is late: it may never come, where a connection fell
// silent or a server hangs, and by the deadline nothing is gained any more. A part of the budget is kept for
// repeats of what has failed, and none is sent where servers are busy: all is late there, and copies make it
// worse.
func (b *Balancer) copyLate() {
	if b.shed > 0 || b.busy > copyTo {
		return
	}
	var late []*request
	for _, s := range b.servers {
		for _, a := range s.inFlight {
			if a.owed > 0 && b.now-a.owed > time.Duration(copyAfter*b.usual[a.req.Class]) && a.req.out == 1 {
				late = append(late, a.req)
			}
		}
	}
	for _, r := range late {
		if b.budget < b.mostSaved()/2 {
			return
		}
		if s := b.pick(r); s != nil && !r.tried(s) {
			b.budget--
			b.send(r, s, HedgedAttempt)
		}
	}
}

func (b *Balancer) outcome(o Outcome) {
	r := b.requests[o.Request]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].out {
		return
	}
	a := r.attempts[o.Attempt]
	a.out, a.neverRan = false, o.Result.neverRan()
	r.out--
	r.spent = r.spent || o.NotReplayable
	a.srv.inFlight = slices.DeleteFunc(a.srv.inFlight, func(other *attempt) bool { return other == a })
	b.report(a.srv, o.LoadReport)
	b.judge(a, o)
	switch {
	case r.closed || o.Closed:
		b.close(r)
	case r.out > 0: // the other copy goes on
	case r.spent:
		b.finish(r, NotRetryable)
	case b.budget >= 1:
		if b.try(r) { // one that must not be sent again costs nothing
			b.budget--
		}
	default:
		b.finish(r, RetryBudgetExhausted)
	}
}

// finish ends a request that was not served. A refusal is a promise, so it is a failure where that is not
// known to hold.
func (b *Balancer) finish(r *request, cause Reason) {
	if r.closed {
		return
	}
	kind := Fail
	if r.mayRefuse() {
		kind = Reject
	}
	after := min(b.set.MaxRetryAfter, r.class.LatencyObjective/2)
	b.act(Action{Kind: kind, Reason: cause, Request: r.ID, Delay: after})
	b.close(r)
}

// close marks the request as ended; it is kept while attempts are in flight.
func (b *Balancer) close(r *request) {
	if r.limited {
		heap.Remove(&b.open, r.place)
	}
	r.closed = true
	if r.out == 0 {
		delete(b.requests, r.ID)
	}
}

// mostSaved is how many further attempts may be saved up. Those of all balancers come at once when
// something breaks for all of them, so that in a large fleet each saves less.
func (b *Balancer) mostSaved() float64 {
	return max(1, min(retrySaved, retrySaved*usualFleet/float64(b.set.Balancers)))
}
