package core

import (
	"testing"
	"time"

	"ryeweir/logic"
)

// Endpoints recognize a retry by its idempotency key for a limited window, counted from the first attempt that may have run.
// A retry is decided on within the window, but its dial takes until after the end: written then, it would run a second time.
// Its write deadline is therefore the end of the window.
func TestRetryIsWrittenWithinIdempotencyWindow(t *testing.T) {
	const deadline, window = 9 * time.Second, 2 * time.Second
	for name, c := range map[string]struct {
		window time.Duration
		first  logic.Result
		want   time.Duration
	}{
		"may have run":       {window, logic.Reset, time.Second + window},
		"never ran":          {window, logic.ConnectFailed, deadline},
		"rejected":           {window, logic.Rejected, deadline},
		"no idempotency key": {0, logic.Reset, deadline},
	} {
		t.Run(name, func(t *testing.T) {
			call := &Call{Deadline: deadline, IdempotencyWindow: c.window}
			first := call.newAttempt(logic.Action{Endpoint: "b"}, time.Second, time.Minute)
			if first.WriteDeadline != deadline {
				t.Errorf("write deadline of the first attempt: %v, want %v", first.WriteDeadline, deadline)
			}
			call.attemptEnded(first, c.first)
			second := call.newAttempt(logic.Action{Endpoint: "b"}, 2*time.Second, time.Minute)
			if second.WriteDeadline != c.want || second.Deadline() != deadline {
				t.Errorf("write deadline of the retry: %v, want %v; deadline %v, want %v", second.WriteDeadline, c.want, second.Deadline(), deadline)
			}
			if second.Number != 1 || call.inFlightCount != 1 {
				t.Errorf("the retry has number %d, and %d are in flight", second.Number, call.inFlightCount)
			}
		})
	}
}

// Two attempts are in flight, the second a hedged request. Whichever ends first and however, the window runs from the earliest
// attempt that may have run or may yet.
func TestIdempotencyWindowRunsFromEarliestAttemptThatMayHaveRun(t *testing.T) {
	const window = 2 * time.Second
	for name, c := range map[string]struct {
		ends   int // index of the attempt that ends
		result logic.Result
		want   time.Duration // write deadline of the third attempt
	}{
		"the first never ran":     {0, logic.ConnectFailed, 2*time.Second + window},
		"the first may have":      {0, logic.Reset, time.Second + window},
		"the second never ran":    {1, logic.Rejected, time.Second + window},
		"the second may have run": {1, logic.TimedOut, time.Second + window},
	} {
		t.Run(name, func(t *testing.T) {
			call := &Call{Deadline: 9 * time.Second, IdempotencyWindow: window}
			attempts := []*Attempt{
				call.newAttempt(logic.Action{}, time.Second, time.Minute),
				call.newAttempt(logic.Action{}, 2*time.Second, time.Minute),
			}
			call.attemptEnded(attempts[c.ends], c.result)
			third := call.newAttempt(logic.Action{}, 2500*time.Millisecond, time.Minute)
			if third.WriteDeadline != c.want {
				t.Errorf("write deadline of the third attempt: %v, want %v", third.WriteDeadline, c.want)
			}
		})
	}
}

func TestAttemptEndsAtItsOwnTimeout(t *testing.T) {
	call := &Call{Deadline: 9 * time.Second}
	attempt := call.newAttempt(logic.Action{Delay: time.Second}, time.Second, time.Minute)
	if attempt.Deadline() != 2*time.Second || attempt.WriteDeadline != attempt.Deadline() {
		t.Errorf("deadline %v, write deadline %v, want 2s", attempt.Deadline(), attempt.WriteDeadline)
	}
}
