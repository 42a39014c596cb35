package core

import (
	"ryeweir/internal/event"
	"ryeweir/logic"
)

// decisionReasons maps the balancer's reasons to event reasons. It has an entry for every logic.Reason.
var decisionReasons = [...]event.Reason{
	logic.NoReason:             event.None,
	logic.FirstAttempt:         event.FirstAttempt,
	logic.RetryAttempt:         event.RetryAttempt,
	logic.HedgedAttempt:        event.HedgedAttempt,
	logic.HalfOpenAttempt:      event.HalfOpenAttempt,
	logic.Overloaded:           event.Overloaded,
	logic.NoEndpointLeft:       event.NoEndpointLeft,
	logic.RetryBudgetExhausted: event.RetryBudgetExhausted,
	logic.NotRetryable:         event.NotRetryable,
	logic.DeadlineExceeded:     event.DeadlineExceeded,
	logic.ShuttingDown:         event.ShuttingDown,
}

// resultReasons maps the results of attempts to event reasons. It has an entry for every logic.Result.
var resultReasons = [...]event.Reason{
	logic.OK:            event.OK,
	logic.Failed:        event.ServerError,
	logic.Rejected:      event.ServerRejected,
	logic.TimedOut:      event.TimedOut,
	logic.ConnectFailed: event.ConnectFailed,
	logic.Reset:         event.Reset,
	logic.Cancelled:     event.Cancelled,
	logic.NotSent:       event.NotSent,
}
