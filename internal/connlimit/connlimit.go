// Package connlimit bounds how many connections a listener holds. When all places are taken it closes those that are of
// least use, so that nobody keeps the others out by connecting and saying nothing.
package connlimit

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"sync"
	"time"
)

// Listener is a listener that holds at most so many connections. When it is full it makes room by closing what has
// been without a request for longest: those who connect and say nothing, or ask once and stay, must not keep out the
// others.
type Listener struct {
	net.Listener
	most int

	mu     sync.Mutex
	room   *sync.Cond
	closed bool
	open   map[*Conn]struct{}
}

// Conn is a connection of a Listener, whose lock guards its state.
type Conn struct {
	net.Conn
	table   *Listener
	use     use
	served  bool      // has brought a request that was in order
	retired bool      // is about to close
	since   time.Time // when the use began or, while reading, when the latest bytes came
}

// use is what a connection is busy with.
type use int

const (
	unused  use = iota // no request has begun
	reading            // one has begun, but is not known to be in order
	inUse              // one that is in order is open: never closed
)

// New returns a listener on l that holds at most so many connections.
func New(l net.Listener, most int) *Listener {
	t := &Listener{Listener: l, most: most, open: map[*Conn]struct{}{}}
	t.room = sync.NewCond(&t.mu)
	return t
}

// Accept takes a connection, and makes room for it when all places are taken.
func (t *Listener) Accept() (net.Conn, error) {
	raw, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.makeRoom() {
		raw.Close()
		return nil, net.ErrClosed
	}
	c := &Conn{Conn: raw, table: t, since: time.Now()}
	t.open[c] = struct{}{}
	return c, nil
}

// crowdedPart of the places taken is many: then connections close with their answers, so that clients which keep theirs
// for good leave places to others, who could not open any more.
const crowdedPart = 0.4

// Crowded reports whether many of the places are taken.
func (t *Listener) Crowded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(len(t.open)) > crowdedPart*float64(t.most)
}

// makeRoom waits for a free place, or frees one; false says that the listener has closed.
func (t *Listener) makeRoom() bool {
	for len(t.open) >= t.most && !t.closed {
		c := t.leastUseful()
		if c == nil {
			t.room.Wait()
			continue
		}
		c.retired = true
		t.mu.Unlock()
		c.Close()
		runtime.Gosched() // its reader lets go of the descriptor only when it has run
		t.mu.Lock()
	}
	return !t.closed
}

// startTime is what a connection has for its first bytes, and between them, before it counts as one that brings none.
const startTime = 250 * time.Millisecond

// leastUseful is the connection to close first: one that has brought no request in order and nothing at all for a
// while, then one between requests, then any without a whole request; among like ones that on which nothing has
// happened for longest.
func (t *Listener) leastUseful() (least *Conn) {
	now := time.Now()
	rank := func(c *Conn) int {
		switch {
		case !c.served && now.Sub(c.since) > startTime:
			return 0
		case c.use == unused && c.served:
			return 1
		}
		return 2
	}
	for c := range t.open {
		if c.use == inUse {
			continue
		}
		if least == nil || rank(c) < rank(least) || rank(c) == rank(least) && c.since.Before(least.since) {
			least = c
		}
	}
	return least
}

// Len is the number of open connections.
func (t *Listener) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// CloseIdle closes the connections that have had no request open for so long.
func (t *Listener) CloseIdle(idle time.Duration) {
	t.mu.Lock()
	var old []*Conn
	for c := range t.open {
		if c.use == unused && time.Since(c.since) >= idle {
			old = append(old, c)
		}
	}
	t.mu.Unlock()
	for _, c := range old {
		if c.retire() {
			c.Close()
		}
	}
}

// retire lets nothing be read from a connection that is between requests. One on which a request has begun meanwhile goes on.
func (c *Conn) retire() bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.retired = c.use == unused
	return c.retired
}

// Close closes the listener, not the connections.
func (t *Listener) Close() error {
	t.mu.Lock()
	t.closed = true
	t.room.Broadcast()
	t.mu.Unlock()
	return t.Listener.Close()
}

// Read marks the connection as being read: net/http tells of a request only when its whole head is there.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.table.mu.Lock()
		defer c.table.mu.Unlock()
		if c.retired {
			return 0, net.ErrClosed // a request that is not read is one that its client may send again
		}
		if c.use != inUse {
			c.use, c.since = reading, time.Now()
		}
	}
	return n, err
}

// Close closes the connection and frees its place.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	delete(c.table.open, c)
	c.table.room.Signal()
	return err
}

// NetConn is the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// CloseWrite lets net/http end an answer so that a client which still sends can read it.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

func (c *Conn) now(use use) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.use, c.since = use, time.Now()
	c.served = c.served || use == inUse
	if use != inUse {
		c.table.room.Signal()
	}
}

// State is the http.Server's ConnState: net/http tells it what happens on a connection.
func State(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.now(reading)
	case http.StateIdle:
		c.now(unused)
	}
}

type connKey struct{}

// Context is the http.Server's ConnContext: it lets handlers find the connection of their request.
func Context(ctx context.Context, raw net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, raw)
}

// Hold marks the connection of a request as in use. It is given back when net/http has written the answer.
func Hold(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		c.now(inUse)
	}
}
