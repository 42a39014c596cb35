package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ShapeListener bounds the kernel's buffers of the connections that l accepts from now on, to the given number of bytes for each direction,
// before the kernel's own doubling. It does nothing if l has no socket, and ignores what the system refuses.
//
// The options are set on the listening socket, which passes them on before the handshake. A receive buffer that shrinks after it is smaller
// than the window that the client was told, and what the client sends beyond it is lost and sent again 0.2 s later at the earliest.
func ShapeListener(l net.Listener, bufferBytes int) {
	if listener, ok := l.(syscall.Conn); ok {
		if raw, err := listener.SyscallConn(); err == nil {
			raw.Control(func(fd uintptr) { shape(int(fd), bufferBytes) })
		}
	}
}

// Dialer returns a dialer whose connections have buffers as ShapeListener describes. It sends no keep-alive probes.
func Dialer(bufferBytes int) *net.Dialer {
	control := func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { shape(int(fd), bufferBytes) })
	}
	return &net.Dialer{KeepAlive: -1, Control: control}
}

// shape sets the options of a socket that is not connected yet. Segments are at most half as long as a buffer: over loopback they would
// otherwise be up to 64 KiB long, and a sender waits until a whole one fits.
func shape(descriptor, bufferBytes int) {
	unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_RCVBUF, bufferBytes)
	unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_SNDBUF, bufferBytes)
	unix.SetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_MAXSEG, bufferBytes/2)
}
