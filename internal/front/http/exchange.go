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

// exchange holds a valid request and its state until it has been answered.
//
// Invariant: from begin on, exactly one of these happens: an answer is written completely, the answer is cut short and the
// connection is closed, or the request is abandoned because its client has disconnected.
type exchange struct {
	server      *Server
	writer      http.ResponseWriter
	ctx         context.Context // canceled when the client disconnects
	cancelCtx   context.CancelFunc
	http10      bool // the client speaks HTTP/1.0
	call        *core.Call
	upload      *httpmsg.Remainder // the part of the body that is still being received; nil if the whole body is buffered
	releaseBody func()             // frees the buffers of the body
	receipt     receipt
	counted     bool // included in Server.inFlight
}

func newExchange(s *Server, w http.ResponseWriter, r *http.Request, call *core.Call, release func()) *exchange {
	ctx, cancel := context.WithCancel(r.Context())
	return &exchange{
		server:      s,
		writer:      w,
		ctx:         ctx,
		cancelCtx:   cancel,
		http10:      !r.ProtoAtLeast(1, 1),
		call:        call,
		upload:      call.Message.(*httpmsg.Message).Body.Remainder,
		releaseBody: release,
	}
}

// run processes the request from begin until it is answered or abandoned.
func (x *exchange) run() {
	defer x.finish()
	x.begin()
	if x.upload == nil && x.bodyContinues() {
		x.answerBodyTooLong()
		return
	}
	if !x.admit() {
		x.shed()
		return
	}
	x.await(x.submit())
}

// begin marks the request as in flight. It also starts the request's deadline and the detection of a client disconnect. If the body is still
// being received, the deadline starts when it is complete, and until an attempt reads on the detection leaves the rest of it unread.
//
// A request with a buffered body whose client has already disconnected ends here and is never submitted. Otherwise an attempt could
// be sent for a client that is gone, which violates the invariant send_after_client_left. If the body is still being received,
// uploadCompleted cancels the request's context instead.
func (x *exchange) begin() {
	connlimit.BeginRequest(x.ctx, x.call.ID)
	if x.upload != nil {
		x.upload.OnComplete = x.uploadCompleted
		stop, disconnected := connlimit.OnHangup(x.ctx, x.cancelCtx)
		x.upload.BeforeRead = stop
		if disconnected {
			x.endUnsubmitted()
		}
		return
	}
	x.recordReceived()
	x.call.Deadline = x.server.Clock.Now() - connlimit.WaitedUnread(x.ctx) + x.call.Timeout
	if connlimit.OnDisconnect(x.ctx, x.cancelCtx) || connlimit.SettleInput(x.ctx, settleLimit) {
		x.endUnsubmitted()
	}
}

// endUnsubmitted ends a request whose client has left before it was submitted. It does not return.
func (x *exchange) endUnsubmitted() {
	x.releaseBody()
	x.recordAbandoned()
	panic(http.ErrAbortHandler)
}

// recordReceived counts the request as received, once, when its last byte has been read. It may run in the goroutine of an attempt.
func (x *exchange) recordReceived() {
	if x.receipt.receive() {
		x.server.Metrics.RequestReceived()
		x.server.Events.Record(event.Event{Kind: event.RequestRead, Request: x.call.ID, Connection: connlimit.ConnectionID(x.ctx)})
	}
}

// finish takes the request out of the counts of open requests and cancels its context. It also runs when the handler panics with
// http.ErrAbortHandler.
func (x *exchange) finish() {
	if x.upload != nil {
		x.upload.BeforeRead() // nobody may wait for the connection's end once the server reads it again
	}
	if x.counted {
		x.server.inFlight.Add(-1)
	}
	if x.receipt.finish() {
		x.server.Metrics.RequestFinished()
	}
	x.cancelCtx()
}

// admit counts the request as in flight. It returns false if too many requests are in flight.
func (x *exchange) admit() bool {
	x.counted = true
	return x.server.inFlight.Add(1) <= x.server.maxInFlight.Load()
}

// shed rejects the request because too many are in flight. No attempt was made and no endpoint has executed the request, so the
// promise of a rejection holds: trying again does no harm.
func (x *exchange) shed() {
	x.releaseBody()
	x.answer(core.Answer{Kind: core.Rejected, Reason: event.TooManyOpen, RetryAfter: overLimitRetryAfter})
}

// submit hands the call to the core. The core then releases the body's buffers, because attempts may use them after the client
// has disconnected.
func (x *exchange) submit() <-chan core.Answer {
	x.call.Release = x.releaseBody
	answers := x.server.Core.Submit(x.call)
	if x.upload != nil {
		x.watchUploadDeadline(false)
	}
	return answers
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
	case <-x.server.Core.Done():
		// The core stops after Serve has closed all connections, so no client receives this answer. It is given nevertheless, because it
		// ends the upload and the exchange: the core may never answer the call.
		x.answer(shutdownAnswer)
	}
}

// awaitEarlyAnswer waits for the call's answer when the endpoint has answered before it received the complete body. The upload is then
// stopped, which interrupts a read, and net/http cancels the context because of that. The client has not disconnected, and the
// answer will follow.
func (x *exchange) awaitEarlyAnswer(answers <-chan core.Answer) {
	select {
	case a := <-answers:
		x.answer(a)
	case <-x.server.Core.Done():
		x.answer(shutdownAnswer)
	}
}

// abandon ends a request whose context was canceled. Either its client has disconnected, or its body was truncated or stalled:
// net/http reports these in the same way. A request with a truncated or stalled body can still be answered.
func (x *exchange) abandon() {
	x.server.Core.Abandon(x.call)
	if x.upload != nil {
		http.NewResponseController(x.writer).SetReadDeadline(time.Now()) // interrupts an attempt that is reading the body
		x.upload.Close()
		if err := x.upload.Err(); err != nil {
			x.answerBrokenUpload(err)
			return
		}
	}
	x.recordAbandoned()
	panic(http.ErrAbortHandler)
}

// recordAbandoned records that the request ends without an answer.
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
