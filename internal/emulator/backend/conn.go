package backend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"ryeweir/internal/emulator/node"
)

const (
	maxRequestBytes = 32 << 20
	acceptRetryWait = 10 * time.Millisecond // after a failed accept, for example for lack of file descriptors
)

// accept accepts and serves the connections of one incarnation until its listener is closed.
func (b *Backend) accept(l net.Listener) {
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryWait)
			continue
		}
		c := &conn{Conn: raw, backend: b, idleSince: time.Now()}
		if !b.admit(c, l) {
			c.reset()
			continue
		}
		b.goroutines.Go(c.serve)
	}
}

// admit offers a new connection to the node. It returns false if the connection must be reset.
func (b *Backend) admit(c *conn, l net.Listener) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	decision := node.ConnRefused
	if b.listener == l && len(b.conns) < b.cfg.MaxConns {
		decision = b.node.Connect(b.now())
	}
	if decision == node.ConnRefused {
		return false
	}
	c.node, c.tableFull = b.node, decision == node.ConnTableFull
	b.conns[c] = struct{}{}
	return true
}

// conn is a connection from an agent.
type conn struct {
	net.Conn
	backend   *Backend
	node      *node.Node // the incarnation that accepted it
	tableFull bool       // accepted beyond the node's ConnCap: its requests are rejected
	idleSince time.Time  // zero while a request is open; guarded by the backend's lock
}

// reset closes the connection with a TCP reset.
func (c *conn) reset() {
	switch raw := c.Conn.(type) {
	case interface{ Reset() }:
		raw.Reset()
	case *net.TCPConn:
		raw.SetLinger(0)
	}
	c.Close()
}

func (c *conn) setIdle(idle bool) {
	c.backend.mu.Lock()
	defer c.backend.mu.Unlock()
	c.idleSince = time.Time{}
	if idle {
		c.idleSince = time.Now()
	}
}

// request is a request that has been read completely.
type request struct {
	*http.Request
	firstByteAt time.Duration
}

// reader reads ahead on a connection: while a request is open, it waits for the first byte of the next one or for the end of the
// connection. It reads the next request only after the open one has been answered.
type reader struct {
	conn     *conn
	next     chan struct{} // receives when the connection is ready for another request
	requests chan request
	ended    chan struct{} // closed when the connection has ended
	done     sync.WaitGroup
}

func newReader(c *conn) *reader {
	r := &reader{conn: c, next: make(chan struct{}), requests: make(chan request), ended: make(chan struct{})}
	r.done.Go(r.run)
	return r
}

func (r *reader) run() {
	defer close(r.ended)
	in := bufio.NewReader(r.conn)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		<-r.next
		firstByteAt := r.conn.backend.now()
		r.conn.setIdle(false)
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(req.Body, maxRequestBytes)); err != nil {
			return
		}
		r.requests <- request{req, firstByteAt}
	}
}

// close waits until the reader has ended, and drops requests that it still delivers. The connection must be closed before.
func (r *reader) close() {
	for {
		select {
		case r.next <- struct{}{}:
		case <-r.requests:
		case <-r.ended:
			r.done.Wait()
			return
		}
	}
}

// serve answers requests one at a time until the connection ends.
func (c *conn) serve() {
	r := newReader(c)
	defer func() {
		c.Close()
		r.close()
		c.unregister()
	}()
	for {
		c.setIdle(true)
		select {
		case r.next <- struct{}{}:
		case <-r.ended:
			return
		}
		select {
		case req := <-r.requests:
			if !c.handle(req, r.ended) {
				return
			}
		case <-r.ended:
			return
		}
	}
}

// unregister removes the connection from the backend, and reports its end to the node if the node counts it.
func (c *conn) unregister() {
	c.backend.mu.Lock()
	defer c.backend.mu.Unlock()
	delete(c.backend.conns, c)
	if c.node == c.backend.node && !c.tableFull {
		c.node.Disconnect(c.backend.now())
	}
}
