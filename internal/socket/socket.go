// Package socket provides socket operations that net.Conn does not offer: looking at unread data without consuming it, setting the sizes
// of the kernel's buffers, and writing for as long as the peer takes what is written.
package socket

import (
	"errors"
	"net"
	"syscall"
)

// Peek looks at up to one unread byte of a connection without consuming it. It does not block and ignores the read deadline. It
// returns 1 if data is waiting, 0 without an error if the peer has closed the connection, and the error syscall.EAGAIN if nothing
// is waiting. If c wraps another connection and has a method NetConn that returns it, Peek uses the wrapped one. If there is no
// socket, it returns errors.ErrUnsupported.
func Peek(c net.Conn) (n int, err error) {
	var peekErr error
	err = withDescriptor(c, func(descriptor int) {
		var one [1]byte
		n, _, peekErr = syscall.Recvfrom(descriptor, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n, errors.Join(err, peekErr)
}

// InputArrived reports whether a read from a connection would return at once: bytes are waiting, the peer has closed the connection, or the
// connection has failed. It returns false if that can't be detected: there is no socket, and the connection has no method OpenWithoutInput.
func InputArrived(c net.Conn) bool {
	if network, ok := unwrap(c).(interface{ OpenWithoutInput() bool }); ok {
		return !network.OpenWithoutInput()
	}
	_, err := Peek(c)
	return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, errors.ErrUnsupported)
}

// withDescriptor calls f with the descriptor of the connection's socket, which stays open during the call. It returns
// errors.ErrUnsupported if there is no socket.
func withDescriptor(c net.Conn, f func(descriptor int)) error {
	raw, err := rawConn(c)
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}

// rawConn returns access to the socket of a connection, or errors.ErrUnsupported if there is none.
func rawConn(c net.Conn) (syscall.RawConn, error) {
	systemConn, ok := unwrap(c).(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return systemConn.SyscallConn()
}

// unwrap returns the innermost connection that c wraps, or c itself if it wraps none.
func unwrap(c net.Conn) net.Conn {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = wrapper.NetConn()
	}
}

// SetBufferSizes sets the sizes of the kernel's receive and send buffer to the given number of bytes each. 0 leaves them unchanged,
// and a connection without such buffers is ignored.
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
