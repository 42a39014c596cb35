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
	maxInterimResponses = 8
	maxHeadBytes        = 16 << 10                 // of a response, with interim ones
	maxResponseBytes    = 4 * httpmsg.MaxBodyBytes // of its body as it is sent, with the framing of its chunks
	responseStart       = "HTTP/1."
)

// errMalformedResponse says that what came can't be a response to the request. The request may have run.
var errMalformedResponse = errors.New("malformed response")

// errInterimResponses says that too many interim responses came.
var errInterimResponses = errors.New("too many interim responses")

// readHead reads the head of the final response. It fails as soon as what came can't become one.
func (s *connState) readHead() (*http.Response, error) {
	if err := checkStart(s.reader); err != nil {
		return nil, err
	}
	response, err := s.readFinalResponse()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedResponse, err)
	}
	s.limited.N = maxResponseBytes
	return response, nil
}

// checkStart waits for the first bytes of a response and fails at the first byte that none begins with.
//
// Failure: a damaged link delivers noise without the end of a line, for which the parser would wait until the deadline. It shows as
// timeouts in place of resets. The guard holds because each byte is checked as it arrives.
func checkStart(reader *bufio.Reader) error {
	for n := 1; n <= len(responseStart); n++ {
		got, err := reader.Peek(n)
		if err != nil {
			return err
		}
		if got[n-1] != responseStart[n-1] {
			return errMalformedResponse
		}
	}
	return nil
}

// readFinalResponse reads response heads until one is not interim.
func (s *connState) readFinalResponse() (*http.Response, error) {
	for range maxInterimResponses {
		response, err := http.ReadResponse(s.reader, nil)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
	return nil, errInterimResponses
}

// discardErrorBody reads past the body of a response that is no 200, and sets what the status says of the request. The connection is
// closed if the body is longer than is worth reading.
func (x *exchange) discardErrorBody(response *http.Response) pool.ReleaseOutcome {
	x.outcome.Result = logic.Failed
	if saysNotProcessed(response) {
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

// saysNotProcessed reports whether the endpoint says that the request did not run. Only a 503 or 504 can say so.
func saysNotProcessed(response *http.Response) bool {
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return response.Header.Get("X-Not-Processed") == "1"
	}
	return false
}
