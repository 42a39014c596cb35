package flow

import (
	"errors"
	"net"
)

// SizeSocket asks the kernel for buffers of so many bytes each way, where the connection has some; 0 leaves them as they are.
// What they hold is outside any Budget.
func SizeSocket(c net.Conn, bytes int) error {
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
	Bytes int // each way; 0: as the kernel has them
}

// Accept takes a connection. One whose socket can't be sized has gone already, and is left to fail at its first use.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		SizeSocket(c, l.Bytes)
	}
	return c, err
}
