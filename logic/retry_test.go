package logic

import (
	"testing"
	"time"
)

// The body of a request streamed to its endpoint and is not buffered. It can't be sent again, also where
// its class would allow a retry. Whether it is rejected or fails depends on whether it may have been
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
			t.Errorf("class %d, result %d: %+v", c.class, c.result, actions)
		}
		// One of which nothing has been consumed is retried as any other.
		h.Handle(h.clock, Request{ID: "complete", Class: c.class, BodyPending: true})
		actions = h.Handle(h.clock, Outcome{Request: "complete", Result: ConnectFailed, LoadReport: NoLoadReport})
		if len(actions) != 1 || actions[0].Kind != Send {
			t.Errorf("class %d, nothing consumed: %+v", c.class, actions)
		}
	}
}

// The agent could not send an attempt, as a limit of its own was reached. It must go to another endpoint,
// and count against none.
func TestNotSentIsRetriedElsewhereAndIsNoFailure(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	id, to := h.sendRequest(nonIdempotentClass)
	actions := h.endAttempt(id, to, 0, NotSent, NoLoadReport)
	if len(actions) != 1 || actions[0].Kind != Send || actions[0].Endpoint == to {
		t.Errorf("after %s: %+v", to, actions)
	}
	if rate := h.endpoint(to).health.failureRate; rate != 0 {
		t.Errorf("the failure rate is %v", rate)
	}
}

// All endpoints fail all requests. Without a budget each request would be sent MaxAttempts times, and
// multiply the load that may have made them fail.
func TestRetryBudgetBoundsAttempts(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1)
	const requests = 1000
	sends := 0
	for range requests {
		id, to := h.sendRequest(cheapClass)
		for attempt := 0; to != ""; attempt++ {
			sends++
			// A Rejected would count as overload, and shedding would replace the retries.
			next := h.endAttempt(id, to, attempt, Reset, NoLoadReport)
			to = ""
			if len(next) == 1 && next[0].Kind == Send {
				to = next[0].Endpoint
			}
		}
	}
	most := requests*(1+retriesPerRequest) + maxRetryBudget
	if float64(sends) > most || float64(sends) < most-2*maxRetryBudget {
		t.Errorf("%d attempts for %d requests, want about %.0f", sends, requests, most)
	}
}

// A result says whether a non-idempotent request may have been executed, and so what may follow: a retry,
// or a Fail.
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
			t.Errorf("after result %d: %+v, want kind %d", c.result, next, c.want)
		}
	}
}

// A Reject says when the client may try again, within what clients respect.
func TestRejectCarriesRetryAfter(t *testing.T) {
	set := testSettings()
	set.MaxRetryAfter = 200 * time.Millisecond
	for _, class := range []int{cheapClass, nonIdempotentClass} {
		h := newHarness(t, set) // with no endpoint
		var reject Action
		for _, a := range h.Handle(h.clock, Request{ID: "r", Class: class, Deadline: h.clock + time.Second}) {
			if a.Kind == Reject {
				reject = a
			}
		}
		if reject.Request != "r" || reject.Delay != set.MaxRetryAfter {
			t.Errorf("class %d: %+v", class, reject)
		}
	}
}

// Many requests fail that must not be sent again. They must not use up the budget of those that may.
func TestUnsentRetryDoesNotSpendBudget(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1)
	before := h.retryBudget.available
	for range 100 {
		id, to := h.sendRequest(nonIdempotentClass)
		h.endAttempt(id, to, 0, Reset, NoLoadReport)
	}
	if h.retryBudget.available != before {
		t.Errorf("%v of %v retries are left after 100 failures without a retry", h.retryBudget.available, before)
	}
}
