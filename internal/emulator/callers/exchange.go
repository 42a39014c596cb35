package callers

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"ryeweir/internal/emulator/backend"
	"ryeweir/internal/emulator/referee"
)

const (
	maxResponseBytes = 64 << 20
	maxRetryAfter    = 10 * time.Second // longer values of Retry-After are cut to this
	slowWriteParts   = 8                // number of writes with which a slow client sends a request
)

// Response is the result of a request.
type Response struct {
	Outcome    referee.Outcome
	Status     int
	BodyHash   uint64 // of the body of a 200 response
	Bytes      int64  // size of the body
	RetryAfter time.Duration
	Sent       time.Time // when the last byte of the request was written
}

// exchange sends a request and reads its response. reusable reports whether the connection can be used for another request.
func (c *clientConn) exchange(ctx context.Context, request Request, host string) (response Response, reusable bool) {
	if c.SetDeadline(time.Time{}) != nil {
		return Response{Outcome: referee.NotSent}, false
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer func() { reusable = stop() && reusable }()
	// A failed write does not end the exchange unless the context has ended: the response may have arrived before all was sent.
	if err := c.write(ctx, request, host); err != nil && ctx.Err() != nil {
		return Response{Outcome: referee.NotSent}, false
	}
	response.Sent = time.Now()
	reusable = c.readResponse(&response)
	return response, reusable
}

func (c *clientConn) readResponse(response *Response) (reusable bool) {
	if _, err := c.in.Peek(1); err != nil {
		response.Outcome = referee.ConnectionClosed
		if errors.Is(err, os.ErrDeadlineExceeded) {
			response.Outcome = referee.TimedOut
		}
		return false
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		response.Outcome = truncatedOutcome(err)
		return false
	}
	hash := backend.NewBodyHash()
	response.Bytes, err = io.Copy(hash, io.LimitReader(resp.Body, maxResponseBytes))
	response.Status = resp.StatusCode
	if err != nil {
		response.Outcome = truncatedOutcome(err)
		return false
	}
	switch resp.StatusCode {
	case http.StatusOK:
		response.Outcome, response.BodyHash = referee.Served, hash.Sum64()
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		response.Outcome, response.RetryAfter = referee.Rejected, retryAfter(resp.Header)
	default:
		response.Outcome = referee.Failed
	}
	return !resp.Close
}

// retryAfter parses Retry-After, a number of seconds that may have a fraction. It returns 0 if the header is missing or invalid.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// truncatedOutcome returns the outcome of a response that began but could not be read to its end because of err.
func truncatedOutcome(err error) referee.Outcome {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return referee.TimedOut
	}
	return referee.Failed
}

// write writes a request. With a WriteInterval it writes slowWriteParts parts with pauses between them.
func (c *clientConn) write(ctx context.Context, request Request, host string) error {
	text := request.text(host)
	if request.WriteInterval == 0 {
		_, err := io.WriteString(c, text)
		return err
	}
	for i := range slowWriteParts {
		part := text[len(text)*i/slowWriteParts : len(text)*(i+1)/slowWriteParts]
		if _, err := io.WriteString(c, part); err != nil {
			return err
		}
		if i < slowWriteParts-1 && !Sleep(ctx, request.WriteInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// Sleep waits for a duration. It returns false if the context ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
