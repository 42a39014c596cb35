package http

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"ryeweir/internal/connlimit"
	"ryeweir/internal/core"
	"ryeweir/internal/event"
	"ryeweir/internal/framing"
	"ryeweir/internal/httpmsg"
	"ryeweir/internal/metrics"
)

// stream writes an endpoint's answer to the client as it comes in.
//
// Guard: content that breaks off must not look complete. Before the first byte the request fails with a 502 instead; after it the
// connection is cut. A client would otherwise take half an answer for a complete one.
func (x *exchange) stream(content *httpmsg.Content) {
	defer content.Pipe.Close()
	early := x.upload != nil && !x.upload.Complete() // the endpoint did not wait for the complete body
	buffered, complete := content.Pipe.Complete()
	if complete {
		content.Length = int64(buffered)
	} else if !early { // a client that disconnects ends the wait for more
		stop := context.AfterFunc(x.ctx, content.Pipe.Close)
		defer stop()
	}
	x.setContentHeaders(content)
	if early {
		x.answerBeforeUploadEnds()
	}
	out := &clientWriter{ResponseWriter: x.writer, control: http.NewResponseController(x.writer), flushEach: !complete}
	if _, err := content.Pipe.WriteTo(out); err != nil {
		if !out.headWritten && x.ctx.Err() == nil {
			x.writer.Header().Del("Content-Length")
			x.answer(core.Answer{Kind: core.Failed, Reason: event.AnswerTruncated})
			return
		}
		x.abortAnswer(err)
	}
	out.writeHead()
	x.server.Metrics.RequestAnswered(x.call.Class, metrics.Completed)
	if early {
		x.discardUpload(out.control)
	}
}

// setContentHeaders sets the headers of an answer with content. Without a length net/http sends it in chunks.
func (x *exchange) setContentHeaders(content *httpmsg.Content) {
	header := x.writer.Header()
	if content.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(content.Length, 10))
	}
	header["Content-Type"] = nil // else net/http guesses one
	if content.ContentType != "" {
		header.Set("Content-Type", content.ContentType)
	}
}

// abortAnswer cuts the connection of an answer that broke off. It does not return.
func (x *exchange) abortAnswer(err error) {
	x.server.Metrics.RequestAnswered(x.call.Class, metrics.Failed)
	x.server.Events.Record(event.Event{
		Kind:       event.RequestAbandoned,
		Reason:     event.AnswerTruncated,
		Request:    x.call.ID,
		Connection: connlimit.ConnectionID(x.ctx),
		Detail:     err.Error(),
	})
	connlimit.MarkAnswerAborted(x.ctx)
	if x.http10 { // which would take a plain close for the answer's end
		framing.ResetOnClose(x.ctx)
	}
	panic(http.ErrAbortHandler)
}

// clientWriter writes an answer's content to a client for as long as that reads.
type clientWriter struct {
	http.ResponseWriter
	control     *http.ResponseController
	flushEach   bool // flush each piece, as the next may take its time
	headWritten bool
}

// writeHead writes the answer's head, once.
func (w *clientWriter) writeHead() {
	if !w.headWritten {
		w.headWritten = true
		w.WriteHeader(http.StatusOK)
	}
}

// Write writes a piece of the content, within clientStallTimeout.
func (w *clientWriter) Write(p []byte) (int, error) {
	if err := w.control.SetWriteDeadline(time.Now().Add(clientStallTimeout)); err != nil {
		return 0, err
	}
	w.writeHead()
	n, err := w.ResponseWriter.Write(p)
	if err == nil && w.flushEach {
		err = w.control.Flush()
	}
	return n, err
}
