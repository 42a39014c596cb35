package httpmsg

import (
	"errors"
	"io"
)

// ErrBodyTooLarge means that a body is longer than MaxBodyBytes. Its text is sent to the client.
var ErrBodyTooLarge = errors.New("the body is over 32 MiB")

// ErrBodyTooLong means that a client sent more of a body than its Content-Length tells. Its text is sent to the client.
var ErrBodyTooLong = errors.New("the body is longer than its Content-Length")

// LimitBody returns a reader of a body that may be longer than MaxBodyBytes. It returns at most MaxBodyBytes, and fails with
// ErrBodyTooLarge if the body goes on after them.
//
// Unlike io.LimitReader it returns io.EOF only at the end of the body itself, so the beginning of a longer body is never taken for a
// complete one.
func LimitBody(body io.Reader) io.Reader { return &limitedBody{source: body, remaining: MaxBodyBytes} }

type limitedBody struct {
	source    io.Reader
	remaining int64 // bytes that may still be returned
}

// Read implements io.Reader. At the limit it reads one more byte, which tells a body that ends there from a longer one.
func (l *limitedBody) Read(p []byte) (int, error) {
	if int64(len(p)) > l.remaining+1 {
		p = p[:l.remaining+1]
	}
	n, err := l.source.Read(p)
	if int64(n) > l.remaining {
		n, l.remaining = int(l.remaining), 0
		return n, ErrBodyTooLarge
	}
	l.remaining -= int64(n)
	return n, err
}
