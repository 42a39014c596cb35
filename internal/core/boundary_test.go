package core

import (
	"log/slog"
	"testing"
	"time"

	"ryeweir/logic"
)

// A process is paused for seconds (SIGSTOP). When it goes on, an answer that waits for its front and an attempt whose outcome
// is on its way are both past their limits at the first check. Giving them up then would lose a good answer and end a call as
// one of unknown outcome: the front and the upstream have had no turn yet. They are given up only if later checks find the
// same.
func TestPauseOfProcessGivesNothingUpAtFirstCheck(t *testing.T) {
	balancer, err := logic.New(logic.Settings{Balancers: 1, MaxAttempts: 2, Classes: []logic.Class{{LatencyObjective: time.Second, Timeout: time.Second}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	c := New(Config{Balancer: balancer, Clock: NewClock(), Log: slog.New(slog.DiscardHandler)})
	c.clock.epoch = c.clock.epoch.Add(-time.Minute) // as if it had run for a while
	beforePause := c.clock.Now() - 20*time.Second
	answered := &Call{ID: "answered", answer: make(chan Answer, 1), done: make(chan struct{})}
	c.deliver(answered, Answer{Kind: Rejected})
	c.pendingAnswers[0].givenAt = beforePause
	pending := &Call{ID: "pending", answer: make(chan Answer, 1), done: make(chan struct{})}
	attempt := pending.newAttempt(logic.Action{}, beforePause, time.Second)
	attempt.core = c
	c.calls[pending.ID] = pending

	c.checkBoundary()
	if len(answered.answer) != 1 {
		t.Error("the answer was discarded before its front could receive it")
	}
	if attempt.reported.Load() {
		t.Error("the attempt was given up before its outcome could be reported")
	}

	for range 10 { // what never comes is noticed all the same
		c.checkBoundary()
	}
	if len(answered.answer) != 0 || !attempt.reported.Load() || c.violations.Unread.Load() != 1 || c.violations.Overdue.Load() != 1 {
		t.Errorf("%d answers pending, outcome known %v, violations %+v", len(answered.answer), attempt.reported.Load(), &c.violations)
	}
}
