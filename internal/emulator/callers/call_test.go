package callers

import (
	"testing"
	"time"

	"ryeweir/internal/emulator/referee"
)

// newTestCall returns a call that is scheduled at 0 and has a deadline of 1 s.
func newTestCall(nonIdempotent bool, profile ClientProfile) *Call {
	class := Class{Name: "c", Work: time.Millisecond, LatencyObjective: time.Second / 2, Deadline: time.Second, PriorityWeight: 1, NonIdempotent: nonIdempotent}
	return NewCall(PlannedRequest{Tenant: -1, Seed: 1}, class, profile)
}

// A non-idempotent request that is retried after it may have been executed can be executed twice. So only an attempt that certainly
// was not executed may be followed by a retry.
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
			t.Errorf("outcome %d: over %v, want %v", outcome, over, !retried)
		}
	}
}

// A call is not retried beyond its maximum number of retries, nor after its deadline, when a response is of no use any more.
func TestRetriesStayWithinBoundAndDeadline(t *testing.T) {
	bounded := newTestCall(false, ClientProfile{Retries: 2, AttemptTimeoutFraction: 0.1})
	attempts := 0
	for over := false; !over; attempts++ {
		bounded.Attempt(0)
		_, over = bounded.Ended(0, referee.Failed, 0)
	}
	if attempts != 3 || bounded.Result().Attempts != 3 {
		t.Errorf("%d attempts with at most two retries, and %d in the result, want 3", attempts, bounded.Result().Attempts)
	}
	late := newTestCall(false, ClientProfile{Retries: 2, AttemptTimeoutFraction: 0.1, Backoff: time.Second})
	late.Attempt(0)
	if _, over := late.Ended(time.Millisecond, referee.Failed, 0); !over {
		t.Error("a retry was scheduled after the deadline")
	}
	if timeout, _ := late.Attempt(time.Second); timeout != 0 {
		t.Errorf("an attempt at the deadline has a timeout of %v, want 0", timeout)
	}
}

// A client that respects Retry-After waits for that time before a retry, up to MaxRetryAfter. For an attempt that was not rejected,
// Retry-After is ignored.
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
			t.Errorf("outcome %d, Retry-After %v: next attempt at %v, over %v, want one at %v", c.outcome, c.retryAfter, next, over, c.want)
		}
	}
}
