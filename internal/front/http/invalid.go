package http

import (
	"errors"
	"net/http"

	"ryeweir/internal/connlimit"
	"ryeweir/internal/event"
	"ryeweir/internal/httpmsg"
	"ryeweir/internal/metrics"
)

// invalidError is the reason why a request is answered with a 4xx response and not forwarded.
type invalidError struct {
	status int
	text   string // the body of the response
}

func (e invalidError) Error() string { return e.text }

var (
	errUnknownClass = invalidError{http.StatusNotFound, "unknown class"}
	// errTruncatedBody means that the request was never received completely. Such a request is not counted as received.
	errTruncatedBody = invalidError{http.StatusBadRequest, "the body is not whole"}
)

// badRequest returns the error for a request that is answered with status 400.
func badRequest(text string) error { return invalidError{http.StatusBadRequest, text} }

// bodyError returns the error for a request whose body could not be read.
func bodyError(err error) invalidError {
	if errors.Is(err, httpmsg.ErrBodyTooLarge) {
		return invalidError{http.StatusRequestEntityTooLarge, err.Error()}
	}
	if errors.Is(err, httpmsg.ErrBodyTooLong) {
		return invalidError{http.StatusBadRequest, err.Error()}
	}
	return errTruncatedBody
}

// answerInvalid records and answers an invalid request. A request that was never received completely is left out of the metrics.
func (s *Server) answerInvalid(w http.ResponseWriter, r *http.Request, class int, err error) {
	reason := event.UploadTruncated
	if !errors.Is(err, errTruncatedBody) {
		s.Metrics.RequestAnswered(class, metrics.Failed)
		reason = event.Malformed
	}
	s.Events.Record(event.Event{
		Kind:       event.RequestAnswered,
		Reason:     reason,
		Request:    firstValue(r.Header, requestIDHeader),
		Connection: connlimit.ConnectionID(r.Context()),
		Detail:     err.Error(),
	})
	writeInvalid(w, err)
}

// writeInvalid answers an invalid request. It closes the connection, because the bytes that follow may belong to the same
// request.
func writeInvalid(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	if invalidErr, ok := errors.AsType[invalidError](err); ok {
		status = invalidErr.status
	}
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}
