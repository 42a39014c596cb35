package logic

import "slices"

// This file decides what follows the outcome of an attempt, and holds the budget that limits retries and
// hedged requests. The budget prevents a retry storm, in which endpoints that fail under load get a
// multiple of that load.

const (
	// retriesPerRequest is the number of retries that each request adds to the budget.
	retriesPerRequest = 0.2
	// maxRetryBudget is the maximum budget of one balancer in a small fleet, in retries.
	maxRetryBudget = 10
)

// retryBudget is a token bucket that is refilled by requests, not by time.
type retryBudget struct {
	available float64 // retries that may be sent now
	capacity  float64 // maximum of available
}

// newRetryBudget returns a full budget. When a failure affects all balancers, they spend their budgets at
// the same time, so the capacity is smaller in a large fleet.
func newRetryBudget(balancers int) retryBudget {
	capacity := max(1, min(maxRetryBudget, maxRetryBudget*referenceFleetSize/float64(balancers)))
	return retryBudget{available: capacity, capacity: capacity}
}

// refill adds the retries allowed by one request.
func (budget *retryBudget) refill() {
	budget.available = min(budget.available+retriesPerRequest, budget.capacity)
}

// allowsRetry reports whether a retry may be sent.
func (budget *retryBudget) allowsRetry() bool { return budget.available >= 1 }

// allowsHedge reports whether a hedged request may be sent. Half of the budget is reserved for retries.
func (budget *retryBudget) allowsHedge() bool { return budget.available >= budget.capacity/2 }

// spend takes one retry or hedged request from the budget.
func (budget *retryBudget) spend() { budget.available-- }

// handleOutcome ends an attempt, updates the estimates with its outcome, and retries or ends the request.
func (b *Balancer) handleOutcome(o Outcome) {
	a := b.endAttempt(o)
	if a == nil {
		return
	}
	b.learnFromReport(a.endpoint, o.LoadReport)
	b.learnFromOutcome(a, o)
	if o.Closed {
		b.closeRequest(a.request)
		return
	}
	b.continueRequest(a.request)
}

// endAttempt records that an attempt is no longer in flight and returns it. It returns nil if the attempt
// is unknown or has already ended.
func (b *Balancer) endAttempt(o Outcome) *attempt {
	r := b.requests[o.Request]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].inFlight {
		return nil
	}
	a := r.attempts[o.Attempt]
	a.inFlight, a.neverExecuted = false, o.Result.neverExecuted()
	r.inFlight--
	r.notReplayable = r.notReplayable || o.NotReplayable
	a.endpoint.inFlight = slices.DeleteFunc(a.endpoint.inFlight, func(other *attempt) bool { return other == a })
	return a
}

// continueRequest retries or ends a request after an attempt has ended without a successful response. A
// request that is not sent again does not spend the budget.
func (b *Balancer) continueRequest(r *request) {
	switch {
	case r.closed:
		b.closeRequest(r) // deletes it if this was its last attempt in flight
	case r.forwarded != nil:
		b.endWait(r, r.endReason)
	case r.inFlight > 0: // the other attempt continues
	case r.notReplayable:
		b.finish(r, NotRetryable)
	case !b.retryBudget.allowsRetry():
		b.finish(r, RetryBudgetExhausted)
	default:
		if b.dispatch(r) {
			b.retryBudget.spend()
		}
	}
}
