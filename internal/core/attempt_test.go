package core

import (
	"testing"
	"time"

	"ryeweir/logic"
)

// Endpoints recognize a retry by its idempotency key only within a window, which starts with the first attempt that may have been
// executed. If a retry is decided on within the window, but dialing takes until after its end, the request would be executed a
// second time. The write deadline of the retry is therefore the end of the window.
func TestRetryIsWrittenWithinIdempotencyWindow(t *testing.T) {
	const deadline, window = 9 * time.Second, 2 * time.Second
	for name, c := range map[string]struct {
		window time.Duration
		first  logic.Result
		want   time.Duration
	}{
		"may have been executed": {window, logic.Reset, time.Second + window},
		"never executed":         {window, logic.ConnectFailed, deadline},
		"rejected":               {window, logic.Rejected, deadline},
		"no idempotency key":     {0, logic.Reset, deadline},
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
				t.Errorf("the retry has number %d and %d attempts are in flight, want 1 and 1", second.Number, call.inFlightCount)
			}
		})
	}
}

// A call has two attempts in flight, the second being a hedged request. Whichever ends first, and with whatever result, the window
// starts with the earliest attempt that may have been executed or may still be.
func TestIdempotencyWindowStartsAtEarliestPossibleExecution(t *testing.T) {
	const window = 2 * time.Second
	for name, c := range map[string]struct {
		ended  int // index of the attempt that ends
		result logic.Result
		want   time.Duration // write deadline of the third attempt
	}{
		"first never executed":          {0, logic.ConnectFailed, 2*time.Second + window},
		"first may have been executed":  {0, logic.Reset, time.Second + window},
		"second never executed":         {1, logic.Rejected, time.Second + window},
		"second may have been executed": {1, logic.TimedOut, time.Second + window},
	} {
		t.Run(name, func(t *testing.T) {
			call := &Call{Deadline: 9 * time.Second, IdempotencyWindow: window}
			attempts := []*Attempt{
				call.newAttempt(logic.Action{}, time.Second, time.Minute),
				call.newAttempt(logic.Action{}, 2*time.Second, time.Minute),
			}
			call.attemptEnded(attempts[c.ended], c.result)
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
