package core

import (
	"log/slog"
	"testing"
	"time"

	"ryeweir/logic"
)

// After the process has been paused for seconds (SIGSTOP), the first periodic check finds an answer that waits for its frontend and
// an attempt whose outcome is about to be reported, both overdue. The goroutines of the frontend and the upstream have not run yet.
// Giving up at that check would lose a good answer, and end a call as possibly executed. It may happen only at a later check.
func TestFirstCheckAfterProcessPauseGivesUpNothing(t *testing.T) {
	balancer, err := logic.New(logic.Settings{Balancers: 1, MaxAttempts: 2, Classes: []logic.Class{{LatencyObjective: time.Second, Timeout: time.Second}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	c := New(Config{Balancer: balancer, Clock: NewClock(), Log: slog.New(slog.DiscardHandler)})
	c.clock.epoch = c.clock.epoch.Add(-time.Minute) // so that times before the pause are positive
	beforePause := c.clock.Now() - 20*time.Second
	answered := &Call{ID: "answered", answer: make(chan Answer, 1), done: make(chan struct{})}
	c.deliver(answered, Answer{Kind: Rejected})
	c.pendingAnswers[0].deliveredAt = beforePause
	pending := &Call{ID: "pending", answer: make(chan Answer, 1), done: make(chan struct{})}
	attempt := pending.newAttempt(logic.Action{}, beforePause, time.Second)
	attempt.core = c
	c.calls[pending.ID] = pending

	c.periodicCheck()
	if len(answered.answer) != 1 {
		t.Error("the answer was discarded before its frontend could receive it")
	}
	if attempt.reported.Load() {
		t.Error("the attempt was ended before its outcome could be reported")
	}

	for range 10 { // an outcome or a receive that never happens must still be detected
		c.periodicCheck()
	}
	if len(answered.answer) != 0 || !attempt.reported.Load() || c.violations.Unread.Load() != 1 || c.violations.Overdue.Load() != 1 {
		t.Errorf("%d answers pending, outcome known %v, violations %+v, want 0, true, 1 unread and 1 overdue", len(answered.answer), attempt.reported.Load(), &c.violations)
	}
}
