package core

import (
	"log/slog"
	"testing"
	"time"

	"ryeweir/logic"
)

// A process that was paused for some seconds finds all of its times over at once. An answer that waits for its front, and the
// outcome of an attempt that is on its way, are still to be had then: who looks for what is overdue lets everybody run first.
func TestLookAfterAPause(t *testing.T) {
	balancer, err := logic.New(logic.Settings{Balancers: 1, MaxAttempts: 2, Classes: []logic.Class{{LatencyObjective: time.Second, Timeout: time.Second}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	c := New(Config{Balancer: balancer, Clock: NewClock(), Log: slog.New(slog.DiscardHandler)})
	c.clock.epoch = c.clock.epoch.Add(-time.Minute) // as if it ran for long
	long := c.clock.Now() - 20*time.Second          // before the pause
	waiting := &Call{ID: "waiting", answer: make(chan Answer, 1), gone: make(chan struct{})}
	c.give(waiting, Answer{Verdict: Rejected})
	c.given[0].at = long
	flying := &Call{ID: "flying", answer: make(chan Answer, 1), gone: make(chan struct{})}
	a := flying.attempt(logic.Action{}, long, time.Second)
	a.core = c
	c.calls[flying.ID] = flying
	c.watch()
	if len(waiting.answer) != 1 {
		t.Error("the answer was taken from its front")
	}
	if a.told.Load() {
		t.Error("the attempt was given up before its outcome could be told")
	}
	for range 10 { // what never comes is noticed all the same
		c.watch()
	}
	if len(waiting.answer) != 0 || !a.told.Load() || c.faults.Unread.Load() != 1 || c.faults.Overdue.Load() != 1 {
		t.Errorf("%d answers wait, outcome %v, faults %+v", len(waiting.answer), a.told.Load(), &c.faults)
	}
}
