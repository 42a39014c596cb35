package http

import (
	"time"

	"ryeweir/internal/httpmsg"
)

// readDeadline returns when a read that began at the given time must have returned bytes of a response. The time is zero while a response is awaited:
// before the first one, and after each interim one.
//
// The deadline of the attempt ends every wait, until part of the response has gone to the client: from then on the response may take as long as its
// endpoint gives it. In the middle of a response its endpoint may also be silent for httpmsg.EndpointStallTimeout at most. A pause does not tell
// a response that is damaged from one that its endpoint is still writing, so that this limit is the same whether the response is streamed or
// buffered. A late response is hedged where the class allows it (package logic).
func (x *exchange) readDeadline(readBegan time.Time) time.Time {
	if cutoff := x.readCutoff.Load(); cutoff != 0 {
		return x.Clock.At(time.Duration(cutoff))
	}
	stalled := readBegan.Add(httpmsg.EndpointStallTimeout)
	if x.reported.Load() {
		return stalled
	}
	attemptDeadline := x.Clock.At(x.attempt.Deadline())
	if !readBegan.IsZero() && stalled.Before(attemptDeadline) {
		return stalled
	}
	return attemptDeadline
}
