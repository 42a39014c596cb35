package logic

import (
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"
)

// The deadline of a request has already passed when the request arrives. It must be rejected at once, and
// nothing may be sent.
func TestExpiredRequestIsRejectedOnArrival(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1)
	rejected := false
	for _, a := range h.Handle(h.clock, Request{ID: "x", Deadline: h.clock}) {
		rejected = rejected || a.Kind == Reject
		if a.Kind == Send {
			t.Error("request sent after its deadline")
		}
	}
	if !rejected {
		t.Error("expired request was not rejected")
	}
}

// A timer per request would wake the process for requests that ended long before, so one timer serves all
// deadlines. No deadline may be missed if an earlier deadline is added later, if the request for which the
// timer is set ends early, or if a replaced timer still fires.
func TestOneTimerServesAllDeadlines(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1)
	h.Handle(h.clock, TimerFired{tickToken})
	timers := map[uint64]time.Duration{}
	ended := map[string]time.Duration{}
	record := func(actions []Action) {
		for _, a := range actions {
			switch {
			case a.Kind == SetTimer && a.Token >= deadlineToken:
				timers[a.Token] = h.clock + a.Delay
			case a.Kind == Reject || a.Kind == Fail:
				ended[a.Request] = h.clock
			}
		}
	}
	deadlines := map[string]time.Duration{}
	for i, after := range []time.Duration{900, 300, 600, 300, 1200} {
		id := strconv.Itoa(i)
		deadlines[id] = h.clock + after*time.Millisecond
		record(h.Handle(h.clock, Request{ID: id, Deadline: deadlines[id]}))
	}
	if len(timers) != 2 { // the first for 900 ms, the second for 300 ms
		t.Errorf("%d timers for five requests, want 2", len(timers))
	}
	record(h.Handle(h.clock, ClientDisconnected{"2"})) // it has no timer of its own
	delete(deadlines, "2")
	for len(timers) > 0 {
		token := earliestTimer(timers)
		h.clock = timers[token]
		delete(timers, token)
		record(h.Handle(h.clock, TimerFired{token}))
	}
	if !maps.Equal(ended, deadlines) {
		t.Errorf("requests ended at %v, want their deadlines %v", ended, deadlines)
	}
	if n := len(h.deadlines.queue); n != 0 {
		t.Errorf("%d requests are still in the queue", n)
	}
}

// earliestTimer returns the token of the timer that fires next, or the lowest token of several.
func earliestTimer(timers map[uint64]time.Duration) (next uint64) {
	for token, at := range timers {
		if next == 0 || at < timers[next] || at == timers[next] && token < next {
			next = token
		}
	}
	return next
}

// The process shuts down with requests in flight. Each must get its final response at once, in a
// deterministic order. A request that arrives later must get one too.
func TestShutdownEndsAllRequests(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1)
	var open []string
	for range 3 {
		id, _ := h.sendRequest(nonIdempotentClass)
		open = append(open, id)
	}
	actions := h.Handle(h.clock, Shutdown{})
	var ended []string
	for _, a := range actions {
		if a.Kind != Fail || a.Reason != ShuttingDown {
			t.Errorf("action for a request that may have been executed: %+v, want Fail with ShuttingDown", a)
		}
		ended = append(ended, a.Request)
	}
	if !slices.Equal(ended, open) {
		t.Errorf("ended requests %v, want %v", ended, open)
	}
	actions = h.Handle(h.clock, Request{ID: "late", Deadline: h.clock + time.Second})
	if last := actions[len(actions)-1]; last.Kind != Reject || last.Reason != ShuttingDown {
		t.Errorf("actions for a request after the shutdown: %+v, want Reject with ShuttingDown", actions)
	}
}

// Guards against a request that is failed at its deadline while its response is under way.
func TestResponseUnderWayIsForwardedAtTheEndOfTheWait(t *testing.T) {
	for _, reason := range []Reason{DeadlineExceeded, ShuttingDown} {
		for _, result := range []Result{OK, Reset} { // of the attempt whose response is forwarded
			h := newHarness(t, testSettings(), 1, 1)
			deadline := h.clock + 800*time.Millisecond
			endWait := Event(Shutdown{})
			var endpoint string
			for _, a := range h.Handle(h.clock, Request{ID: "x", Class: nonIdempotentClass, Deadline: deadline}) {
				switch {
				case a.Kind == Send:
					endpoint = a.Endpoint
				case a.Kind == SetTimer && reason == DeadlineExceeded:
					endWait = TimerFired{a.Token}
				}
			}
			h.Handle(h.clock, ResponseUnderWay{Request: "x"})
			h.clock = deadline
			if actions := decisionsOf(h.Handle(h.clock, endWait)); len(actions) != 1 || actions[0] != (Action{Kind: Forward, Reason: reason, Request: "x"}) {
				t.Errorf("%v: %+v", reason, actions)
			}
			outcome := Outcome{Request: "x", Endpoint: endpoint, Result: result, Closed: result == OK, LoadReport: NoLoadReport}
			actions := decisionsOf(h.Handle(h.clock, outcome))
			if answered := len(actions) == 1 && actions[0].Kind == Fail && actions[0].Reason == reason; answered != (result != OK) {
				t.Errorf("%v, result %v: %+v", reason, result, actions)
			}
			if !h.Idle() {
				t.Errorf("%v, result %v: the request is still open", reason, result)
			}
		}
	}
}

// Guards against a hedged request whose second response is dropped at the deadline for a first one that stopped.
func TestResponseOfWhichMoreArrivedLastIsForwarded(t *testing.T) {
	for _, latest := range []int{0, 1} {
		settings := testSettings()
		settings.HedgingAllowed = true
		h := newHarness(t, settings, 1, 1, 1, 1)
		for range 100 {
			id, to := h.sendRequest(cheapClass)
			h.endAttempt(id, to, 0, OK, loadReport(0.3, 50))
		}
		h.advanceTick()
		deadline := h.clock + 2*time.Second
		h.Handle(h.clock, Request{ID: "x", Class: cheapClass, Deadline: deadline})
		hedged := false
		for !hedged && h.clock < deadline-time.Second {
			for _, a := range h.advanceTick() {
				hedged = hedged || a.Kind == Send && a.Request == "x"
			}
		}
		if !hedged {
			t.Fatal("not hedged")
		}
		h.Handle(h.clock, ResponseUnderWay{Request: "x", Attempt: 1 - latest, ArrivedAt: h.clock})
		h.clock += 100 * time.Millisecond
		h.Handle(h.clock, ResponseUnderWay{Request: "x", Attempt: latest, ArrivedAt: h.clock})
		h.Handle(h.clock, ResponseUnderWay{Request: "x", Attempt: 1 - latest}) // it has begun, and that is all
		want := Action{Kind: Forward, Reason: ShuttingDown, Request: "x", Attempt: latest}
		if actions := decisionsOf(h.Handle(h.clock, Shutdown{})); len(actions) != 1 || actions[0] != want {
			t.Errorf("%+v, want %+v", actions, want)
		}
	}
}

// decisionsOf returns the actions that concern requests.
func decisionsOf(actions []Action) (decisions []Action) {
	for _, a := range actions {
		if a.Request != "" {
			decisions = append(decisions, a)
		}
	}
	return decisions
}
