package logic

import (
	"testing"
	"time"
)

// The body of a request was streamed to its endpoint and is not buffered. The request can't be sent again,
// even if its class would allow a retry. It must be rejected or fail, depending on whether it may have been
// executed.
func TestNotReplayableRequestIsNotRetried(t *testing.T) {
	for _, c := range []struct {
		class  int
		result Result
		want   ActionKind
	}{
		{cheapClass, Reset, Reject},
		{cheapClass, ConnectFailed, Reject},
		{nonIdempotentClass, ConnectFailed, Reject},
		{nonIdempotentClass, NotSent, Reject},
		{nonIdempotentClass, Reset, Fail},
	} {
		h := newHarness(t, testSettings(), 1, 1)
		h.Handle(h.clock, Request{ID: "consumed", Class: c.class, BodyPending: true})
		actions := h.Handle(h.clock, Outcome{Request: "consumed", Result: c.result, NotReplayable: true, LoadReport: NoLoadReport})
		if len(actions) != 1 || actions[0].Kind != c.want {
			t.Errorf("class %d, result %d: actions %+v", c.class, c.result, actions)
		}
		// A request of which nothing has been consumed is retried like any other.
		h.Handle(h.clock, Request{ID: "complete", Class: c.class, BodyPending: true})
		actions = h.Handle(h.clock, Outcome{Request: "complete", Result: ConnectFailed, LoadReport: NoLoadReport})
		if len(actions) != 1 || actions[0].Kind != Send {
			t.Errorf("class %d, body not consumed: actions %+v, want a Send", c.class, actions)
		}
	}
}

// The agent could not send an attempt because one of its own limits was reached. The request must be sent
// to another endpoint, and no endpoint's failure rate may rise.
func TestNotSentIsRetriedElsewhereAndIsNoFailure(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	id, to := h.sendRequest(nonIdempotentClass)
	actions := h.endAttempt(id, to, 0, NotSent, NoLoadReport)
	if len(actions) != 1 || actions[0].Kind != Send || actions[0].Endpoint == to {
		t.Errorf("actions after NotSent at %s: %+v, want a Send to another endpoint", to, actions)
	}
	if rate := h.endpoint(to).health.failureRate; rate != 0 {
		t.Errorf("failure rate %v after NotSent, want 0", rate)
	}
}

// All endpoints fail all requests. Without a budget each request would be sent MaxAttempts times, which
// would multiply the load that may have caused the failures.
func TestRetryBudgetBoundsAttempts(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1)
	const requests = 1000
	sends := 0
	for range requests {
		id, to := h.sendRequest(cheapClass)
		for attempt := 0; to != ""; attempt++ {
			sends++
			// The result Rejected would count as overload, and the requests would be shed instead of
			// retried.
			next := h.endAttempt(id, to, attempt, Reset, NoLoadReport)
			to = ""
			if len(next) == 1 && next[0].Kind == Send {
				to = next[0].Endpoint
			}
		}
	}
	limit := requests*(1+retriesPerRequest) + maxRetryBudget
	if float64(sends) > limit || float64(sends) < limit-2*maxRetryBudget {
		t.Errorf("%d attempts for %d requests, want about %.0f", sends, requests, limit)
	}
}

// The result determines whether a non-idempotent request may have been executed, and therefore whether a
// retry or a Fail must follow.
func TestResultDecidesRetryOrFail(t *testing.T) {
	for _, c := range []struct {
		result Result
		want   ActionKind
	}{
		{Failed, Fail}, {TimedOut, Fail}, {Reset, Fail}, {Cancelled, Fail},
		{Rejected, Send}, {ConnectFailed, Send}, {NotSent, Send},
	} {
		h := newHarness(t, testSettings(), 1, 1)
		id, to := h.sendRequest(nonIdempotentClass)
		if next := h.endAttempt(id, to, 0, c.result, NoLoadReport); len(next) != 1 || next[0].Kind != c.want {
			t.Errorf("actions after result %d: %+v, want kind %d", c.result, next, c.want)
		}
	}
}

// A Reject must state when the client may try again, limited to the longest Retry-After that clients
// respect.
func TestRejectCarriesRetryAfter(t *testing.T) {
	settings := testSettings()
	settings.MaxRetryAfter = 200 * time.Millisecond
	for _, class := range []int{cheapClass, nonIdempotentClass} {
		h := newHarness(t, settings) // no endpoints
		var reject Action
		for _, a := range h.Handle(h.clock, Request{ID: "r", Class: class, Deadline: h.clock + time.Second}) {
			if a.Kind == Reject {
				reject = a
			}
		}
		if reject.Request != "r" || reject.Delay != settings.MaxRetryAfter {
			t.Errorf("class %d: Reject is %+v", class, reject)
		}
	}
}

// Many requests fail that must not be sent again. They must not spend the budget of requests that may be
// retried.
func TestUnsentRetryDoesNotSpendBudget(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1)
	before := h.retryBudget.available
	for range 100 {
		id, to := h.sendRequest(nonIdempotentClass)
		h.endAttempt(id, to, 0, Reset, NoLoadReport)
	}
	if h.retryBudget.available != before {
		t.Errorf("retry budget %v after 100 failures without a retry, was %v", h.retryBudget.available, before)
	}
}
