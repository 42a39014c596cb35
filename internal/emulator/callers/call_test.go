package callers

import (
	"testing"
	"time"

	"ryeweir/internal/emulator/referee"
)

// newTestCall is a call with a deadline of a second that is due at 0.
func newTestCall(nonIdempotent bool, profile ClientProfile) *Call {
	class := Class{Name: "c", Work: time.Millisecond, LatencyObjective: time.Second / 2, Deadline: time.Second, PriorityWeight: 1, NonIdempotent: nonIdempotent}
	return NewCall(PlannedRequest{Tenant: -1, Seed: 1}, class, profile)
}

// A client that sends an order again after it may have been executed has it executed twice. Only an attempt that certainly was not
// may be followed by another.
func TestNonIdempotentCallIsRetriedOnlyIfNotExecuted(t *testing.T) {
	for outcome, retried := range map[referee.Outcome]bool{
		referee.Served:           false,
		referee.Rejected:         true,
		referee.NotSent:          true,
		referee.Failed:           false,
		referee.TimedOut:         false,
		referee.ConnectionClosed: false,
	} {
		call := newTestCall(true, ClientProfile{Retries: 3, AttemptTimeoutFraction: 0.3})
		call.Attempt(0)
		if _, over := call.Ended(time.Millisecond, outcome, 0); over == retried {
			t.Errorf("outcome %d: over %v", outcome, over)
		}
	}
}

// Retries end with their bound, and with the call's deadline: a retry that begins after it can't help anybody.
func TestRetriesStayWithinBoundAndDeadline(t *testing.T) {
	bounded := newTestCall(false, ClientProfile{Retries: 2, AttemptTimeoutFraction: 0.1})
	attempts := 0
	for over := false; !over; attempts++ {
		bounded.Attempt(0)
		_, over = bounded.Ended(0, referee.Failed, 0)
	}
	if attempts != 3 || bounded.Result().Attempts != 3 {
		t.Errorf("%d attempts with two retries", attempts)
	}
	late := newTestCall(false, ClientProfile{Retries: 2, AttemptTimeoutFraction: 0.1, Backoff: time.Second})
	late.Attempt(0)
	if _, over := late.Ended(time.Millisecond, referee.Failed, 0); !over {
		t.Error("a retry is planned for after the deadline")
	}
	if timeout, _ := late.Attempt(time.Second); timeout != 0 {
		t.Errorf("an attempt at the deadline waits %v", timeout)
	}
}

// A client that respects Retry-After stays away for as long as it says, but never for longer than its maximum; it has no meaning for
// an attempt that was not rejected.
func TestRetryAfterIsRespectedUpToMaximum(t *testing.T) {
	profile := ClientProfile{Retries: 2, AttemptTimeoutFraction: 0.1, Backoff: 10 * time.Millisecond, RetryAfterFraction: 1, MaxRetryAfter: 300 * time.Millisecond}
	for _, c := range []struct {
		outcome    referee.Outcome
		retryAfter time.Duration
		want       time.Duration
	}{
		{referee.Rejected, 200 * time.Millisecond, 200 * time.Millisecond},
		{referee.Rejected, 900 * time.Millisecond, 300 * time.Millisecond},
		{referee.Rejected, 0, 10 * time.Millisecond},
		{referee.NotSent, 200 * time.Millisecond, 10 * time.Millisecond},
	} {
		call := newTestCall(false, profile)
		call.Attempt(0)
		if next, over := call.Ended(0, c.outcome, c.retryAfter); over || next != c.want {
			t.Errorf("outcome %d, Retry-After %v: next at %v, over %v", c.outcome, c.retryAfter, next, over)
		}
	}
}
