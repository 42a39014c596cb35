package http

import (
	"net/http"
	"strconv"
	"time"

	"ryeweir/internal/connlimit"
	"ryeweir/internal/core"
	"ryeweir/internal/event"
	"ryeweir/internal/httpmsg"
	"ryeweir/internal/metrics"
)

// shutdownAnswer is for a call that the core can't answer any more.
var shutdownAnswer = core.Answer{Kind: core.Failed, Reason: event.ShuttingDown}

// answer writes the request's answer.
func (x *exchange) answer(a core.Answer) {
	x.server.closeUnwantedConnection(x.ctx, x.writer)
	if a.Kind == core.Served {
		x.recordAnswer(event.Served)
		x.stream(a.Content.(*httpmsg.Content))
		return
	}
	x.answerWithoutContent(a)
}

// answerWithoutContent writes an answer of the agent's own: a rejection or a failure.
func (x *exchange) answerWithoutContent(a core.Answer) {
	if x.upload != nil {
		x.upload.Stop() // an attempt may wait for more of it
		x.upload.Close()
		if err := x.upload.Err(); err != nil { // there never was a complete request to reject
			x.answerBrokenUpload(err)
			return
		}
		x.answerBeforeUploadEnds()
	}
	header := x.writer.Header()
	header["Content-Type"] = nil // else net/http guesses one
	header.Set("Content-Length", "0")
	if a.RetryAfter > 0 && a.Kind == core.Rejected {
		header.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', -1, 64))
	}
	status, outcome := statusOf(a.Kind)
	control := http.NewResponseController(x.writer)
	control.SetWriteDeadline(time.Now().Add(answerWriteTimeout))
	x.recordAnswer(a.Reason)
	x.writer.WriteHeader(status)
	x.server.Metrics.RequestAnswered(x.call.Class, outcome)
	if x.upload != nil {
		x.discardUpload(control)
	}
}

// statusOf returns the status of an answer without content, and how it is counted.
func statusOf(kind core.AnswerKind) (status int, outcome metrics.Result) {
	switch kind {
	case core.Rejected:
		return http.StatusServiceUnavailable, metrics.Rejected
	case core.Duplicate:
		return http.StatusConflict, metrics.Failed
	}
	return http.StatusBadGateway, metrics.Failed
}

// answerBeforeUploadEnds prepares the answer to a request whose body is still coming in: it closes the connection, and the client
// may go on sending while it is written.
func (x *exchange) answerBeforeUploadEnds() {
	x.writer.Header().Set("Connection", "close")
	http.NewResponseController(x.writer).EnableFullDuplex()
}

// discardUpload reads what is left of a body after its answer. A client that sends all of it before it reads would otherwise find
// its connection closed, and not the answer.
func (x *exchange) discardUpload(control *http.ResponseController) {
	control.Flush()
	x.upload.Drain()
}

// answerBrokenUpload answers a request whose body could not be read to its end.
func (x *exchange) answerBrokenUpload(err error) {
	x.recordAnswer(event.UploadTruncated)
	writeInvalid(x.writer, bodyError(err))
}

// recordAnswer records that the request's answer has been decided on and is about to be written.
func (x *exchange) recordAnswer(reason event.Reason) {
	connlimit.BeginAnswer(x.ctx)
	x.server.Events.Record(event.Event{
		Kind:       event.RequestAnswered,
		Reason:     reason,
		Request:    x.call.ID,
		Connection: connlimit.ConnectionID(x.ctx),
	})
}
