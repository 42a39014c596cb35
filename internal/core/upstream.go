package core

import (
	"context"

	"ryeweir/logic"
)

// Upstream speaks a protocol towards endpoints and carries out attempts.
type Upstream interface {
	// UpdateEndpoints applies a full endpoint list or a change of it, and returns how many endpoints are listed and how many of
	// them may receive new requests. From its return on nothing new goes to an endpoint that may not. It must not block.
	UpdateEndpoints(EndpointList) (listed, ready int)

	// Bind returns the present incarnation of an endpoint as an opaque target for an attempt, or nil if there is none. An endpoint
	// that restarts or changes its address is another incarnation, which must receive nothing that was bound to the one before.
	// It must not block.
	Bind(endpoint string) (target any)

	// Execute carries out the attempt. It reports one outcome with Attempt.Report by Attempt.Deadline, and may go on after that
	// to bring in a long answer. It must not report that a request did not run if it may have, and it does not retry. When the
	// context ends it returns soon.
	Execute(ctx context.Context, attempt *Attempt)
}

// HealthChecker carries out health checks.
type HealthChecker interface {
	// Check requests the health of an incarnation of an endpoint, as returned by Upstream.Bind. It returns within a timeout of its
	// own, or soon after the context ends.
	Check(ctx context.Context, endpoint string, target any) logic.HealthChecked
}

// Outcome is how an attempt ended.
type Outcome struct {
	Result        logic.Result
	LoadReport    logic.LoadReport // of the endpoint; logic.NoLoadReport without one
	Content       Content          // of logic.OK
	NotReplayable bool             // the call's message was consumed and can't be sent again
}

// unanswered returns the outcome of an attempt that brought no answer.
func unanswered(result logic.Result) Outcome {
	return Outcome{Result: result, LoadReport: logic.NoLoadReport}
}
