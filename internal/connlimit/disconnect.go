package connlimit

import (
	"context"
	"errors"
	"net"
	"syscall"

	"ryeweir/internal/socket"
)

// OnDisconnect has notify called, at most once, when the client of a request that has been read completely disconnects: also when
// bytes followed the request, where net/http does not look. It returns true, and arranges nothing, when the client has
// disconnected already. The watch ends with the request.
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

// closedByPeer reports whether the peer has closed a connection on which nothing waits to be read; false for a connection without
// a socket, where that can't be seen.
func closedByPeer(c net.Conn) bool {
	n, err := socket.Peek(c)
	return n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
}
