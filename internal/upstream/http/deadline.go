package http

import (
	"time"

	"ryeweir/internal/httpmsg"
)

// readDeadline returns when a read that began at the given time must have returned bytes of a response. The time is zero while a response is awaited:
// before the first one, and after each interim one.
//
// The end of the wait, which is the deadline of the attempt or earlier, ends every read until the response belongs to the client (see hold): from then
// on it may take as long as its endpoint gives it. A response that has begun may use part of the slack that the client has beyond the deadline. In the
// middle of a response its endpoint may also be silent for httpmsg.EndpointStallTimeout at most. A pause does not tell a response that is damaged from
// one that its endpoint is still writing, so that this limit is the same whether the response is held or passed on. A late response is hedged where
// the class allows it (package logic).
func (x *exchange) readDeadline(readBegan time.Time) time.Time {
	if cutoff := x.readCutoff.Load(); cutoff != 0 {
		return x.Clock.At(time.Duration(cutoff))
	}
	stalled := readBegan.Add(httpmsg.EndpointStallTimeout)
	if x.reported.Load() {
		return stalled
	}
	waitEnd := x.attempt.Deadline()
	if ended := time.Duration(x.hold.waitEndedAt.Load()); ended != 0 {
		waitEnd = min(waitEnd, ended)
	}
	if readBegan.IsZero() {
		return x.Clock.At(waitEnd)
	}
	if !x.attempt.Call.Finished() {
		waitEnd += x.attempt.Call.TimeoutSlack / 2
	}
	if end := x.Clock.At(waitEnd); end.Before(stalled) {
		return end
	}
	return stalled
}
