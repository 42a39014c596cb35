package http

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"ryeweir/internal/httpmsg"
)

// chunkedConn is a connection on which a 200 response in chunks arrives. Only its reads work.
type chunkedConn struct {
	net.Conn
	in io.Reader
}

func newChunkedConn(chunk string, chunks int) *chunkedConn {
	return &chunkedConn{in: io.MultiReader(
		bytes.NewReader([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")),
		&repeatingReader{[]byte(chunk), 0, len(chunk) * chunks},
		bytes.NewReader([]byte("0\r\n\r\n")),
	)}
}

func (c *chunkedConn) Read(p []byte) (int, error)      { return c.in.Read(p) }
func (c *chunkedConn) SetReadDeadline(time.Time) error { return nil }

// repeatingReader repeats a text until it has returned a number of bytes.
type repeatingReader struct {
	text      []byte
	offset    int
	remaining int
}

func (r *repeatingReader) Read(p []byte) (n int, err error) {
	for n < len(p) && r.remaining > 0 {
		copied := copy(p[n:min(len(p), n+r.remaining)], r.text[r.offset:])
		n, r.remaining, r.offset = n+copied, r.remaining-copied, (r.offset+copied)%len(r.text)
	}
	if n == 0 {
		err = io.EOF
	}
	return n, err
}

// Guards against a body within the limit that is cut off because its chunks are small: their framing counted as if it were part of it.
func TestBodyInSmallChunksIsReadWhole(t *testing.T) {
	t.Parallel()
	const (
		chunk  = "1;extension=ab\r\nx\r\n"
		length = 7 << 20 // with its framing four times httpmsg.MaxBodyBytes
	)
	state := NewConnState(newChunkedConn(chunk, length)).(*connState)
	state.startExchange(func(time.Time) time.Time { return time.Time{} }, func() {})
	response, err := state.readHead()
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, httpmsg.LimitBody(response.Body)); err != nil || n != length {
		t.Errorf("%d of %d bytes, error %v", n, length, err)
	}
}
