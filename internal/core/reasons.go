package core

import (
	"ryeweir/internal/event"
	"ryeweir/logic"
)

// causeReasons are the module's causes as reasons of events.
var causeReasons = [...]event.Reason{
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
