package callers

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"ryeweir/internal/emulator/referee"
)

const (
	idleTimeout  = 1500 * time.Millisecond // shorter than that of agents, so that an agent's close rarely crosses a request
	maxIdleConns = 256
)

// Client sends requests to one address over a pool of connections. The client of net/http retries some requests automatically, which
// would hide requests that an agent loses. This one resends a request only in the case that the protocol allows: a reused connection
// closed without a response before the request was read there. It is safe for concurrent use.
type Client struct {
	Addr string
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	mu   sync.Mutex
	idle []*clientConn // longest idle first
}

// clientConn is a connection that is either idle or used by one request.
type clientConn struct {
	net.Conn
	in        *bufio.Reader
	idleSince time.Time
}

// Send sends a request and waits for its response until the context ends. forwarded reports whether the request has reached a node.
// Send calls it when a reused connection has closed without a response: a request that was forwarded had been read, so it is not
// resent.
func (c *Client) Send(ctx context.Context, request Request, forwarded func() bool) Response {
	for resent := false; ; resent = true {
		conn, reused, err := c.acquire(ctx, resent)
		if err != nil {
			return Response{Outcome: referee.NotSent}
		}
		response, reusable := conn.exchange(ctx, request, c.Addr)
		if reusable {
			c.release(conn)
		} else {
			conn.Close()
		}
		closeCrossed := response.Outcome == referee.ConnectionClosed || response.Outcome == referee.NotSent
		if !closeCrossed || !reused || resent || forwarded() || ctx.Err() != nil {
			return response
		}
	}
}

// acquire returns an idle connection, or a new one if there is none or if fresh is set.
func (c *Client) acquire(ctx context.Context, fresh bool) (conn *clientConn, reused bool, err error) {
	if !fresh {
		if conn := c.takeIdle(); conn != nil {
			return conn, true, nil
		}
	}
	raw, err := c.Dial(ctx, "tcp", c.Addr)
	if err != nil {
		return nil, false, err
	}
	return &clientConn{Conn: raw, in: bufio.NewReader(raw)}, false, nil
}

// takeIdle returns the most recently used idle connection, or nil if none has been idle for less than idleTimeout. It closes those
// that have been idle for longer.
func (c *Client) takeIdle() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		last := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(last.idleSince) < idleTimeout {
			return last
		}
		last.Close()
	}
	return nil
}

func (c *Client) release(conn *clientConn) {
	conn.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 && (len(c.idle) >= maxIdleConns || time.Since(c.idle[0].idleSince) >= idleTimeout) {
		c.idle[0].Close()
		c.idle = c.idle[1:]
	}
	c.idle = append(c.idle, conn)
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}
