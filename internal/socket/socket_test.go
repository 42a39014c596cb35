package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

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
	client, accepted := shapedPair(t, requested)
	for name, bounds := range map[string]struct {
		conn          net.Conn
		level, option int
		most          int
	}{
		"receive buffer of a client":     {accepted, unix.SOL_SOCKET, unix.SO_RCVBUF, 2 * requested},
		"unsent bytes to a client":       {accepted, unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, 2 * requested},
		"segments to a client":           {accepted, unix.IPPROTO_TCP, unix.TCP_MAXSEG, requested / 2},
		"receive buffer of an endpoint":  {client, unix.SOL_SOCKET, unix.SO_RCVBUF, 2 * requested},
		"send buffer of an endpoint":     {client, unix.SOL_SOCKET, unix.SO_SNDBUF, 2 * requested},
		"segments of an endpoint's side": {client, unix.IPPROTO_TCP, unix.TCP_MAXSEG, requested / 2},
	} {
		withDescriptor(bounds.conn, func(descriptor int) {
			if size, err := unix.GetsockoptInt(descriptor, bounds.level, bounds.option); err != nil || size > bounds.most || size <= 0 {
				t.Errorf("%s: %d bytes, at most %d are allowed, %v", name, size, bounds.most, err)
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

// Failure: the send buffer of a client that reads slowly grew to 4 MB. What a client does not read must stay within the bound.
func TestUnreadAnswerStaysWithinTheBound(t *testing.T) {
	const requested, bodyBytes = 8 << 10, 4 << 20
	client, accepted := shapedPair(t, requested)
	client.(*net.TCPConn).SetReadBuffer(requested)
	accepted.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	n, err := accepted.Write(make([]byte, bodyBytes))
	if !errors.Is(err, os.ErrDeadlineExceeded) || n > 16*requested {
		t.Errorf("the kernel took %d bytes that the client does not read, %v", n, err)
	}
}

// shapedPair returns a connection between a dialer and a listener that are shaped.
func shapedPair(t *testing.T, bufferBytes int) (client, accepted net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ShapeListener(l, bufferBytes)
	if client, err = Dialer(bufferBytes).DialContext(t.Context(), "tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	if accepted, err = (Listener{l, bufferBytes}).Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return client, accepted
}

// The time for which bytes have waited in the kernel must be known, also once they have been read, and so must the time of what was sent.
func TestReadTimesTellHowLongBytesHaveWaited(t *testing.T) {
	const wait, slack = 300 * time.Millisecond, 50 * time.Millisecond
	client, accepted := shapedPair(t, 16<<10)
	io.WriteString(accepted, "a")
	io.WriteString(client, "a")
	time.Sleep(wait)
	accepted.Read(make([]byte, 1))
	if times := ReadTimes(accepted); times.SinceReceived < wait-slack || times.SinceSent < wait-slack {
		t.Errorf("%+v for bytes that waited for %v", times, wait)
	}
	a, b := net.Pipe() // has no socket
	defer a.Close()
	defer b.Close()
	if times := ReadTimes(a); times != (Times{}) {
		t.Errorf("%+v without a socket", times)
	}
}
