package socket

import (
	"errors"
	"net"
	"testing"
)

// sizedConn records the sizes that are set.
type sizedConn struct {
	net.Conn
	read, write int
	err         error
}

func (s *sizedConn) SetReadBuffer(n int) error  { s.read = n; return s.err }
func (s *sizedConn) SetWriteBuffer(n int) error { s.write = n; return s.err }

// singleListener accepts the same connection each time.
type singleListener struct {
	net.Listener
	conn net.Conn
}

func (l singleListener) Accept() (net.Conn, error) { return l.conn, nil }

// Sizes are set both ways, where there is a socket. A connection whose sizes can't be set is accepted all the same: it has been
// closed by its client.
func TestBufferSizesAreSetWhereThereIsASocket(t *testing.T) {
	closed := errors.New("closed")
	for _, c := range []struct {
		bytes int
		err   error
	}{{8192, nil}, {0, nil}, {8192, closed}} {
		s := &sizedConn{err: c.err}
		if err := SetBufferSizes(s, c.bytes); !errors.Is(err, c.err) || s.read != c.bytes || s.write != c.bytes {
			t.Errorf("%d bytes: %d and %d, %v", c.bytes, s.read, s.write, err)
		}
		if got, err := (Listener{Listener: singleListener{conn: s}, BufferBytes: c.bytes}).Accept(); got != s || err != nil {
			t.Errorf("accepted %v, %v", got, err)
		}
	}
	a, b := net.Pipe() // which has no socket
	defer a.Close()
	defer b.Close()
	if err := SetBufferSizes(a, 8192); err != nil {
		t.Error(err)
	}
}
