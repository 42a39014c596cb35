package link

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Conn is one end of a connection of a Network. It behaves as a TCP connection does, and is safe for concurrent use.
type Conn struct {
	network       *Network
	local, remote string
	in, out       *pipe
	once          sync.Once
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.in.read(b)
	return n, c.wrap("read", err)
}

// Write implements net.Conn. It blocks while maxInFlight bytes are in flight.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.out.write(b)
	return n, c.wrap("write", err)
}

func (c *Conn) wrap(op string, err error) error {
	if err == nil || err == io.EOF {
		return err
	}
	return &net.OpError{Op: op, Net: "memory", Source: Addr(c.local), Addr: Addr(c.remote), Err: err}
}

// Close closes the connection. As in TCP, the peer sees a reset instead of the end of the stream if some bytes that it sent were not
// read.
func (c *Conn) Close() error {
	err := error(net.ErrClosed)
	c.once.Do(func() {
		err = nil
		if c.in.closeReader() {
			c.out.reset(false)
		} else {
			c.out.closeWriter()
		}
		c.in.failWrites(syscall.EPIPE)
		c.unregister()
	})
	return err
}

// CloseWrite ends the stream to the peer, which can still send.
func (c *Conn) CloseWrite() error {
	c.out.closeWriter()
	return nil
}

// Reset resets the connection at both ends at once, without the delay of the path.
func (c *Conn) Reset() {
	c.out.reset(true)
	c.in.reset(true)
	c.in.failWrites(syscall.ECONNRESET)
	c.out.failWrites(syscall.ECONNRESET)
	c.unregister()
}

func (c *Conn) unregister() {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.conns, c)
}

// OpenWithoutInput reports whether the connection is open and neither a byte nor its end has arrived that was not read yet.
func (c *Conn) OpenWithoutInput() bool { return c.in.nothingArrived() }

// LocalAddr returns the address of this end.
func (c *Conn) LocalAddr() net.Addr { return Addr(c.local) }

// RemoteAddr returns the address of the other end.
func (c *Conn) RemoteAddr() net.Addr { return Addr(c.remote) }

// SetDeadline sets the deadlines of both reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	c.in.setDeadline(&c.in.readDeadline, t)
	c.out.setDeadline(&c.out.writeDeadline, t)
	return nil
}

// SetReadDeadline sets the time at which reads fail.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(&c.in.readDeadline, t)
	return nil
}

// SetWriteDeadline sets the time at which writes fail.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.out.setDeadline(&c.out.writeDeadline, t)
	return nil
}
