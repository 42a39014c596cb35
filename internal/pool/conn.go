package pool

import (
	"errors"
	"net"
	"syscall"

	"ryeweir/internal/socket"
)

// Conn is an open connection. Whoever got it from Get owns it until Put.
type Conn struct {
	net.Conn
	State any // of the protocol on it, from Config.NewState
	slot  *Slot
}

// FirstUse reports whether the present request is the first on the connection.
func (c *Conn) FirstUse() bool { return c.slot.requests <= 1 }

// quiet reports whether an idle connection is open with nothing to read.
//
// Failure: the endpoint closed the connection, or sent an answer that no request asked for. A request on it would be lost or get
// the wrong answer. The guard holds for all that has arrived at this machine by the time of the look; for what is still on its
// way see idleLimit and Settings.Quarantine.
func (c *Conn) quiet() bool {
	if network, ok := c.Conn.(interface{ OpenWithoutInput() bool }); ok {
		return network.OpenWithoutInput()
	}
	_, err := socket.Peek(c.Conn)
	return errors.Is(err, syscall.EAGAIN)
}
