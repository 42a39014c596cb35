package socket

import (
	"math"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ShapeListener bounds the kernel's receive buffers of the connections that l accepts from now on, to the given number of bytes before the
// kernel's own doubling. It does nothing if l has no socket, and ignores what the system refuses.
//
// The options are set on the listening socket, which passes them on before the handshake. A receive buffer that shrinks after it is smaller
// than the window that the client was told, and what the client sends beyond it is lost and sent again 0.2 s later at the earliest.
func ShapeListener(l net.Listener, bufferBytes int) {
	listener, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := listener.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { shapeReceiver(int(fd), bufferBytes) })
	}
}

// Dialer returns a dialer whose connections have buffers of the given number of bytes for each direction, before the kernel's own doubling. It
// sends no keep-alive probes.
func Dialer(bufferBytes int) *net.Dialer {
	control := func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			shapeReceiver(int(fd), bufferBytes)
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, bufferBytes)
		})
	}
	return &net.Dialer{KeepAlive: -1, Control: control}
}

// Listener is a net.Listener that bounds what the kernel holds of unsent bytes for each connection that it accepts, to UnsentBytes before a
// doubling such as the kernel's own. 0 sets no bound.
//
// A send buffer of a fixed size would also hold back what the client's own buffer still takes, and which reaches the client even after the end
// of the process.
type Listener struct {
	net.Listener
	UnsentBytes int
}

// Accept returns the next connection. It ignores a bound that can't be set: there is no socket, or the client has already closed it.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil && l.UnsentBytes > 0 {
		BoundUnsent(c, l.UnsentBytes)
	}
	return c, err
}

// BoundUnsent sets the bound of a Listener for one connection. It ignores a connection without a socket, and one that is closed.
func BoundUnsent(c net.Conn, bytes int) {
	withDescriptor(c, func(descriptor int) {
		unix.SetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, min(2*bytes, math.MaxInt32))
	})
}

// shapeReceiver sets the options of a socket that is not connected yet. Segments are at most half as long as a buffer: over loopback they would
// otherwise be up to 64 KiB long, and a sender waits until a whole one fits.
func shapeReceiver(descriptor, bufferBytes int) {
	unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_RCVBUF, bufferBytes)
	unix.SetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_MAXSEG, bufferBytes/2)
}
