package http

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"ryeweir/internal/connlimit"
	"ryeweir/internal/core"
	"ryeweir/internal/event"
	"ryeweir/internal/framing"
	"ryeweir/internal/httpmsg"
	"ryeweir/internal/metrics"
	"ryeweir/internal/socket"
)

// stream copies an endpoint's response to the client as it arrives.
//
// A truncated response must not look complete, or the client would use a part of it as the whole. If the endpoint's response ends
// too early, the client gets a 502 as long as no byte has been written; after that, its connection is closed.
//
// To an HTTP/1.0 client an answer of unknown length ends with its connection. Until such an answer has been written to its end, any close
// of the connection is therefore a reset: also the one at the end of a drain, or of the process.
func (x *exchange) stream(content *httpmsg.Content) {
	defer content.Pipe.Close()
	earlyAnswer := x.upload != nil && !x.upload.Complete() // the endpoint answered before it received the complete body
	buffered, complete := content.Pipe.Complete()
	if complete {
		content.Length = int64(buffered)
	} else if !earlyAnswer { // a client disconnect ends the wait for more content
		stop := context.AfterFunc(x.ctx, content.Pipe.Close)
		defer stop()
	}
	x.setContentHeaders(content)
	var discard *uploadDiscard
	if earlyAnswer {
		x.answerBeforeUploadEnds()
		discard = x.beginDiscard()
		defer discard.stop()
	}
	endsWithConnection := x.http10 && content.Length < 0
	out := &clientWriter{ResponseWriter: x.writer, control: http.NewResponseController(x.writer), flushEach: !complete}
	if endsWithConnection {
		out.beforeHead = func() { framing.ResetOnClose(x.ctx) }
	}
	if content.HeadFirst {
		out.sendHead()
	}
	if _, err := content.Pipe.WriteTo(out); err != nil {
		if !out.headWritten && x.ctx.Err() == nil {
			discard.stop()
			x.writer.Header().Del("Content-Length")
			x.answer(core.Answer{Kind: core.Failed, Reason: event.AnswerTruncated})
			return
		}
		x.abortAnswer(err)
	}
	out.writeHead()
	if endsWithConnection {
		if err := out.control.Flush(); err != nil {
			x.abortAnswer(err)
		}
		framing.EndOnClose(x.ctx)
	}
	x.server.Metrics.RequestAnswered(x.call.Class, metrics.Completed)
	if earlyAnswer {
		x.flushBeforeDiscard(out.control)
		discard.await()
	}
}

// setContentHeaders sets the headers of an answer with content. If the length is unknown, net/http uses chunked encoding.
func (x *exchange) setContentHeaders(content *httpmsg.Content) {
	header := x.writer.Header()
	if content.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(content.Length, 10))
	}
	header["Content-Type"] = nil // keeps net/http from guessing one
	if content.ContentType != "" {
		header.Set("Content-Type", content.ContentType)
	}
}

// abortAnswer closes the connection of an answer that was cut short. It does not return: it panics with http.ErrAbortHandler.
func (x *exchange) abortAnswer(err error) {
	x.server.Metrics.RequestAnswered(x.call.Class, metrics.Failed)
	reason := event.AnswerTruncated
	if errors.Is(err, socket.ErrPeerStalled) {
		reason = event.ClientStalled
	}
	x.server.Events.Record(event.Event{
		Kind:       event.RequestAbandoned,
		Reason:     reason,
		Request:    x.call.ID,
		Connection: connlimit.ConnectionID(x.ctx),
		Detail:     err.Error(),
	})
	connlimit.MarkAnswerAborted(x.ctx)
	if x.http10 { // an HTTP/1.0 client would take a plain close for the end of the answer
		framing.ResetOnClose(x.ctx)
	}
	panic(http.ErrAbortHandler)
}

// clientWriter writes the content of an answer to a client. Its writes fail if the client stops reading (clientStallLimit).
type clientWriter struct {
	http.ResponseWriter
	control     *http.ResponseController
	flushEach   bool   // flush after each piece, because the next one may arrive much later
	beforeHead  func() // called before the head is written; may be nil
	headWritten bool
}

// writeHead writes the status line and the headers, once.
func (w *clientWriter) writeHead() {
	if !w.headWritten {
		w.headWritten = true
		if w.beforeHead != nil {
			w.beforeHead()
		}
		w.WriteHeader(http.StatusOK)
	}
}

// sendHead writes the status line and the headers before there is any content. If that fails, the next write does.
func (w *clientWriter) sendHead() {
	w.writeHead()
	w.control.Flush()
}

// Write writes a piece of the content.
func (w *clientWriter) Write(p []byte) (int, error) {
	w.writeHead()
	n, err := w.ResponseWriter.Write(p)
	if err == nil && w.flushEach {
		err = w.control.Flush()
	}
	return n, err
}
