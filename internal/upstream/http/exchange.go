package http

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"ryeweir/internal/core"
	"ryeweir/internal/event"
	"ryeweir/internal/httpmsg"
	"ryeweir/internal/pool"
	"ryeweir/logic"
)

const (
	// bufferedStall is how long a response that is being buffered may pause. A damaged one stops in the middle while its
	// connection stays open: it is given up soon, since another attempt may follow.
	bufferedStall = 500 * time.Millisecond
	// streamStall is how long a body may pause that is being streamed, in either direction.
	streamStall = 5 * time.Second
)

// exchange is an attempt on its connection, from the first byte of the request on.
type exchange struct {
	*Upstream
	conn     *pool.Conn
	state    *connState
	attempt  *core.Attempt
	endpoint *pool.Endpoint
	message  *httpmsg.Message
	outcome  core.Outcome

	reported  atomic.Bool // whoever sets it reports the outcome
	streaming atomic.Bool // the body is to be streamed once some of it is there

	// readCutoff is when reading was ended early, on the agent's clock; 0: it was not. It stays the same once set: with a
	// deadline of "now" at each look a read would never time out.
	readCutoff atomic.Int64
}

// run carries out the exchange and returns how it leaves the connection.
func (x *exchange) run(ctx context.Context) pool.ReleaseOutcome {
	x.state.startExchange(x.readDeadline)
	write := x.writeRequest()
	x.outcome.NotReplayable = x.message.Body.Consumed()
	if write.err != nil && !write.answered {
		return x.failWrite(write.err)
	}
	if write.complete() {
		x.OnRequestWritten()
		x.recordWritten()
	}
	response, err := x.state.readHead()
	if err != nil {
		return x.failHead(err, write)
	}
	x.outcome.LoadReport = x.readLoadReport(response.Header.Values("X-Server-Load"))
	release := x.readBody(ctx, response)
	if !write.complete() {
		return x.finishEarlyResponse(response)
	}
	if release == pool.Reusable && x.state.reader.Buffered() > 0 {
		return pool.Broken // more came than one response
	}
	return release
}

// reportOnce reports the outcome, unless that was done when streaming began.
func (x *exchange) reportOnce() {
	if x.reported.CompareAndSwap(false, true) {
		x.attempt.Report(x.outcome)
	}
}

// readDeadline is when the next bytes of the response must have arrived. lastRead is zero before the first.
func (x *exchange) readDeadline(lastRead time.Time) time.Time {
	if cutoff := x.readCutoff.Load(); cutoff != 0 {
		return x.Clock.At(time.Duration(cutoff))
	}
	if x.reported.Load() {
		return lastRead.Add(streamStall)
	}
	attemptDeadline := x.Clock.At(x.attempt.Deadline())
	if x.streaming.Load() || lastRead.IsZero() {
		return attemptDeadline
	}
	if stalled := lastRead.Add(bufferedStall); stalled.Before(attemptDeadline) {
		return stalled
	}
	return attemptDeadline
}

// failWrite ends an exchange whose request was not written completely: it never ran.
func (x *exchange) failWrite(err error) pool.ReleaseOutcome {
	if x.message.Body.Err() != nil {
		x.outcome.Result = logic.NotSent // the client broke off, which is no evidence against the endpoint
		return pool.Abandoned
	}
	if x.message.Body.Remainder == nil && isTimeout(err) && x.waitedBelowObjective() {
		x.outcome.Result = logic.NotSent // the client's deadline passed before the endpoint could take it
		return pool.Abandoned
	}
	x.outcome.Result = logic.ConnectFailed
	return x.releaseAfterFailure(err)
}

// failHead ends an exchange that got no complete response head.
func (x *exchange) failHead(err error, write writeResult) pool.ReleaseOutcome {
	x.outcome.Result = x.failureResult(err)
	if !write.complete() {
		x.outcome.Result = logic.ConnectFailed
	}
	return x.releaseAfterFailure(err)
}

// finishEarlyResponse ends an exchange whose response came before all of the request was written. An error says that the
// request was rejected, as it never ran.
func (x *exchange) finishEarlyResponse(response *http.Response) pool.ReleaseOutcome {
	if response.StatusCode != http.StatusOK {
		x.outcome.Result = logic.Rejected
	}
	return pool.Broken
}

// recordWritten records that the request was written, and on which connection.
func (x *exchange) recordWritten() {
	written := event.Event{
		Kind:     event.AttemptWritten,
		Request:  x.attempt.Call.ID,
		Attempt:  x.attempt.Number,
		Endpoint: x.attempt.Endpoint,
	}
	if x.Events.Verbose() {
		written.Detail = x.conn.LocalAddr().String()
	}
	x.Events.Record(written)
}

// waitedBelowObjective reports whether the endpoint has had less time than the class's latency objective. A timeout then is the
// client's doing and no evidence against the endpoint.
func (x *exchange) waitedBelowObjective() bool {
	return x.Clock.Now()-x.attempt.AwaitingSince() < x.attempt.Call.LatencyObjective
}
