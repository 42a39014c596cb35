// Package socket reaches what net.Conn does not offer of a socket: a look at what waits to be read, and the sizes of the kernel's
// buffers.
package socket

import (
	"errors"
	"net"
	"syscall"
)

// Peek looks at what waits to be read on a connection, one byte at the most, and does not wait: 0 without an error says that the far
// side has closed, EAGAIN that it is quiet. Unlike Read it does not mind a deadline that has passed. What has no socket is an error.
func Peek(c net.Conn) (n int, err error) {
	for inner, ok := c.(interface{ NetConn() net.Conn }); ok; inner, ok = c.(interface{ NetConn() net.Conn }) {
		c = inner.NetConn()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var peeked error
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, peeked = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n, errors.Join(err, peeked)
}

// SetBufferSizes asks the kernel for buffers of so many bytes each way, where the connection has some; 0 leaves them as they are.
// What they hold is outside any Budget.
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

// Listener is a listener whose connections have sized sockets.
type Listener struct {
	net.Listener
	BufferBytes int // each way; 0: as the kernel has them
}

// Accept takes a connection. One whose socket can't be sized has gone already, and is left to fail at its first use.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		SetBufferSizes(c, l.BufferBytes)
	}
	return c, err
}
