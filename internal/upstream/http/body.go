package http

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"ryeweir/internal/bodybuffer"
	"ryeweir/internal/httpmsg"
	"ryeweir/internal/pool"
	"ryeweir/logic"
)

// streamDelay is the time after which a chunked body that is not complete yet is streamed to the client.
const streamDelay = 100 * time.Millisecond

// readBody reads the body of the response. Only the body of a 200 is forwarded to the client.
func (x *exchange) readBody(ctx context.Context, response *http.Response) pool.ReleaseOutcome {
	switch {
	case response.StatusCode != http.StatusOK:
		return x.discardErrorBody(response)
	case response.ContentLength > httpmsg.MaxBodyBytes:
		x.outcome.Result = logic.Reset
		return pool.Broken
	}
	return x.forwardBody(ctx, response)
}

// forwardBody reads the body into the pipe from which the client is answered.
//
// Another attempt can replace a damaged body as long as none of it has gone to the client. A body is therefore read completely
// before any of it goes to the client, unless streaming starts first. Streaming starts:
//
//   - with the first bytes, if the length is known and above httpmsg.MaxBufferedBytes;
//   - when the pipe is full, for any other body. A pipe for which the budget did not suffice is smaller than a body that would
//     otherwise fit.
//   - after streamDelay, for a chunked body that does not fill the pipe earlier.
//
// A body with neither a length nor chunks ends with the connection. Failures do not look like such an end: an endpoint that dies
// resets the connection, and a damaged response leaves it open.
//
// A body without a length that goes on after httpmsg.MaxBodyBytes fails there. Its beginning has been streamed by then, so the client's
// answer is cut off.
func (x *exchange) forwardBody(ctx context.Context, response *http.Response) pool.ReleaseOutcome {
	length := response.ContentLength
	stream := x.newBodyStream(response)
	defer stream.finish()
	if length < 0 || length > int64(stream.pipe.Size()) { // otherwise the pipe has room for the whole body and Fill never blocks on it
		stop := context.AfterFunc(ctx, stream.pipe.Close)
		defer stop()
	}
	if length > httpmsg.MaxBufferedBytes {
		stream.enable()
	} else if len(response.TransferEncoding) > 0 {
		timer := time.AfterFunc(streamDelay, stream.enable)
		defer timer.Stop()
	}
	err := stream.pipe.Fill(httpmsg.LimitBody(response.Body), stream.enable, stream.onData)
	if err != nil && x.reported.CompareAndSwap(false, true) {
		stream.pipe.Close()
		return x.failBody(err)
	}
	return releaseAfterResponse(response, err)
}

// failBody reports the failure of a body that broke off before any of it went to the client.
func (x *exchange) failBody(err error) pool.ReleaseOutcome {
	x.outcome.Result = x.failureResult(fmt.Errorf("%w: %w", errMalformedResponse, err))
	x.outcome.Content = nil
	x.attempt.Report(x.outcome)
	if x.outcome.Result == logic.TimedOut && x.withinLatencyObjective() {
		return pool.Abandoned
	}
	return pool.Broken
}

// bodyStream decides when the body of a response starts to be streamed to the client. Its methods are called by the exchange and by
// a timer.
type bodyStream struct {
	exchange *exchange
	pipe     *bodybuffer.Pipe

	mu sync.Mutex
	// finished is set when the exchange has ended. Streaming must not start after that, because it changes the deadline of a connection
	// that may carry another exchange by then.
	finished bool
}

// newBodyStream sets the outcome to OK, with content that is read from a new pipe.
func (x *exchange) newBodyStream(response *http.Response) *bodyStream {
	capacity := int64(httpmsg.MaxBufferedBytes)
	if response.ContentLength >= 0 {
		capacity = min(capacity, response.ContentLength)
	}
	pipe := bodybuffer.NewPipe(x.Budget, int(capacity))
	x.outcome.Result = logic.OK
	x.outcome.Content = &httpmsg.Content{
		Pipe:        pipe,
		Length:      response.ContentLength,
		ContentType: response.Header.Get("Content-Type"),
	}
	return &bodyStream{exchange: x, pipe: pipe}
}

// enable lets streaming start as soon as part of the body has been read. Until then nothing has been sent to the client, so another
// attempt can replace a response that breaks off after its head.
func (s *bodyStream) enable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finished {
		return
	}
	s.exchange.streaming.Store(true)
	if buffered, _ := s.pipe.Complete(); buffered > 0 {
		s.start()
	}
}

// onData is called when more of the body has been added to the pipe.
func (s *bodyStream) onData() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.finished && s.exchange.streaming.Load() {
		s.start()
	}
}

// start reports the outcome, which makes the frontend answer the client. The caller holds s.mu.
func (s *bodyStream) start() {
	x := s.exchange
	if x.reported.CompareAndSwap(false, true) {
		x.state.deadline.refresh() // a connection that can't set it fails the read as well
		x.attempt.Report(x.outcome)
	}
}

// finish prevents streaming from starting later.
func (s *bodyStream) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished = true
}
