package http

import (
	"net/http"
	"strconv"

	"ryeweir/internal/connlimit"
	"ryeweir/internal/core"
	"ryeweir/internal/event"
	"ryeweir/internal/httpmsg"
	"ryeweir/internal/metrics"
)

// shutdownAnswer is the answer to a call that the core can no longer answer because it has ended.
var shutdownAnswer = core.Answer{Kind: core.Failed, Reason: event.ShuttingDown}

// answer writes the answer to the request.
func (x *exchange) answer(a core.Answer) {
	x.server.setConnectionHeader(x.ctx, x.writer)
	if a.Kind == core.Served {
		x.recordAnswer(event.Served)
		connlimit.MarkServed(x.ctx)
		x.stream(a.Content.(*httpmsg.Content))
		return
	}
	x.answerWithoutContent(a)
}

// answerWithoutContent writes an answer that the agent itself gives: a rejection or a failure.
func (x *exchange) answerWithoutContent(a core.Answer) {
	if x.upload != nil {
		x.upload.Stop() // an attempt may be waiting for more of the body
		x.upload.Close()
		if err := x.upload.Err(); err != nil { // the request was never received completely, so it is not rejected
			x.answerBrokenUpload(err)
			return
		}
		x.answerBeforeUploadEnds()
	}
	header := x.writer.Header()
	header["Content-Type"] = nil // keeps net/http from guessing one
	header.Set("Content-Length", "0")
	if a.RetryAfter > 0 && a.Kind == core.Rejected {
		header.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', -1, 64))
	}
	status, outcome := statusOf(a.Kind)
	x.recordAnswer(a.Reason)
	x.writer.WriteHeader(status)
	x.server.Metrics.RequestAnswered(x.call.Class, outcome)
	if x.upload != nil {
		x.flushBeforeDiscard(http.NewResponseController(x.writer))
		x.upload.Drain()
		endAfterAnswer(x.upload)
	}
}

// endAfterAnswer ends a handler whose answer has been written and flushed. If the request has not been read to its end, it does not return: if the
// handler returned, net/http would hold the connection for another 0.5 s, in which it can't be evicted. connlimit lingers by itself.
func endAfterAnswer(rest *httpmsg.Remainder) {
	if !rest.Upload.Complete() {
		panic(http.ErrAbortHandler)
	}
}

// statusOf returns the HTTP status of an answer without content, and the result under which the metrics count it.
func statusOf(kind core.AnswerKind) (status int, outcome metrics.Result) {
	switch kind {
	case core.Rejected:
		return http.StatusServiceUnavailable, metrics.Rejected
	case core.Duplicate:
		return http.StatusConflict, metrics.Failed
	}
	return http.StatusBadGateway, metrics.Failed
}

// answerBeforeUploadEnds prepares an answer that is written while the request's body is still being received. The answer closes
// the connection, and the client may continue to send while it is written.
func (x *exchange) answerBeforeUploadEnds() {
	x.writer.Header().Set("Connection", "close")
	http.NewResponseController(x.writer).EnableFullDuplex()
}

// answerBodyTooLong answers a request that has not been submitted and whose body goes on behind its length.
func (x *exchange) answerBodyTooLong() {
	x.releaseBody()
	x.recordAnswer(event.Malformed)
	x.server.Metrics.RequestAnswered(x.call.Class, metrics.Failed)
	writeInvalid(x.writer, bodyError(httpmsg.ErrBodyTooLong))
}

// answerBrokenUpload answers a request whose body could not be read completely.
func (x *exchange) answerBrokenUpload(err error) {
	x.recordAnswer(event.UploadTruncated)
	writeInvalid(x.writer, bodyError(err))
}

// recordAnswer records that the answer has been decided and is about to be written.
func (x *exchange) recordAnswer(reason event.Reason) {
	connlimit.BeginAnswer(x.ctx)
	x.server.Events.Record(event.Event{
		Kind:       event.RequestAnswered,
		Reason:     reason,
		Request:    x.call.ID,
		Connection: connlimit.ConnectionID(x.ctx),
	})
}
