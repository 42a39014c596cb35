package http

import (
	"errors"
	"net/http"

	"ryeweir/internal/connlimit"
	"ryeweir/internal/event"
	"ryeweir/internal/httpmsg"
	"ryeweir/internal/metrics"
)

// invalidError says why a request is answered with a plain 4xx and never forwarded.
type invalidError struct {
	status int
	text   string // of the answer
}

func (e invalidError) Error() string { return e.text }

var (
	errUnknownClass = invalidError{http.StatusNotFound, "unknown class"}
	// errTruncatedBody says that a request never came completely: it counts as never received.
	errTruncatedBody = invalidError{http.StatusBadRequest, "the body is not whole"}
)

// invalid returns the error of a request that is answered with 400.
func invalid(text string) error { return invalidError{http.StatusBadRequest, text} }

// bodyError is what a client gets for a body that could not be read.
func bodyError(err error) invalidError {
	if errors.Is(err, httpmsg.ErrBodyTooLarge) {
		return invalidError{http.StatusRequestEntityTooLarge, err.Error()}
	}
	return errTruncatedBody
}

// answerInvalid records and answers a request that is not valid. One that never came completely is not counted.
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

// writeInvalid answers a request that is not valid. It closes the connection, as what follows may be a part of that request.
func writeInvalid(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	if bad, ok := errors.AsType[invalidError](err); ok {
		status = bad.status
	}
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}
