package framing

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"ryeweir/internal/bodybuffer"
)

// ErrHeadRefused means that a message was not read on because its head has more fields than maxFields, or because the memory for a long head
// is not there. It is the client's fault, or an effect of load, and no error of the connection.
var ErrHeadRefused = errors.New("the head of the message has too many fields")

// Listener is a listener whose connections are of type *Conn.
type Listener struct {
	net.Listener
	Budget *bodybuffer.Budget // for the memory that long heads take once they are parsed; nil for no limit
}

// Accept returns the next connection, a *Conn.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, budget: l.Budget}, nil
}

// Conn is a connection whose message boundaries are followed. As with net/http, only one goroutine reads it at a time.
type Conn struct {
	net.Conn
	scanner scanner
	refused bool // a head was refused; no more is read
	budget  *bodybuffer.Budget

	// Results of the scanner, for handlers. They are atomic because net/http may read further while a handler runs.
	ambiguous      atomic.Bool
	desynchronized atomic.Bool
	bodyContinues  atomic.Bool

	mu       sync.Mutex // guards the fields below
	reserved int        // bytes of the budget for the current head
	closed   bool
}

// Read reads from the underlying connection and passes the bytes to the scanner. After a head that may not be read on, it returns
// ErrHeadRefused.
func (c *Conn) Read(p []byte) (int, error) {
	if c.refused {
		return 0, ErrHeadRefused
	}
	n, err := c.Conn.Read(p)
	readable := c.scanner.scan(p[:n])
	if c.scanner.ambiguous {
		c.ambiguous.Store(true)
	}
	if c.scanner.desynchronized {
		c.desynchronized.Store(true)
	}
	if c.scanner.bodyContinues {
		c.bodyContinues.Store(true)
	}
	c.refused = readable < n || !c.reserveHead(c.scanner.headCost())
	if c.refused && readable == 0 {
		return 0, ErrHeadRefused
	}
	return readable, err
}

// reserveHead makes the reservation for the current head as large as its cost, and reports whether the budget has that much. A head is held
// until the next one begins.
func (c *Conn) reserveHead(cost int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.budget == nil || c.closed {
		return true
	}
	switch more := cost - c.reserved; {
	case more < 0:
		c.budget.Release(-more)
	case more > 0 && !c.budget.TryReserve(more):
		return false
	}
	c.reserved = cost
	return true
}

// Close returns the reservation of the current head to the budget and closes the underlying connection.
func (c *Conn) Close() error {
	c.reserveHead(0)
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	return c.Conn.Close()
}

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side if the underlying connection supports that. net/http calls it after an answer while the
// client is still sending, so that the client can read the answer.
func (c *Conn) CloseWrite() error {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return halfCloser.CloseWrite()
	}
	return nil
}

type contextKey struct{}

// ConnContext is the ConnContext hook of the http.Server. It lets the functions below find the Conn of a request by the request's
// context, also if other connections wrap the Conn. For a context without a Conn they report false and do nothing.
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

// Ambiguous reports whether the connection of a request has carried a message with both a length and a transfer encoding, or an
// HTTP/1.0 message with a transfer encoding, which HTTP/1.0 does not define. Nothing that arrives on such a connection can be
// trusted.
func Ambiguous(ctx context.Context) bool {
	c, ok := fromContext(ctx)
	return ok && c.ambiguous.Load()
}

// Desynchronized reports whether the scanner has lost track of the message boundaries on the connection of a request. No message
// after the current request may then be read from that connection.
func Desynchronized(ctx context.Context) bool {
	c, ok := fromContext(ctx)
	return ok && c.desynchronized.Load()
}

// ResetOnClose makes the close of a request's connection send a reset, if the network supports that, whoever closes it: the process,
// also when it is killed. An HTTP/1.0 client could not otherwise see that the answer was cut short.
func ResetOnClose(ctx context.Context) { setLinger(ctx, 0) }

// EndOnClose undoes ResetOnClose: the close of a request's connection ends it regularly, after all that was written.
func EndOnClose(ctx context.Context) { setLinger(ctx, lingerDefault) }

// lingerDefault selects the kernel's default for SO_LINGER: a close sends in the background what was written, and then the end.
const lingerDefault = -1

// setLinger sets SO_LINGER on the connection of a request. If this fails, the connection is already broken.
func setLinger(ctx context.Context, seconds int) {
	c, ok := fromContext(ctx)
	if !ok {
		return
	}
	if lingerer, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		lingerer.SetLinger(seconds)
	}
}
