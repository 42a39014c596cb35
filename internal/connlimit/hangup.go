package connlimit

import (
	"context"
	"sync"

	"ryeweir/internal/event"
	"ryeweir/internal/socket"
)

// OnHangup arranges that notify is called when the client of a request ends its connection, while nobody reads the rest of the request: a long
// body that waits for its attempt. What is unread stays unread. The caller must call stop before anything is read again, and at the end of the
// request; stop waits until the detection has ended, and may be called more than once. If the client has ended its connection already, disconnected
// is true and notify is not called.
func OnHangup(ctx context.Context, notify func()) (stop func(), disconnected bool) {
	c, ok := fromContext(ctx)
	if !ok {
		return func() {}, false
	}
	if socket.HungUp(c.Conn) {
		c.clientLeft()
		return func() {}, true
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if socket.AwaitHangup(c.Conn) == nil {
			c.clientLeft()
			notify()
		}
	}()
	return sync.OnceFunc(func() {
		c.Conn.SetReadDeadline(aLongTimeAgo)
		<-ended
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		if !c.closePending {
			c.Conn.SetReadDeadline(c.readDeadline)
		}
	}), false
}

// clientLeft records that the client has disconnected.
func (c *Conn) clientLeft() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.disconnected = true
	if c.closeReason == event.None {
		c.closeReason = event.ClientClosed
	}
}
