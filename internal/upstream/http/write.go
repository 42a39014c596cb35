package http

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"strconv"
	"sync/atomic"
	"time"

	"ryeweir/internal/httpmsg"
)

const (
	writeBufferBytes = 32 << 10

	// lastResponseWait is how long a response is waited for after the endpoint has stopped reading the request: it may have
	// sent one before that.
	lastResponseWait = 20 * time.Millisecond
)

// errAnsweredEarly ends the writing of a request to which a response has begun to arrive.
var errAnsweredEarly = errors.New("the endpoint answered before it had the request")

// writeResult is how far the writing of a request came.
type writeResult struct {
	err      error // why it is not complete; nil if it is
	answered bool  // a response began to arrive before the request was complete
}

// complete reports whether all of the request was written.
func (w writeResult) complete() bool { return w.err == nil }

// writeRequest writes the request.
func (x *exchange) writeRequest() writeResult {
	if x.message.Body.Remainder == nil {
		return writeResult{err: x.writeBuffered()}
	}
	return x.writeStreamed()
}

// writeBuffered writes a request whose body is in memory, with one write.
func (x *exchange) writeBuffered() error {
	attempt := x.attempt
	timeout := x.remainingTimeout()
	request := x.appendHead(x.state.requestBuffer[:0], timeout)
	request = append(request, x.message.Body.Buffered...)
	if cap(request) <= maxRequestBuffer {
		x.state.requestBuffer = request
	}
	if err := x.conn.SetWriteDeadline(x.Clock.At(attempt.Deadline())); err != nil {
		return err
	}
	_, err := x.conn.Write(request)
	sent := x.describeSend(attempt, x.endpoint)
	x.Monitor.Sent(attempt.Call.ID, sent, timeout, attempt.Deadline()+attempt.Call.TimeoutSlack-sent.Now)
	return err
}

// remainingTimeout is the timeout that is passed to the endpoint: what the client has left, at most that of its class.
func (x *exchange) remainingTimeout() time.Duration {
	return min(x.attempt.Call.Timeout, max(0, x.attempt.Deadline()-x.Clock.Now()))
}

// appendHead appends the request's head with the timeout.
func (x *exchange) appendHead(buffer []byte, timeout time.Duration) []byte {
	buffer = append(buffer, x.message.Head...)
	buffer = append(buffer, httpmsg.TimeoutHeader+": "...)
	buffer = strconv.AppendInt(buffer, timeout.Microseconds(), 10)
	return append(buffer, "u\r\n\r\n"...)
}

// writeStreamed writes a request whose body still comes from the client, and watches for a response that does not wait for the rest.
//
// Failure: an endpoint rejects a long upload and closes, and the agent, which only writes, sees a reset instead of the response.
// The guard holds because the watch reads beside the writer and stops it at the first byte of a response; if the write fails
// first, a response that was already sent is waited for a moment longer.
func (x *exchange) writeStreamed() writeResult {
	watch := x.watchForResponse()
	err := x.writeBody(watch)
	watch.written.Store(true)
	if err == nil {
		x.conn.SetReadDeadline(x.Clock.At(x.attempt.Deadline())) // until now a read could wait for as long as an upload may take
	} else if !watch.answered.Load() {
		cutoff := time.AfterFunc(lastResponseWait, x.cutReading)
		defer cutoff.Stop()
	}
	<-watch.done
	answered := watch.answered.Load() || err != nil && x.state.reader.Buffered() > 0
	return writeResult{err: err, answered: answered}
}

// cutReading ends the reading of a response, also a read that waits.
func (x *exchange) cutReading() {
	x.readCutoff.Store(int64(x.Clock.Now()))
	x.conn.SetReadDeadline(time.Now())
}

// writeBody writes the head and the body as it comes from the client.
func (x *exchange) writeBody(watch *responseWatch) error {
	head := x.appendHead(x.state.requestBuffer[:0], x.remainingTimeout())
	writer := bufio.NewWriterSize(streamWriter{x.conn, watch}, writeBufferBytes)
	writer.Write(head) // an error is returned by Flush
	if err := copyBody(writer, &x.message.Body); err != nil {
		return err
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	x.attempt.BodyWritten(x.Clock.Now())
	return nil
}

// copyBody writes a body in the form that its head states: with its length, or in chunks.
func copyBody(writer *bufio.Writer, body *httpmsg.Body) error {
	if body.Length < 0 {
		return copyChunked(writer, body)
	}
	n, err := io.Copy(writer, body.Reader())
	if err == nil && n != body.Length {
		err = io.ErrUnexpectedEOF
	}
	return err
}

// copyChunked writes a body in chunks, without trailers.
func copyChunked(writer *bufio.Writer, body *httpmsg.Body) error {
	chunks := httputil.NewChunkedWriter(writer)
	if _, err := io.Copy(chunks, body.Reader()); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := writer.WriteString("\r\n")
	return err
}

// responseWatch waits for the first byte of a response while a request is written.
type responseWatch struct {
	written  atomic.Bool   // the writer has ended
	answered atomic.Bool   // a response began before that
	done     chan struct{} // closed when the watch has ended; the reader is not to be used before
}

// watchForResponse starts a watch. When a response begins it stops the body's source and a write that waits.
func (x *exchange) watchForResponse() *responseWatch {
	watch := &responseWatch{done: make(chan struct{})}
	go func() {
		defer close(watch.done)
		if _, err := x.state.reader.Peek(1); err != nil || watch.written.Load() {
			return
		}
		watch.answered.Store(true)
		x.message.Body.Remainder.Stop()
		x.conn.SetWriteDeadline(time.Now())
	}()
	return watch
}

// streamWriter writes to a connection as long as that makes progress and no response has begun.
type streamWriter struct {
	net.Conn
	watch *responseWatch
}

// Write implements io.Writer.
func (w streamWriter) Write(p []byte) (int, error) {
	if err := w.SetWriteDeadline(time.Now().Add(streamStall)); err != nil {
		return 0, err
	}
	// Checked after the deadline was set, which else might replace the one by which the watch ends this write.
	if w.watch.answered.Load() {
		return 0, errAnsweredEarly
	}
	return w.Conn.Write(p)
}
