package http

import (
	"errors"
	"net/http"
	"os"

	"ryeweir/internal/pool"
	"ryeweir/logic"
)

// Two questions are answered here: what an error says of the request (a logic.Result), and what it says of the connection (a
// pool.ReleaseOutcome).

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// failureResult is the result of a request that was written completely and got no complete response.
func failureResult(err error) logic.Result {
	if isTimeout(err) && !errors.Is(err, errMalformedResponse) {
		return logic.TimedOut
	}
	return logic.Reset
}

// failureResult is that of an attempt: a response that was still arriving at the attempt's deadline timed out and is not damaged.
func (x *exchange) failureResult(err error) logic.Result {
	if isTimeout(err) && x.Clock.Now() >= x.attempt.Deadline() {
		return logic.TimedOut
	}
	return failureResult(err)
}

// releaseAfterFailure is how an exchange without a response leaves its connection.
func (x *exchange) releaseAfterFailure(err error) pool.ReleaseOutcome {
	if x.outcome.Result == logic.TimedOut && x.waitedBelowObjective() {
		return pool.Abandoned
	}
	return x.state.releaseAfterFailure(x.conn, err)
}

// releaseAfterFailure tells a crossed close from other failures: on a reused connection that ended before a byte came, the endpoint
// was closing it while the request was on its way.
func (s *connState) releaseAfterFailure(conn *pool.Conn, err error) pool.ReleaseOutcome {
	ended := !isTimeout(err) && !errors.Is(err, errMalformedResponse)
	if ended && !conn.FirstUse() && !s.anyRead() {
		return pool.ClosedByServer
	}
	return pool.Broken
}

// releaseAfterResponse is how a response leaves its connection. err is that of reading its body.
func releaseAfterResponse(response *http.Response, err error) pool.ReleaseOutcome {
	switch {
	case err != nil:
		return pool.Broken
	case response.Close:
		return pool.MustClose
	}
	return pool.Reusable
}
