package socket

import (
	"errors"
	"net"
	"testing"
)

// sized is a connection that notes what it is asked for.
type sized struct {
	net.Conn
	read, write int
	err         error
}

func (s *sized) SetReadBuffer(n int) error  { s.read = n; return s.err }
func (s *sized) SetWriteBuffer(n int) error { s.write = n; return s.err }

type one struct {
	net.Listener
	conn net.Conn
}

func (o one) Accept() (net.Conn, error) { return o.conn, nil }

func TestSizeSocket(t *testing.T) {
	gone := errors.New("gone")
	for _, c := range []struct {
		bytes int
		err   error
	}{{8192, nil}, {0, nil}, {8192, gone}} {
		s := &sized{err: c.err}
		if err := SetBufferSizes(s, c.bytes); !errors.Is(err, c.err) || s.read != c.bytes || s.write != c.bytes {
			t.Errorf("%d bytes: %d and %d, %v", c.bytes, s.read, s.write, err)
		}
		if got, err := (Listener{Listener: one{conn: s}, BufferBytes: c.bytes}).Accept(); got != s || err != nil {
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
