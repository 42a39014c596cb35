// Package socket reaches what net.Conn does not offer of a socket: a look at what waits to be read, and the sizes of the kernel's
// buffers.
package socket

import (
	"errors"
	"net"
	"syscall"
)

// Peek looks at what waits to be read on a connection, one byte at the most, and does not wait: 0 without an error says that the
// peer has closed, syscall.EAGAIN that nothing waits. Unlike Read it ignores a deadline. It looks below connections that wrap
// another and have a method NetConn that returns it. For one without a socket it returns errors.ErrUnsupported.
func Peek(c net.Conn) (n int, err error) {
	systemConn, ok := innermost(c).(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := systemConn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n, errors.Join(err, peekErr)
}

// innermost returns the connection that the others wrap.
func innermost(c net.Conn) net.Conn {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = wrapper.NetConn()
	}
}

// SetBufferSizes sets the kernel's buffers to this many bytes each way, where the connection has some; 0 leaves them as they are.
func SetBufferSizes(c net.Conn, bytes int) error {
	sized, ok := c.(interface {
		SetReadBuffer(int) error
		SetWriteBuffer(int) error
	})
	if !ok || bytes == 0 {
		return nil
	}
	return errors.Join(sized.SetReadBuffer(bytes), sized.SetWriteBuffer(bytes))
}

// Listener is a listener that sets the buffer sizes of its connections.
type Listener struct {
	net.Listener
	BufferBytes int // each way; 0 leaves the kernel's default
}

// Accept returns the next connection. One whose buffers can't be sized has been closed by its client already, and fails at its first
// use.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		SetBufferSizes(c, l.BufferBytes)
	}
	return c, err
}
