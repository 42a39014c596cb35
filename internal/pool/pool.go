// Package pool holds the connections to servers.
package pool

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"ryeweir/internal/core"
	"ryeweir/logic"
)

// Pool holds the connections to servers. Each carries one request at a time, and all that happens to it is
// done here and in the attempt that holds it: http.Transport would send a request again by itself when a kept
// connection turns out dead, which counts as an attempt that nobody decided on.
type Pool struct {
	dial      Dial
	wrap      func(net.Conn) any
	connectIn time.Duration // a connection that is not up by then has failed
	idleFor   time.Duration // connections idle for longer are not used again
	most      int           // connections of all backends
	perNode   int           // of one, so that a silent one does not use up all

	mu      sync.Mutex
	closed  bool
	nodes   map[string]*Node
	open    map[*Conn]struct{}
	opening int // dials under way
}

// Node is one life of a server under one address: a restart or another address makes a new one.
type Node struct {
	id, addr string
	started  time.Duration
	ready    bool // may get new requests; the pool's lock guards what follows
	conns    int  // open, or being opened
	idle     []*Conn
}

// Conn is a connection to a server.
type Conn struct {
	net.Conn
	State     any // of the protocol on it, as wrap made it
	node      *Node
	idleSince time.Time
}

// Dial opens a connection, as net.Dialer's DialContext does. A connection of a network that is not the machine's says by a
// method Quiet whether it is open with nothing to read, since there is no socket to ask.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Reasons why there is no connection.
var (
	ErrNotReady = errors.New("the backend takes no new requests")
	ErrNoRoom   = errors.New("too many connections are open")
	ErrLate     = errors.New("it came too late, or the pool is closing")
)

// nearIdle is the part of the backends' idle limit after which a connection is not used again: a request that
// crosses the backend's close is lost with it.
const nearIdle = 0.8

// New returns a pool of at most so many connections. wrap makes the state of a protocol on a new one.
func New(connectTimeout, idle time.Duration, most int, dial Dial, wrap func(net.Conn) any) *Pool {
	if dial == nil {
		dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	return &Pool{
		dial:      dial,
		wrap:      wrap,
		connectIn: connectTimeout,
		idleFor:   time.Duration(float64(idle) * nearIdle),
		most:      most,
		perNode:   max(1, most/4),
		nodes:     map[string]*Node{},
		open:      map[*Conn]struct{}{},
	}
}

// Update takes a list or a change of it and returns how many servers are listed and how many of them are ready.
func (p *Pool) Update(full bool, members []core.Member) (listed, ready int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	named := make(map[string]bool, len(members))
	for _, m := range members {
		named[m.ID] = true
		b := p.nodes[m.ID]
		if b != nil && (m.State == logic.Gone || b.addr != m.Addr || b.started != m.Started) {
			p.retire(b)
			b = nil
		}
		if m.State == logic.Gone {
			continue
		}
		if b == nil {
			b = &Node{id: m.ID, addr: m.Addr, started: m.Started}
			p.nodes[m.ID] = b
		}
		if b.ready = m.State == logic.Ready; !b.ready {
			p.closeIdle(b)
		}
	}
	for id, b := range p.nodes {
		if full && !named[id] {
			p.retire(b)
		} else if b.ready {
			ready++
		}
	}
	return len(p.nodes), ready
}

// retire ends a backend's life: nothing new goes to it, and its connections close as they come free.
func (p *Pool) retire(b *Node) {
	b.ready = false
	p.closeIdle(b)
	delete(p.nodes, b.id)
}

func (p *Pool) closeIdle(b *Node) {
	for _, c := range b.idle {
		p.drop(c)
	}
	b.idle = nil
}

// drop closes a connection that is in no idle list.
func (p *Pool) drop(c *Conn) {
	c.Close()
	delete(p.open, c)
	c.node.conns--
}

// Node returns the present life of a server, or nil.
func (p *Pool) Node(id string) *Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.nodes[id]
}

// Counts are the connections at a time.
type Counts struct{ Open, Idle, Opening int }

// Counts returns how many there are at present.
func (p *Pool) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := Counts{Open: len(p.open), Opening: p.opening}
	for _, n := range p.nodes {
		c.Idle += len(n.idle)
	}
	return c
}

// TakesNew reports whether the backend may still get something new in this life.
func (p *Pool) TakesNew(b *Node) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return b != nil && b.ready
}

// Get returns a connection to the server: the one used last, or else a new one that is up by then.
func (p *Pool) Get(ctx context.Context, b *Node, until time.Time) (*Conn, error) {
	c, err := p.reuse(b)
	if c != nil || err != nil {
		return c, err
	}
	patient, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	limited, cancel := context.WithTimeout(patient, p.connectIn)
	defer cancel()
	raw, err := p.dial(limited, "tcp", b.addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	if err == nil && p.closed {
		raw.Close()
		err = ErrLate
	}
	if err != nil {
		b.conns--
		if patient.Err() != nil {
			err = ErrLate
		}
		return nil, fmt.Errorf("connecting to %s: %w", b.id, err)
	}
	c = &Conn{Conn: raw, State: p.wrap(raw), node: b}
	p.open[c] = struct{}{}
	return c, nil
}

// reuse returns an idle connection. Without one it makes room for a new one and returns nil.
func (p *Pool) reuse(b *Node) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b == nil || !b.ready {
		return nil, ErrNotReady
	}
	for len(b.idle) > 0 {
		last := len(b.idle) - 1
		c := b.idle[last]
		b.idle = b.idle[:last]
		if time.Since(c.idleSince) < p.idleFor && c.quiet() {
			return c, nil
		}
		p.drop(c)
	}
	if p.closed || b.conns >= p.perNode || len(p.open)+p.opening >= p.most && !p.evict() {
		return nil, ErrNoRoom
	}
	b.conns++
	p.opening++
	return nil, nil
}

// evict closes the connection that has stood idle for longest.
func (p *Pool) evict() bool {
	var oldest *Node
	for _, b := range p.nodes {
		if len(b.idle) > 0 && (oldest == nil || b.idle[0].idleSince.Before(oldest.idle[0].idleSince)) {
			oldest = b
		}
	}
	if oldest == nil {
		return false
	}
	p.drop(oldest.idle[0])
	oldest.idle = oldest.idle[1:]
	return true
}

// Put gives a connection back; it is kept when its last exchange left it in order.
func (p *Pool) Put(c *Conn, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !keep || p.closed || !c.node.ready {
		p.drop(c)
		return
	}
	c.idleSince = time.Now()
	c.node.idle = append(c.node.idle, c)
}

// Sweep closes idle connections that will not be used again.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.nodes {
		kept := b.idle[:0]
		for _, c := range b.idle {
			if time.Since(c.idleSince) < p.idleFor && c.quiet() {
				kept = append(kept, c)
			} else {
				p.drop(c)
			}
		}
		clear(b.idle[len(kept):])
		b.idle = kept
	}
}

// Close closes all connections, also those in use.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, b := range p.nodes {
		p.closeIdle(b)
	}
	for c := range p.open {
		c.Close()
	}
}

// quiet reports whether an idle connection is open and nothing has come on it. A backend that died or closed
// it shows here, before a request is risked on it.
func (c *Conn) quiet() bool {
	if q, ok := c.Conn.(interface{ Quiet() bool }); ok {
		return q.Quiet()
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	err = raw.Control(func(fd uintptr) { // which, unlike Read, does not mind a deadline that has passed
		var one [1]byte
		_, _, peeked = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && (peeked == syscall.EAGAIN || peeked == syscall.EWOULDBLOCK)
}
