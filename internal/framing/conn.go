package framing

import (
	"context"
	"net"
	"sync/atomic"
)

// Listener is a listener whose connections are watched.
type Listener struct{ net.Listener }

// Accept returns the next connection, a *Conn.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c}, nil
}

// Conn is a watched connection. It is read by one goroutine at a time, as net/http does.
type Conn struct {
	net.Conn
	scanner scanner

	// What the scanner has found, for handlers: net/http may read on while they run.
	ambiguous      atomic.Bool
	desynchronized atomic.Bool
}

// Read reads, and follows the messages in what came.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.scanner.scan(p[:n])
	if c.scanner.ambiguous {
		c.ambiguous.Store(true)
	}
	if c.scanner.desynchronized {
		c.desynchronized.Store(true)
	}
	return n, err
}

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side, where the underlying connection can. net/http ends an answer so when the client still sends, so
// that it can read the answer.
func (c *Conn) CloseWrite() error {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return halfCloser.CloseWrite()
	}
	return nil
}

type contextKey struct{}

// ConnContext is for an http.Server's ConnContext: the functions below find the watched connection of a request by its context,
// also below others that wrap it. They report false, and do nothing, for a context without one.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	for {
		switch inner := c.(type) {
		case *Conn:
			return context.WithValue(ctx, contextKey{}, inner)
		case interface{ NetConn() net.Conn }:
			c = inner.NetConn()
		default:
			return ctx
		}
	}
}

func fromContext(ctx context.Context) (*Conn, bool) {
	c, ok := ctx.Value(contextKey{}).(*Conn)
	return c, ok
}

// Ambiguous reports whether the connection of a request brought a message with both a length and a transfer encoding, or with a
// transfer encoding in HTTP/1.0, which knows none. Nothing on that connection can be trusted.
func Ambiguous(ctx context.Context) bool {
	c, ok := fromContext(ctx)
	return ok && c.ambiguous.Load()
}

// Desynchronized reports whether the messages of the connection could not be followed any more: nothing after the present request
// may be read from it.
func Desynchronized(ctx context.Context) bool {
	c, ok := fromContext(ctx)
	return ok && c.desynchronized.Load()
}

// ResetOnClose makes the close of the connection of a request a reset, where its network knows that. A client of HTTP/1.0 can't
// tell otherwise that an answer broke off.
func ResetOnClose(ctx context.Context) {
	c, ok := fromContext(ctx)
	if !ok {
		return
	}
	if lingerer, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		lingerer.SetLinger(0) // when this fails the close is a plain one
	}
}
