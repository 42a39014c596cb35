package connlimit

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"ryeweir/internal/socket"
)

// OnDisconnect arranges that notify is called, at most once, when the client disconnects. It is for a request that has been read
// completely. Unlike net/http, it also detects a disconnect after bytes that followed the request. If the client has already
// disconnected, it returns true and notify is not called. The detection ends with the request.
func OnDisconnect(ctx context.Context, notify func()) (disconnected bool) {
	c, ok := fromContext(ctx)
	if !ok {
		return false
	}
	return c.watchDisconnect(notify)
}

func (c *Conn) watchDisconnect(notify func()) (disconnected bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	ahead := &c.readAhead
	if ahead.err != nil || len(ahead.buffered) == 0 && closedByPeer(c.Conn) {
		c.disconnected = true
		return true
	}
	ahead.onDisconnect = notify
	if ahead.backgroundReadEnded && !ahead.serverReading {
		c.startReadAhead()
	}
	return false
}

// settleInterval is the time between two looks at what a client has sent behind its request.
const settleInterval = time.Millisecond

// SettleInput waits until what the client has sent behind its request by now has been read ahead, but not longer than limit, and reports whether
// the client has disconnected: its end arrives behind all that it sent. It returns at once if nothing is unread. OnDisconnect must have been called.
func SettleInput(ctx context.Context, limit time.Duration) (disconnected bool) {
	c, ok := fromContext(ctx)
	if !ok {
		return false
	}
	for end := time.Now().Add(limit); unread(c.Conn) && time.Now().Before(end); {
		time.Sleep(settleInterval)
	}
	if closedByPeer(c.Conn) {
		c.clientLeft()
	}
	return ClientDisconnected(ctx)
}

// closedByPeer reports whether the peer has closed or reset a connection on which no bytes wait to be read. It returns false if c
// has no socket, because that can't be detected then.
func closedByPeer(c net.Conn) bool {
	n, err := socket.Peek(c)
	return n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
}
