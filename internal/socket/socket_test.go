package socket

import (
	"errors"
	"io"
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// sizedConn records the buffer sizes that are set on it.
type sizedConn struct {
	net.Conn
	read, write int
	err         error
}

func (s *sizedConn) SetReadBuffer(n int) error  { s.read = n; return s.err }
func (s *sizedConn) SetWriteBuffer(n int) error { s.write = n; return s.err }

// Buffer sizes must be set in both directions if there is a socket, and the error must say that a connection is closed.
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
	}
	a, b := net.Pipe() // has no socket
	defer a.Close()
	defer b.Close()
	if err := SetBufferSizes(a, 8192); err != nil {
		t.Error(err)
	}
}

// Failure: the kernel's buffers grew to megabytes for each connection, and buffers that were made smaller after the handshake held up what the
// client had sent for 0.2 s and more. The sizes must hold from the handshake on, in both directions and on both sides, and a body many times
// as long as the buffers must pass at once.
func TestShapedConnectionsAreBoundedAndDoNotStall(t *testing.T) {
	const requested, bodyBytes = 8 << 10, 256 << 10
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ShapeListener(l, requested)
	client, err := Dialer(requested).DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	for _, c := range []net.Conn{client, accepted} {
		withDescriptor(c, func(descriptor int) {
			for _, option := range []int{unix.SO_RCVBUF, unix.SO_SNDBUF} {
				if size, err := unix.GetsockoptInt(descriptor, unix.SOL_SOCKET, option); err != nil || size > 2*requested {
					t.Errorf("option %d is %d bytes, %v", option, size, err)
				}
			}
			if size, err := unix.GetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_MAXSEG); err != nil || size > requested/2 {
				t.Errorf("segments of %d bytes, %v", size, err)
			}
		})
	}
	go func() {
		body := make([]byte, bodyBytes)
		io.ReadFull(accepted, body)
		accepted.Write(body)
	}()
	go client.Write(make([]byte, bodyBytes))
	if _, err := io.ReadFull(client, make([]byte, bodyBytes)); err != nil {
		t.Error(err)
	}
}
