package core

import (
	"ryeweir/internal/event"
	"ryeweir/logic"
)

// causeReasons are the module's causes as reasons of events.
var causeReasons = [...]event.Reason{
	logic.NoReason:             event.None,
	logic.FirstAttempt:         event.First,
	logic.RetryAttempt:         event.Retry,
	logic.HedgedAttempt:        event.Hedge,
	logic.HalfOpenAttempt:      event.HalfOpen,
	logic.Overloaded:           event.Overload,
	logic.NoEndpointLeft:       event.NoEndpoint,
	logic.RetryBudgetExhausted: event.RetryBudget,
	logic.NotRetryable:         event.NotRetryable,
	logic.DeadlineExceeded:     event.Deadline,
	logic.ShuttingDown:         event.ShuttingDown,
}

// resultReasons are the results of attempts as reasons of events.
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
