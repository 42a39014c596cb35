package logic

import (
	"testing"
	"time"
)

// What is not held any more goes out no second time, also where that would be allowed; whether it may be refused
// depends on whether it may have run.
func TestNotReplayableRequestIsNotRetried(t *testing.T) {
	for _, c := range []struct {
		class  int
		result Result
		want   ActionKind
	}{{0, Reset, Reject}, {0, ConnectFailed, Reject}, {1, ConnectFailed, Reject}, {1, NotSent, Reject}, {1, Reset, Fail}} {
		h := newHarness(t, testSettings(), 1, 1)
		h.Handle(h.clock, Request{ID: "up", Class: c.class, BodyPending: true})
		a := h.Handle(h.clock, Outcome{Request: "up", Result: c.result, NotReplayable: true, LoadReport: NoLoadReport})
		if len(a) != 1 || a[0].Kind != c.want {
			t.Errorf("class %d, %v: %+v", c.class, c.result, a)
		}
		// With nothing of it gone, it is as any other.
		h.Handle(h.clock, Request{ID: "whole", Class: c.class, BodyPending: true})
		if a := h.Handle(h.clock, Outcome{Request: "whole", Result: ConnectFailed, LoadReport: NoLoadReport}); len(a) != 1 || a[0].Kind != Send {
			t.Errorf("class %d: %+v", c.class, a)
		}
	}
}

// What was not sent, as the agent had no place for it, goes elsewhere and speaks against no server.
func TestNotSentIsRetriedElsewhereWithoutBlame(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	id, to := h.sendRequest(nonIdempotentClass)
	actions := h.endAttempt(id, to, 0, NotSent, NoLoadReport)
	if len(actions) != 1 || actions[0].Kind != Send || actions[0].Endpoint == to {
		t.Errorf("after %s: %+v", to, actions)
	}
	if s := h.endpoint(to); s.health.failureRate != 0 {
		t.Errorf("failing %v", s.health.failureRate)
	}
}

// Further attempts must not multiply an overload.
func TestRetryBudgetBoundsAttempts(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1)
	sends := 0
	const n = 1000
	for range n {
		id, to := h.sendRequest(cheapClass)
		for try := 0; to != ""; try++ {
			sends++
			next := h.endAttempt(id, to, try, Reset, NoLoadReport) // a rejection would be a sign of a jam, and refusals would hide the rest
			to = ""
			if len(next) == 1 && next[0].Kind == Send {
				to = next[0].Endpoint
			}
		}
	}
	if most := n*(1+retriesPerRequest) + maxSavedRetries; float64(sends) > most || float64(sends) < most-2*maxSavedRetries {
		t.Errorf("%d attempts for %d requests", sends, n)
	}
}

// Each result says whether the request may have run, and so what may follow for one that must not run twice: another attempt, or
// the end without a promise. A refusal tells when to come back.
func TestResultDecidesRetryOrFail(t *testing.T) {
	for result, again := range map[Result]bool{Failed: false, TimedOut: false, Reset: false, Cancelled: false,
		Rejected: true, ConnectFailed: true, NotSent: true} {
		h := newHarness(t, testSettings(), 1, 1)
		id, to := h.sendRequest(nonIdempotentClass)
		want := Fail
		if again {
			want = Send
		}
		if a := h.endAttempt(id, to, 0, result, NoLoadReport); len(a) != 1 || a[0].Kind != want {
			t.Errorf("after result %d: %+v", result, a)
		}
	}
	set := testSettings()
	set.MaxRetryAfter = 200 * time.Millisecond
	for class, want := range []time.Duration{200 * time.Millisecond, 200 * time.Millisecond} {
		h := newHarness(t, set) // with no server
		var refusal Action
		for _, a := range h.Handle(h.clock, Request{ID: "r", Class: class, Deadline: h.clock + time.Second}) {
			if a.Kind == Reject {
				refusal = a
			}
		}
		if refusal.Request != "r" || refusal.Delay != want {
			t.Errorf("class %d: %+v", class, refusal)
		}
	}
}

// What must not be sent again costs nothing of the budget for what is.
func TestUnsentRetryCostsNoBudget(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1)
	saved := h.retries.available
	for range 100 {
		id, to := h.sendRequest(nonIdempotentClass)
		h.endAttempt(id, to, 0, Reset, NoLoadReport)
	}
	if h.retries.available != saved {
		t.Errorf("%v of %v are left after 100 failures that nothing follows", h.retries.available, saved)
	}
}
