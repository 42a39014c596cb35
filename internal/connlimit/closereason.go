package connlimit

import (
	"errors"
	"os"

	"ryeweir/internal/event"
)

// recordReadError derives from a read of the server's that failed why the connection is about to close, and whether its client has
// disconnected. A reason that is known already stays. The lock must be held.
//
// A timeout counts only when the server's own deadline passed. net/http ends its background read by a deadline in the past when a
// handler returns, and the connection may stay open or close after the answer: taken for a timeout, such a close would be logged as
// read_timeout, and the engineer on call would look for slow clients.
func (c *Conn) recordReadError(err error) {
	switch {
	case err == nil:
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

// timedOut reports whether a read failed by its deadline.
func timedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
