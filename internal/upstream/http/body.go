package http

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"ryeweir/internal/bodybuffer"
	"ryeweir/internal/httpmsg"
	"ryeweir/internal/pool"
	"ryeweir/logic"
)

// streamAfter is when a body in chunks is streamed that is not complete by then.
const streamAfter = 100 * time.Millisecond

// readBody reads the body of the response. Only a 200 is passed on to the client.
func (x *exchange) readBody(ctx context.Context, response *http.Response) pool.ReleaseOutcome {
	switch {
	case response.StatusCode != http.StatusOK:
		return x.discardErrorBody(response)
	case response.ContentLength > httpmsg.MaxBodyBytes:
		x.outcome.Result = logic.Reset
		return pool.Broken
	}
	return x.passOnBody(ctx, response)
}

// passOnBody brings the body into the pipe from which the client is answered.
//
// A body that fits the buffer is checked to its end before any of it goes to the client, so that another attempt can follow a damaged
// one. A longer body is streamed: as soon as some of it is there if its length says so, else once the buffer is full or streamAfter
// has passed. A body with neither length nor chunks ends with the connection: an endpoint that dies resets that, and a damaged
// response leaves it open, so that neither looks like an end.
func (x *exchange) passOnBody(ctx context.Context, response *http.Response) pool.ReleaseOutcome {
	length := response.ContentLength
	stream := x.newBodyStream(response)
	defer stream.end()
	if length < 0 || length > int64(stream.pipe.Size()) { // else the pipe never waits for its reader
		stop := context.AfterFunc(ctx, stream.pipe.Close)
		defer stop()
	}
	if length > httpmsg.MaxBufferedBytes {
		stream.allow()
	} else if len(response.TransferEncoding) > 0 {
		timer := time.AfterFunc(streamAfter, stream.allow)
		defer timer.Stop()
	}
	err := stream.pipe.Fill(io.LimitReader(response.Body, httpmsg.MaxBodyBytes+1), stream.allow, stream.added)
	if err != nil && x.reported.CompareAndSwap(false, true) {
		stream.pipe.Close()
		return x.failBody(err)
	}
	return releaseAfterResponse(response, err)
}

// failBody reports a body that broke off before any of it went to the client.
func (x *exchange) failBody(err error) pool.ReleaseOutcome {
	x.outcome.Result = x.failureResult(fmt.Errorf("%w: %w", errMalformedResponse, err))
	x.outcome.Content = nil
	x.attempt.Report(x.outcome)
	if x.outcome.Result == logic.TimedOut && x.waitedBelowObjective() {
		return pool.Abandoned
	}
	return pool.Broken
}

// bodyStream decides when the body of a response begins to be streamed to the client. Its methods are called by the exchange and by
// a timer.
type bodyStream struct {
	exchange *exchange
	pipe     *bodybuffer.Pipe

	mu sync.Mutex
	// over says that the exchange has ended: streaming must not begin any more, as it sets a deadline on a connection that
	// may carry another exchange by then.
	over bool
}

// newBodyStream sets the outcome to an OK whose content comes through a new pipe.
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

// allow lets streaming begin as soon as some of the body is there: a response that breaks off behind its head has not begun for
// the client, and another attempt can follow.
func (s *bodyStream) allow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return
	}
	s.exchange.streaming.Store(true)
	if buffered, _ := s.pipe.Complete(); buffered > 0 {
		s.begin()
	}
}

// added is called when more of the body is in the pipe.
func (s *bodyStream) added() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.over && s.exchange.streaming.Load() {
		s.begin()
	}
}

// begin reports the outcome, from which on the client is answered. The caller holds the lock.
func (s *bodyStream) begin() {
	x := s.exchange
	if x.reported.CompareAndSwap(false, true) {
		x.conn.SetReadDeadline(time.Now().Add(streamStall)) // also for a read that waits
		x.attempt.Report(x.outcome)
	}
}

// end prevents that streaming begins later.
func (s *bodyStream) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over = true
}
