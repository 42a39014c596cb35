package connlimit

import (
	"errors"
	"os"

	"ryeweir/internal/event"
	"ryeweir/internal/framing"
)

// recordReadError derives the close reason from an error of the server's read, and whether the client has disconnected. It does
// not replace a reason that is already known. The lock must be held.
//
// A timeout gives a reason only if the server's own deadline has passed. When a handler returns, net/http aborts its background
// read with a deadline in the past, and the connection then stays open or closes after the answer. If that counted as a timeout,
// such a close would be logged as read_timeout, and the engineer on call would search for slow clients.
func (c *Conn) recordReadError(err error) {
	switch {
	case err == nil:
	case errors.Is(err, framing.ErrHeadRefused):
		c.closeReason = event.Malformed
	case !timedOut(err):
		c.disconnected = true
		if c.closeReason == event.None {
			c.closeReason = event.ClientClosed
		}
	case c.closeReason != event.None:
	case isAbortDeadline(c.readDeadline):
	case c.activity == idle:
		c.closeReason = event.IdleTimeout
	case c.activity == readingRequest:
		c.closeReason = event.ReadTimeout
	}
}

// timedOut reports whether a read failed because its deadline passed.
func timedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
