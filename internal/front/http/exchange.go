package http

import (
	"context"
	"net/http"
	"time"

	"ryeweir/internal/connlimit"
	"ryeweir/internal/core"
	"ryeweir/internal/event"
	"ryeweir/internal/httpmsg"
)

// exchange is a valid request on the way to its one answer.
//
// Invariant: once begin has returned, exactly one of these happens: an answer is written, the answer breaks off and the connection
// is cut, or the request is abandoned because its client has disconnected.
type exchange struct {
	server      *Server
	writer      http.ResponseWriter
	ctx         context.Context // ends when the client disconnects
	disconnect  context.CancelFunc
	http10      bool // the client speaks HTTP/1.0
	call        *core.Call
	upload      *httpmsg.Remainder // of the body; nil when all of it is buffered
	releaseBody func()             // gives back the buffers of the body
	receipt     receipt
	counted     bool // in the server's count of requests in flight
}

func newExchange(s *Server, w http.ResponseWriter, r *http.Request, call *core.Call, release func()) *exchange {
	ctx, cancel := context.WithCancel(r.Context())
	return &exchange{
		server:      s,
		writer:      w,
		ctx:         ctx,
		disconnect:  cancel,
		http10:      !r.ProtoAtLeast(1, 1),
		call:        call,
		upload:      call.Message.(*httpmsg.Message).Body.Remainder,
		releaseBody: release,
	}
}

// run takes the request from its begin to its answer.
func (x *exchange) run() {
	defer x.finish()
	x.begin()
	if !x.admit() {
		x.shed()
		return
	}
	x.await(x.submit())
}

// begin marks the request as in flight, and starts its deadline and the watch for a client that disconnects. Both wait for the end
// of a body that is still coming in.
//
// Guard: a request whose client has disconnected already ends here, before it is submitted. Else an attempt could begin for nobody,
// seen as send_after_client_left.
func (x *exchange) begin() {
	connlimit.BeginRequest(x.ctx, x.call.ID)
	if x.upload != nil {
		x.upload.OnComplete = x.uploadCompleted
		return
	}
	x.call.Deadline = x.received() + x.call.Timeout
	if connlimit.OnDisconnect(x.ctx, x.disconnect) {
		x.releaseBody()
		x.recordAbandoned()
		panic(http.ErrAbortHandler)
	}
}

// received counts the request as received when its last byte has come, and returns the time. It may run in an attempt's goroutine.
func (x *exchange) received() time.Duration {
	if x.receipt.receive() {
		x.server.Metrics.RequestReceived()
		x.server.Events.Record(event.Event{Kind: event.RequestRead, Request: x.call.ID, Connection: connlimit.ConnectionID(x.ctx)})
	}
	return x.server.Clock.Now()
}

// uploadCompleted is called by the attempt that reads the last byte of the body.
func (x *exchange) uploadCompleted() {
	x.server.Core.BodyReceived(x.call, x.received())
	if connlimit.OnDisconnect(x.ctx, x.disconnect) {
		x.disconnect()
	}
}

// finish ends the exchange, also when its handler aborts.
func (x *exchange) finish() {
	if x.counted {
		x.server.inFlight.Add(-1)
	}
	if x.receipt.finish() {
		x.server.Metrics.RequestFinished()
	}
	x.disconnect()
}

// admit counts the request as in flight. It reports false when too many are.
func (x *exchange) admit() bool {
	x.counted = true
	return x.server.inFlight.Add(1) <= x.server.maxInFlight
}

// shed rejects the request as too many are in flight. No attempt has been made, so the rejection's promise holds: nothing ran.
func (x *exchange) shed() {
	x.releaseBody()
	x.answer(core.Answer{Kind: core.Rejected, Reason: event.TooManyOpen, RetryAfter: overLimitRetryAfter})
}

// submit hands the call to the core, and the body's buffers with it: attempts may use them for longer than the client waits.
func (x *exchange) submit() <-chan core.Answer {
	x.call.Release = x.releaseBody
	return x.server.Core.Submit(x.call)
}

// await waits for the call's answer and writes it, unless the client disconnects first.
func (x *exchange) await(answers <-chan core.Answer) {
	select {
	case a := <-answers:
		x.answer(a)
	case <-x.ctx.Done():
		if x.upload != nil && x.upload.Stopped() {
			x.awaitEarlyAnswer(answers)
			return
		}
		x.abandon()
	case <-x.server.Core.Done(): // the core outlives the drain: only an abort comes here
		x.answer(shutdownAnswer)
	}
}

// awaitEarlyAnswer waits when the endpoint has answered before it had the complete body: the upload was stopped, and net/http ends the
// context with the read that this interrupts. The client has not disconnected, and the answer is on its way.
func (x *exchange) awaitEarlyAnswer(answers <-chan core.Answer) {
	select {
	case a := <-answers:
		x.answer(a)
	case <-x.server.Core.Done():
		x.answer(shutdownAnswer)
	}
}

// abandon ends a request whose context has ended: its client has disconnected, or its body broke off or stalled, which net/http
// reports in the same way. The latter can still be answered.
func (x *exchange) abandon() {
	x.server.Core.Abandon(x.call)
	if x.upload != nil {
		http.NewResponseController(x.writer).SetReadDeadline(time.Now()) // interrupts an attempt that reads from it
		x.upload.Close()
		if err := x.upload.Err(); err != nil {
			x.answerBrokenUpload(err)
			return
		}
	}
	x.recordAbandoned()
	panic(http.ErrAbortHandler)
}

// recordAbandoned records that the request ends without an answer, as nobody waits for one.
func (x *exchange) recordAbandoned() {
	reason := event.ConnectionBad
	if connlimit.ClientDisconnected(x.ctx) {
		reason = event.ClientClosed
	}
	x.server.Events.Record(event.Event{
		Kind:       event.RequestAbandoned,
		Reason:     reason,
		Request:    x.call.ID,
		Connection: connlimit.ConnectionID(x.ctx),
	})
}
