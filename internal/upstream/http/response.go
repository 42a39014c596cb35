package http

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"

	"ryeweir/internal/httpmsg"
	"ryeweir/internal/pool"
	"ryeweir/logic"
)

const (
	maxInterimResponses = 8        // to one request, without a final response
	maxHeadBytes        = 16 << 10 // of a response, including interim ones
	// maxResponseBytes limits a body on the wire. It is more than httpmsg.MaxBodyBytes take in chunks of one byte, each with the longest
	// framing that net/http accepts (20 bytes).
	maxResponseBytes = 24 * httpmsg.MaxBodyBytes
	responsePrefix   = "HTTP/1."
)

// errMalformedResponse means that the received bytes are not a valid response. The request may have run.
var errMalformedResponse = errors.New("malformed response")

// errInterimResponses means that the first maxInterimResponses responses to a request were all interim ones.
var errInterimResponses = errors.New("too many interim responses")

// readHead reads the head of the final response. It fails as soon as the received bytes cannot become one. The body fails if it does not fit
// the length that the head tells.
//
// Interim responses (1xx) are passed over, whatever comes between them and the final one. An endpoint that has sent some owes its answer still: only
// the final response says that it needs no more of the request, and only from its first byte on is the endpoint in the middle of answering.
func (s *connState) readHead() (*http.Response, error) {
	for range maxInterimResponses {
		if err := checkPrefix(s.reader); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(s.reader, nil)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errMalformedResponse, err)
		}
		if response.StatusCode >= http.StatusOK {
			s.limited.N = maxResponseBytes
			s.checkLength(response)
			s.returnChunksEarly(response)
			return response, nil
		}
		s.deadline.awaitResponse(s.reader.Buffered() > 0)
	}
	return nil, fmt.Errorf("%w: %w", errMalformedResponse, errInterimResponses)
}

// checkPrefix waits for the first bytes of a response and fails at the first byte that differs from responsePrefix.
//
// Failure: a damaged link delivers noise without a line end, and the parser waits for one until the deadline. The attempt times out
// instead of failing with a reset. To prevent this, each byte is checked as it arrives.
func checkPrefix(reader *bufio.Reader) error {
	for n := 1; n <= len(responsePrefix); n++ {
		got, err := reader.Peek(n)
		if err != nil {
			return err
		}
		if got[n-1] != responsePrefix[n-1] {
			return errMalformedResponse
		}
	}
	return nil
}

// discardErrorBody discards the body of a response other than 200 and sets the result: Reset if reading the body fails or its length does not fit, otherwise
// Rejected if the response states that the request did not run (see notProcessed), otherwise Failed. The connection is closed if the
// body reaches httpmsg.MaxBufferedBytes, because reading the rest costs more than a new connection.
func (x *exchange) discardErrorBody(response *http.Response) pool.ReleaseOutcome {
	x.outcome.Result = logic.Failed
	if notProcessed(response) {
		x.outcome.Result = logic.Rejected
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, httpmsg.MaxBufferedBytes))
	if err != nil {
		x.outcome.Result = logic.Reset
	} else if n == httpmsg.MaxBufferedBytes {
		return pool.MustClose
	}
	return releaseAfterResponse(response, err)
}

// notProcessed reports whether the endpoint states that the request did not run. Only a 503 or 504 can state that.
func notProcessed(response *http.Response) bool {
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return response.Header.Get("X-Not-Processed") == "1"
	}
	return false
}
