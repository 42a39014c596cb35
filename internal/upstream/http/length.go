package http

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"ryeweir/internal/socket"
)

// errBodyTooLong means that an endpoint sent more than the Content-Length of its response tells. The body that it made is then longer than what
// has been read of it.
var errBodyTooLong = errors.New("the body is longer than its Content-Length")

// checkLength makes the body of a response with a Content-Length fail in place of its end if the endpoint sent more. A chunked body marks its end
// itself and a body without a length ends with the connection, so that nothing behind them can belong to them.
func (s *connState) checkLength(response *http.Response) {
	if response.ContentLength >= 0 {
		response.Body = &exactBody{ReadCloser: response.Body, state: s, remaining: response.ContentLength}
	}
}

// exactBody is a body whose length its head has told.
//
// Failure: a head tells a smaller length than the body has, and a part of the body is served as the whole. What arrived with the body's last byte is
// therefore examined before that byte is passed on. It is no reason to fail if it begins another response: a second copy of a sound one.
// Anything else may be the rest of the body.
type exactBody struct {
	io.ReadCloser
	state     *connState
	remaining int64 // bytes
}

// Read implements io.Reader. The bytes of the last read are not returned if more than the body has arrived.
func (b *exactBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.remaining -= int64(n)
	ended := b.remaining == 0 && (err == nil || err == io.EOF)
	if ended && b.state.bodyContinues() {
		return 0, errBodyTooLong
	}
	return n, err
}

// bodyContinues reports whether bytes have arrived behind a response that do not begin another one.
func (s *connState) bodyContinues() bool {
	if s.reader.Buffered() == 0 && socket.InputArrived(s.deadline.conn) {
		s.reader.Peek(1) // does not block; an error means that nothing follows
	}
	following, _ := s.reader.Peek(s.reader.Buffered())
	return len(following) > 0 && !bytes.HasPrefix(following, []byte(responsePrefix))
}
