package logic

import "slices"

// Retries: what follows the outcome of an attempt, and the budget that bounds retries and hedged requests.
// The budget guards against a retry storm: endpoints that fail under load would get a multiple of that
// load.

const (
	// retriesPerRequest is the number of retries that each request adds to the budget.
	retriesPerRequest = 0.2
	// maxSavedRetries is the most retries in the budget of one balancer of a small fleet.
	maxSavedRetries = 10
)

// retryBudget is a token bucket, filled by requests and not by time.
type retryBudget struct {
	available float64 // retries that may be sent now
	capacity  float64 // most that may be saved
}

// newRetryBudget returns a full budget. What all balancers have saved comes at once when something breaks for
// all of them, so that in a large fleet each saves less.
func newRetryBudget(balancers int) retryBudget {
	capacity := max(1, min(maxSavedRetries, maxSavedRetries*referenceFleetSize/float64(balancers)))
	return retryBudget{available: capacity, capacity: capacity}
}

// earn adds what one request allows.
func (budget *retryBudget) earn() {
	budget.available = min(budget.available+retriesPerRequest, budget.capacity)
}

// allowsRetry reports whether a retry may be sent.
func (budget *retryBudget) allowsRetry() bool { return budget.available >= 1 }

// allowsHedge reports whether a hedged request may be sent: half of the budget is reserved for retries.
func (budget *retryBudget) allowsHedge() bool { return budget.available >= budget.capacity/2 }

// spend takes one retry or hedged request that was sent.
func (budget *retryBudget) spend() { budget.available-- }

// handleOutcome ends an attempt, learns from it and decides what follows.
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

// endAttempt records that an attempt is not in flight any more and returns it, nil where it is not known or
// has ended before.
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

// continueRequest retries or ends a request of which an attempt has ended without an answer. A request that
// is not sent again costs nothing of the budget.
func (b *Balancer) continueRequest(r *request) {
	switch {
	case r.closed:
		b.closeRequest(r) // this may have been its last attempt
	case r.inFlight > 0: // the other attempt goes on
	case r.notReplayable:
		b.finish(r, NotRetryable)
	case !b.retries.allowsRetry():
		b.finish(r, RetryBudgetExhausted)
	default:
		if b.dispatch(r) {
			b.retries.spend()
		}
	}
}
