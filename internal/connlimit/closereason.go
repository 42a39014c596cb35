package connlimit

import (
	"errors"
	"os"

	"ryeweir/internal/event"
)

// recordReadError derives from a failed read why the connection is about to close, and whether its client has disconnected. A
// reason that is known already stays. The lock is held.
func (c *Conn) recordReadError(err error) {
	switch {
	case err == nil:
	case !timedOut(err):
		c.disconnected = true
		if c.closeReason == event.None {
			c.closeReason = event.ClientClosed
		}
	case c.closeReason != event.None:
	case c.activity == idle:
		c.closeReason = event.IdleTimeout
	case c.activity == readingRequest:
		c.closeReason = event.ReadTimeout
	}
}

// timedOut reports whether a read failed by its deadline.
func timedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
