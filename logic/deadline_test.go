package logic

import (
	"maps"
	"strconv"
	"testing"
	"time"
)

// A request whose time is over when it comes is refused at once, and nothing is sent for it.
func TestExpiredRequestIsRejectedOnArrival(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1)
	refused := false
	for _, a := range h.Handle(h.clock, Request{ID: "x", Deadline: h.clock}) {
		refused = refused || a.Kind == Reject
		if a.Kind == Send {
			t.Error("sent after its deadline")
		}
	}
	if !refused {
		t.Error("not refused")
	}
}

// Guards against a deadline that is missed, or a timer for each request: the timer for the earliest deadline stands for
// all, also when an earlier one comes later, when its own request ends before it, and when an old timer still fires.
func TestOneTimerServesAllDeadlines(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1)
	h.Handle(h.clock, TimerFired{tickToken})
	due := map[uint64]time.Duration{}
	ended := map[string]time.Duration{}
	do := func(actions []Action) {
		for _, a := range actions {
			switch {
			case a.Kind == SetTimer && a.Token >= deadlineToken:
				due[a.Token] = h.clock + a.Delay
			case a.Kind == Reject || a.Kind == Fail:
				ended[a.Request] = h.clock
			}
		}
	}
	begin := h.clock
	want := map[string]time.Duration{}
	for i, in := range []time.Duration{900, 300, 600, 300, 1200} {
		id := strconv.Itoa(i)
		want[id] = begin + in*time.Millisecond
		do(h.Handle(h.clock, Request{ID: id, Deadline: want[id]}))
	}
	if len(due) != 2 { // for 900, then for 300
		t.Errorf("%d timers for five requests", len(due))
	}
	do(h.Handle(h.clock, ClientDisconnected{"2"})) // no timer of its own
	delete(want, "2")
	for len(due) > 0 {
		next := uint64(0)
		for token, at := range due {
			if next == 0 || at < due[next] || at == due[next] && token < next {
				next = token
			}
		}
		h.clock = due[next]
		delete(due, next)
		do(h.Handle(h.clock, TimerFired{next}))
	}
	if !maps.Equal(ended, want) {
		t.Errorf("ended at %v, deadlines %v", ended, want)
	}
	if len(h.deadlines.queue) != 0 {
		t.Errorf("%d are still open", len(h.deadlines.queue))
	}
}
