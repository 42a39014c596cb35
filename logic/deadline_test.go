package logic

import (
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"
)

// The deadline of a request has passed when it arrives. It must be rejected at once, and nothing may be sent.
func TestExpiredRequestIsRejectedOnArrival(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1)
	rejected := false
	for _, a := range h.Handle(h.clock, Request{ID: "x", Deadline: h.clock}) {
		rejected = rejected || a.Kind == Reject
		if a.Kind == Send {
			t.Error("sent after its deadline")
		}
	}
	if !rejected {
		t.Error("not rejected")
	}
}

// A timer for each request would wake the process for requests that have long ended. One timer serves all
// deadlines: none may be missed, when an earlier deadline comes later, when the request of the timer ends
// before it, and when a timer that was replaced still fires.
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
	if len(timers) != 2 { // for 900, then for 300
		t.Errorf("%d timers for five requests", len(timers))
	}
	record(h.Handle(h.clock, ClientDisconnected{"2"})) // it had no timer of its own
	delete(deadlines, "2")
	for len(timers) > 0 {
		token := earliestTimer(timers)
		h.clock = timers[token]
		delete(timers, token)
		record(h.Handle(h.clock, TimerFired{token}))
	}
	if !maps.Equal(ended, deadlines) {
		t.Errorf("ended at %v, deadlines %v", ended, deadlines)
	}
	if n := len(h.deadlines.queue); n != 0 {
		t.Errorf("%d requests are still in the queue", n)
	}
}

// earliestTimer returns the token of the timer that fires next; of several the lowest token.
func earliestTimer(timers map[uint64]time.Duration) (next uint64) {
	for token, at := range timers {
		if next == 0 || at < timers[next] || at == timers[next] && token < next {
			next = token
		}
	}
	return next
}

// The process shuts down with requests in flight. Each must get its final answer at once, in an order that
// does not depend on chance, and a request that still arrives must get one too.
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
			t.Errorf("a request that may have been executed: %+v", a)
		}
		ended = append(ended, a.Request)
	}
	if !slices.Equal(ended, open) {
		t.Errorf("ended %v, open were %v", ended, open)
	}
	actions = h.Handle(h.clock, Request{ID: "late", Deadline: h.clock + time.Second})
	if last := actions[len(actions)-1]; last.Kind != Reject || last.Reason != ShuttingDown {
		t.Errorf("a request after the shutdown: %+v", actions)
	}
}
