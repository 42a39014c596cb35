package http

import (
	"context"
	"fmt"
	"net/http"

	"ryeweir/internal/bodybuffer"
	"ryeweir/internal/httpmsg"
	"ryeweir/internal/pool"
	"ryeweir/logic"
)

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

// forwardBody reads the body into the pipe from which the client is answered. The hold says from when on that is.
//
// A body with neither a length nor chunks ends with the connection. Failures do not look like such an end: an endpoint that dies
// resets the connection, and a damaged response leaves it open.
//
// A body without a length that goes on after httpmsg.MaxBodyBytes fails there. Its beginning has been streamed by then, so the client's
// answer is cut off.
func (x *exchange) forwardBody(ctx context.Context, response *http.Response) pool.ReleaseOutcome {
	length := response.ContentLength
	content := x.newContent(response)
	if length < 0 || length > int64(content.Pipe.Size()) { // otherwise the pipe has room for the whole body and Fill never blocks on it
		stop := context.AfterFunc(ctx, content.Pipe.Close)
		defer stop()
	}
	x.hold.begin(content, len(response.TransferEncoding) > 0)
	err := content.Pipe.Fill(httpmsg.LimitBody(response.Body), x.hold.release, x.hold.dataArrived)
	if err != nil && x.reported.CompareAndSwap(false, true) {
		content.Pipe.Close()
		return x.failBody(err)
	}
	return releaseAfterResponse(response, err)
}

// newContent sets the outcome to OK, with content that is read from a new pipe.
func (x *exchange) newContent(response *http.Response) *httpmsg.Content {
	capacity := int64(httpmsg.MaxBufferedBytes)
	if response.ContentLength >= 0 {
		capacity = min(capacity, response.ContentLength)
	}
	content := &httpmsg.Content{
		Pipe:        bodybuffer.NewPipe(x.Budget, int(capacity)),
		Length:      response.ContentLength,
		ContentType: response.Header.Get("Content-Type"),
	}
	x.outcome.Result, x.outcome.Content = logic.OK, content
	return content
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
