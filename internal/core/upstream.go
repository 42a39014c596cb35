package core

import (
	"context"
	"time"

	"ryeweir/logic"
)

// Upstream executes attempts by the protocol that the endpoints speak.
type Upstream interface {
	// UpdateEndpoints applies a full endpoint list or a change to it. It returns how many endpoints are listed and how many of
	// them may receive new requests. After UpdateEndpoints returns, the other endpoints must not receive new requests.
	// UpdateEndpoints must not block.
	UpdateEndpoints(EndpointList) (listed, ready int)

	// Bind returns the current incarnation of an endpoint as an opaque target for an attempt, or nil if there is none. An endpoint
	// that restarts or changes its address becomes a new incarnation, which must not receive attempts that were bound to the
	// previous one. Bind must not block.
	Bind(endpoint string) (target any)

	// Execute executes the attempt. It must report one outcome with Attempt.Report before Attempt.Deadline, or at once when the core ends
	// the wait for its response (Attempt.AwaitResponse). It may continue after that to receive the rest of a long answer. It must not retry, and must not report that the request was not executed if it
	// may have been. Execute returns soon after the context ends.
	Execute(ctx context.Context, attempt *Attempt)
}

// HealthChecker executes health checks.
type HealthChecker interface {
	// Check checks the health of an endpoint. The target is the incarnation that Upstream.Bind returned. Check returns within its own
	// timeout, or soon after the context ends.
	Check(ctx context.Context, endpoint string, target any) logic.HealthChecked
}

// Outcome says how an attempt ended.
type Outcome struct {
	Result        logic.Result
	LoadReport    logic.LoadReport // from the endpoint; logic.NoLoadReport if there is none
	Content       Content          // only if Result is logic.OK
	NotReplayable bool             // the call's message has been consumed and can't be sent again
	// BegunAt is when the answer began, on the core's clock, if it is forwarded before it is complete; 0 otherwise. Such an answer is timed by its
	// beginning: how long it takes in all depends on its length.
	BegunAt time.Duration
}

// outcomeWithoutContent returns the outcome of an attempt that received no answer.
func outcomeWithoutContent(result logic.Result) Outcome {
	return Outcome{Result: result, LoadReport: logic.NoLoadReport}
}
