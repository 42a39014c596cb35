package socket

import (
	"errors"
	"net"
	"testing"
)

// sizedConn records the buffer sizes that are set on it.
type sizedConn struct {
	net.Conn
	read, write int
	err         error
}

func (s *sizedConn) SetReadBuffer(n int) error  { s.read = n; return s.err }
func (s *sizedConn) SetWriteBuffer(n int) error { s.write = n; return s.err }

// singleListener accepts the same connection every time.
type singleListener struct {
	net.Listener
	conn net.Conn
}

func (l singleListener) Accept() (net.Conn, error) { return l.conn, nil }

// Buffer sizes must be set in both directions if there is a socket. A connection whose sizes cannot be set must be accepted all the
// same, because its client has closed it.
func TestBufferSizesAreSetWhereThereIsASocket(t *testing.T) {
	closed := errors.New("closed")
	for _, c := range []struct {
		bytes int
		err   error
	}{{8192, nil}, {0, nil}, {8192, closed}} {
		s := &sizedConn{err: c.err}
		if err := SetBufferSizes(s, c.bytes); !errors.Is(err, c.err) || s.read != c.bytes || s.write != c.bytes {
			t.Errorf("%d bytes: receive buffer %d, send buffer %d, error %v", c.bytes, s.read, s.write, err)
		}
		if got, err := (Listener{Listener: singleListener{conn: s}, BufferBytes: c.bytes}).Accept(); got != s || err != nil {
			t.Errorf("accepted %v, error %v", got, err)
		}
	}
	a, b := net.Pipe() // has no socket
	defer a.Close()
	defer b.Close()
	if err := SetBufferSizes(a, 8192); err != nil {
		t.Error(err)
	}
}
