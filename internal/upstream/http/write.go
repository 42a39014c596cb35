package http

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync/atomic"
	"time"

	"ryeweir/internal/httpmsg"
	"ryeweir/internal/socket"
)

const (
	writeBufferBytes = 32 << 10 // buffer of a request whose body still arrives from the client, if the budget has as much

	// lateResponseTimeout is how long to wait for a response after the write of the request has failed. The endpoint may have sent a
	// response before it stopped reading.
	lateResponseTimeout = 20 * time.Millisecond
)

// endpointStallLimit ends the write of a body to an endpoint that does not read it.
var endpointStallLimit = socket.StallLimit{Timeout: httpmsg.EndpointStallTimeout, MinRate: httpmsg.MinUploadRate}

// errAnsweredEarly ends the write of a request when its final response has arrived.
var errAnsweredEarly = errors.New("endpoint answered before it received the whole request")

// errRequestFinished ends the write of a long body whose request has been answered or abandoned.
var errRequestFinished = errors.New("the request has ended")

// sendResult says what became of a request: how it was written, and the head of its final response. An endpoint may respond before it has the whole
// request.
type sendResult struct {
	writeErr    error // why the request was not written completely; nil if it was
	response    *http.Response
	responseErr error // why there is no response; nil if there is one, or if none was awaited
}

// send writes the request, with a body that is in memory or still arrives from the client, and awaits the final response.
func (x *exchange) send() (sent sendResult) {
	if x.message.Body.Remainder != nil {
		return x.sendStreamed()
	}
	if sent.writeErr = x.writeBuffered(); sent.writeErr != nil {
		return sent
	}
	x.recordWritten()
	sent.response, sent.responseErr = x.state.readHead()
	return sent
}

// writeBuffered writes a request whose body is in memory, in a single write.
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

// remainingTimeout returns the timeout that is sent to the endpoint: the time until the attempt's deadline, but at most Call.Timeout,
// which begins only with the last byte of the request. While the body still arrives from the client, the attempt's deadline is that
// of the upload and may be later; Call.Timeout then counts from the latest time at which the client can't have written the last byte.
func (x *exchange) remainingTimeout() time.Duration {
	timeout := x.attempt.Call.Timeout
	if remainder := x.message.Body.Remainder; remainder != nil {
		timeout -= remainder.Upload.Elapsed(time.Now())
	}
	return max(0, min(timeout, x.attempt.Deadline()-x.Clock.Now()))
}

// appendHead appends the head of the request, including the timeout header.
func (x *exchange) appendHead(buffer []byte, timeout time.Duration) []byte {
	buffer = append(buffer, x.message.Head...)
	buffer = append(buffer, httpmsg.TimeoutHeader+": "...)
	buffer = strconv.AppendInt(buffer, timeout.Microseconds(), 10)
	return append(buffer, "u\r\n\r\n"...)
}

// sendStreamed writes a request whose body still arrives from the client, and reads its response beside that.
//
// Failure: an endpoint rejects a long upload and closes the connection. An agent that only writes would see a reset instead of the
// response. Therefore the response is read concurrently, and its head stops the writer. If the write fails first, the agent waits
// lateResponseTimeout for a response that was already sent.
func (x *exchange) sendStreamed() (sent sendResult) {
	reader := x.readHeadConcurrently()
	sent.writeErr = x.writeBody(reader)
	reader.writeEnded.Store(true)
	if sent.writeErr == nil {
		x.recordWritten()
		x.state.deadline.refresh() // the deadline is earlier than the one that applied during the upload
	} else {
		cutoff := time.AfterFunc(lateResponseTimeout, x.stopReading)
		defer cutoff.Stop()
	}
	<-reader.done
	sent.response, sent.responseErr = reader.response, reader.err
	return sent
}

// stopReading ends the reading of a response, including a read in progress.
func (x *exchange) stopReading() {
	x.readCutoff.Store(int64(x.Clock.Now()))
	x.state.deadline.refresh()
}

// writeBody writes the head, and the body as it arrives from the client.
func (x *exchange) writeBody(response *headReader) error {
	buffer := x.Budget.Reserve(writeBufferBytes)
	defer x.Budget.Release(buffer)
	head := x.appendHead(x.state.requestBuffer[:0], x.remainingTimeout())
	writer := bufio.NewWriterSize(x.newSender(response), buffer)
	writer.Write(head) // Flush returns the error
	if err := copyBody(writer, &x.message.Body); err != nil {
		return err
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	x.attempt.BodyWritten(x.Clock.Now(), x.message.Body.Remainder.Upload.Elapsed(time.Now()))
	return nil
}

// copyBody writes a body in the form that its head announces: with a length or in chunks. It reads into the writer's own buffer.
func copyBody(writer *bufio.Writer, body *httpmsg.Body) error {
	if body.Length < 0 {
		return copyChunked(writer, body)
	}
	n, err := writer.ReadFrom(readerOnly{body.Reader()})
	if err == nil && n != body.Length {
		err = io.ErrUnexpectedEOF
	}
	return err
}

// chunkBytes is the length of the chunks of a forwarded body, but for the last one.
const chunkBytes = 4 << 10

// copyChunked writes a body in chunks, without trailers.
func copyChunked(writer *bufio.Writer, body *httpmsg.Body) error {
	chunks := httputil.NewChunkedWriter(writer)
	if _, err := io.CopyBuffer(writerOnly{chunks}, readerOnly{body.Reader()}, make([]byte, chunkBytes)); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := writer.WriteString("\r\n")
	return err
}

// readerOnly hides all methods of a reader but Read, so that a copy uses the buffer that it is given and allocates none.
type readerOnly struct{ io.Reader }

// writerOnly hides all methods of a writer but Write, for the same reason.
type writerOnly struct{ io.Writer }

// headReader reads the head of the final response while the request is being written.
type headReader struct {
	writeEnded atomic.Bool   // there is nothing left to stop
	answered   atomic.Bool   // the endpoint needs no more of the request
	done       chan struct{} // closed when the head has been read, or can't be; connState must not be used before
	response   *http.Response
	err        error
}

// readHeadConcurrently starts a headReader. When the final response arrives, or what can't become one, it stops the source of the body and any write
// in progress. An end of the connection is left to the writer, which finds it as well.
func (x *exchange) readHeadConcurrently() *headReader {
	reader := &headReader{done: make(chan struct{})}
	go func() {
		defer close(reader.done)
		reader.response, reader.err = x.state.readHead()
		if reader.writeEnded.Load() || reader.err != nil && !errors.Is(reader.err, errMalformedResponse) {
			return
		}
		reader.answered.Store(true)
		x.message.Body.Remainder.Stop()
		x.conn.SetWriteDeadline(time.Now())
	}()
	return reader
}

// newSender returns a sender that writes to the endpoint while the endpoint takes what is written, no response has arrived and the request is open.
func (x *exchange) newSender(response *headReader) *socket.Sender {
	sender := socket.NewSender(x.conn.Conn, endpointStallLimit)
	sender.Interrupted = func() error {
		if response.answered.Load() {
			return errAnsweredEarly
		}
		if x.attempt.Call.Finished() {
			return errRequestFinished
		}
		return nil
	}
	return sender
}
