package http

import (
	"errors"
	"net/http"
	"os"

	"ryeweir/internal/pool"
	"ryeweir/logic"
)

// This file derives two things from an error: the result of the request (a logic.Result) and the state of the connection (a
// pool.ReleaseOutcome).

// isTimeout reports whether an error means that a read or a write reached the deadline of its connection.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// failureResult returns the result of a request that was written completely and got no complete response.
func failureResult(err error) logic.Result {
	if isTimeout(err) && !errors.Is(err, errMalformedResponse) {
		return logic.TimedOut
	}
	return logic.Reset
}

// failureResult returns the result of a failed attempt. A response that was still arriving at the attempt's deadline counts as
// timed out, not as damaged.
func (x *exchange) failureResult(err error) logic.Result {
	if isTimeout(err) && x.Clock.Now() >= x.attempt.Deadline() {
		return logic.TimedOut
	}
	return failureResult(err)
}

// releaseAfterFailure returns in which state an exchange without a complete response head leaves its connection.
func (x *exchange) releaseAfterFailure(err error) pool.ReleaseOutcome {
	if x.outcome.Result == logic.TimedOut && x.withinLatencyObjective() {
		return pool.Abandoned
	}
	return x.state.releaseAfterFailure(x.conn, err)
}

// releaseAfterFailure distinguishes a crossed close from other failures. If a reused connection ended before any byte of the
// response arrived, the endpoint was closing it while the request was in transit.
func (s *connState) releaseAfterFailure(conn *pool.Conn, err error) pool.ReleaseOutcome {
	ended := !isTimeout(err) && !errors.Is(err, errMalformedResponse)
	if ended && !conn.FirstUse() && !s.anyRead() {
		return pool.ClosedByServer
	}
	return pool.Broken
}

// releaseAfterResponse returns in which state a response leaves its connection. err is the error of reading its body.
func releaseAfterResponse(response *http.Response, err error) pool.ReleaseOutcome {
	switch {
	case err != nil:
		return pool.Broken
	case response.Close:
		return pool.MustClose
	}
	return pool.Reusable
}
