package pool

import (
	"errors"
	"net"
	"syscall"

	"ryeweir/internal/socket"
)

// Conn is an open connection. The caller that got it from Get owns it until Put.
type Conn struct {
	net.Conn
	State any // protocol state, created by Config.NewState
	slot  *Slot
}

// FirstUse reports whether the current request is the first one on the connection.
func (c *Conn) FirstUse() bool { return c.slot.requests <= 1 }

// openWithoutInput reports whether an idle connection is still open and has nothing to read.
//
// Failure: the endpoint has closed the connection, or has sent bytes that answer no request. A request written to this connection
// would be lost or get the wrong answer. The check covers everything that has reached this machine when it is made; idleLimit and
// Settings.Quarantine cover what is still in transit.
func (c *Conn) openWithoutInput() bool {
	if network, ok := c.Conn.(interface{ OpenWithoutInput() bool }); ok {
		return network.OpenWithoutInput()
	}
	_, err := socket.Peek(c.Conn)
	return errors.Is(err, syscall.EAGAIN)
}
