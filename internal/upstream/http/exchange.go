package http

import (
	"context"
	"net/http"
	"sync/atomic"

	"ryeweir/internal/core"
	"ryeweir/internal/event"
	"ryeweir/internal/httpmsg"
	"ryeweir/internal/pool"
	"ryeweir/logic"
)

// exchange is an attempt with its connection, from the first byte of the request on.
type exchange struct {
	*Upstream
	conn     *pool.Conn
	state    *connState
	attempt  *core.Attempt
	endpoint *pool.Endpoint
	message  *httpmsg.Message
	outcome  core.Outcome

	reported atomic.Bool // set with CompareAndSwap before the outcome is reported, so that it is reported once
	hold     hold        // the response, until it belongs to the client

	// readCutoff is the time on the agent's clock at which reading was stopped early; 0 if it was not. The time is stored because a
	// deadline recomputed as the current time for each read would never expire.
	readCutoff atomic.Int64
}

// run executes the exchange and returns in which state it leaves the connection.
func (x *exchange) run(ctx context.Context) pool.ReleaseOutcome {
	x.state.startExchange(x.readDeadline, x.hold.expired)
	defer x.hold.end()
	x.attempt.AwaitResponse(&x.hold)
	sent := x.send()
	x.outcome.NotReplayable = x.message.Body.Consumed()
	switch {
	case sent.response == nil && sent.writeErr != nil:
		return x.failWrite(sent.writeErr)
	case sent.response == nil:
		return x.failHead(sent.responseErr)
	}
	response := sent.response
	x.outcome.LoadReport = x.readLoadReport(response.Header.Values("X-Server-Load"))
	release := x.readBody(ctx, response)
	if sent.writeErr != nil {
		return x.finishEarlyResponse(response)
	}
	if release == pool.Reusable && x.state.reader.Buffered() > 0 {
		return pool.Broken // the endpoint sent more than one response
	}
	return release
}

// reportOnce reports the outcome, unless it was reported when streaming started.
func (x *exchange) reportOnce() {
	if x.reported.CompareAndSwap(false, true) {
		x.attempt.Report(x.outcome)
	}
}

// failWrite ends an exchange whose request was not written completely, and so never ran.
func (x *exchange) failWrite(err error) pool.ReleaseOutcome {
	if x.message.Body.Err() != nil {
		x.outcome.Result = logic.NotSent // the upload was aborted, too slow or too large, which is no evidence against the endpoint
		return pool.Abandoned
	}
	if x.message.Body.Remainder == nil && isTimeout(err) && x.withinLatencyObjective() {
		x.outcome.Result = logic.NotSent // the client's deadline passed before the endpoint could take the request
		return pool.Abandoned
	}
	x.outcome.Result = logic.ConnectFailed
	return x.releaseAfterFailure(err)
}

// failHead ends an exchange whose request was written completely and that received no complete head of a final response.
func (x *exchange) failHead(err error) pool.ReleaseOutcome {
	x.outcome.Result = x.failureResult(err)
	return x.releaseAfterFailure(err)
}

// finishEarlyResponse ends an exchange whose response arrived before the request was written completely. Any status but 200 counts
// as a rejection, because the request never ran.
func (x *exchange) finishEarlyResponse(response *http.Response) pool.ReleaseOutcome {
	if response.StatusCode != http.StatusOK {
		x.outcome.Result = logic.Rejected
	}
	return pool.Broken
}

// recordWritten counts the request as written completely, and records an event and, if events are verbose, on which connection.
func (x *exchange) recordWritten() {
	x.OnRequestWritten()
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

// withinLatencyObjective reports whether the endpoint has had less time than the latency objective of the class. A timeout is then
// due to the client's short deadline and no evidence against the endpoint.
func (x *exchange) withinLatencyObjective() bool {
	return x.Clock.Now()-x.attempt.AwaitingSince() < x.attempt.Call.LatencyObjective
}
