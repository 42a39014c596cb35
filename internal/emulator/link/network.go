package link

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Network is a network in memory. Hosts are names; a path from one to another has conditions of its own.
type Network struct {
	mu        sync.Mutex
	seed      uint64
	connsMade uint64 // connections so far: each has random numbers of its own
	lastPort  int
	listeners map[string]*Listener
	packets   map[string]*PacketConn
	paths     map[path]Conditions
	conns     map[*Conn]struct{}
	changed   chan struct{} // closed when conditions change, and replaced
}

type path struct{ from, to string }

// NewNetwork returns a network without faults.
func NewNetwork(seed uint64) *Network {
	return &Network{seed: seed, lastPort: 40000, listeners: map[string]*Listener{}, packets: map[string]*PacketConn{},
		paths: map[path]Conditions{}, conns: map[*Conn]struct{}{}, changed: make(chan struct{})}
}

// Addr is an address of a Network.
type Addr string

// Network names the kind of network.
func (Addr) Network() string { return "memory" }

// String is the host and the port.
func (a Addr) String() string { return string(a) }

func host(addr string) string {
	h, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return h
}

// Set gives the direction from one host to another its conditions, also for connections that are open.
func (n *Network) Set(from, to string, c Conditions) {
	n.mu.Lock()
	n.paths[path{from, to}] = c
	var pipes []*pipe
	for conn := range n.conns {
		if host(conn.local) == from && host(conn.remote) == to {
			pipes = append(pipes, conn.out)
		}
	}
	close(n.changed)
	n.changed = make(chan struct{})
	n.mu.Unlock()
	for _, p := range pipes {
		p.setConditions(c)
	}
}

// SetBoth gives both directions between two hosts the same conditions.
func (n *Network) SetBoth(a, b string, c Conditions) {
	n.Set(a, b, c)
	n.Set(b, a, c)
}

// Kill is the sudden death of a host's processes: its connections are reset, and nothing listens there any more.
func (n *Network) Kill(name string) {
	n.forEachConn(name, func(c *Conn) { c.Reset() })
	n.mu.Lock()
	var gone []io.Closer
	for addr, l := range n.listeners {
		if host(addr) == name {
			gone = append(gone, l)
		}
	}
	for addr, p := range n.packets {
		if host(addr) == name {
			gone = append(gone, p)
		}
	}
	n.mu.Unlock()
	for _, c := range gone {
		c.Close()
	}
}

// ResetBetween breaks the connections that a has to b, and the other way round.
func (n *Network) ResetBetween(a, b string) {
	n.forEachConn(a, func(c *Conn) {
		if host(c.remote) == b {
			c.Reset()
		}
	})
}

// forEachConn calls f for the ends of connections at a host.
func (n *Network) forEachConn(name string, f func(*Conn)) {
	n.mu.Lock()
	var at []*Conn
	for c := range n.conns {
		if host(c.local) == name {
			at = append(at, c)
		}
	}
	n.mu.Unlock()
	for _, c := range at {
		f(c)
	}
}

// Open is how many ends of connections a host has.
func (n *Network) Open(name string) (open int) {
	n.forEachConn(name, func(*Conn) { open++ })
	return open
}

// backlog is how many connections may wait to be accepted.
const backlog = 512

// Listener accepts connections of a Network.
type Listener struct {
	network *Network
	addr    string
	queue   chan *Conn
	once    sync.Once
	done    chan struct{}
}

// address is addr with a port, where it asks for any. The lock is held.
func (n *Network) address(addr string, taken func(string) bool) (string, error) {
	h, p, err := net.SplitHostPort(addr)
	if err != nil {
		return "", fmt.Errorf("listening in memory: %w", err)
	}
	for p == "0" || p == "" {
		n.lastPort++
		if at := net.JoinHostPort(h, strconv.Itoa(n.lastPort)); !taken(at) {
			return at, nil
		}
	}
	if taken(addr) {
		return "", fmt.Errorf("listening in memory on %s: %w", addr, syscall.EADDRINUSE)
	}
	return addr, nil
}

// Listen listens at an address; port 0 is any that is free.
func (n *Network) Listen(addr string) (*Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	at, err := n.address(addr, func(a string) bool { return n.listeners[a] != nil })
	if err != nil {
		return nil, err
	}
	l := &Listener{network: n, addr: at, queue: make(chan *Conn, backlog), done: make(chan struct{})}
	n.listeners[at] = l
	return l, nil
}

// Accept waits for a connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case <-l.done:
		return nil, net.ErrClosed
	default:
	}
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close stops listening. What was not accepted is reset.
func (l *Listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		if l.network.listeners[l.addr] == l {
			delete(l.network.listeners, l.addr)
		}
		l.network.mu.Unlock()
		close(l.done)
		for {
			select {
			case c := <-l.queue:
				c.Reset()
			default:
				return
			}
		}
	})
	return nil
}

// Addr is where it listens.
func (l *Listener) Addr() net.Addr { return Addr(l.addr) }

// Dialer returns a DialContext for a host. A cut path says nothing: the dial waits for as long as it may.
func (n *Network) Dialer(from string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		c, err := n.dial(ctx, from, addr)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: "memory", Addr: Addr(addr), Err: err}
		}
		return c, nil
	}
}

var errBacklog = errors.New("too many connections wait to be accepted")

func (n *Network) dial(ctx context.Context, from, addr string) (*Conn, error) {
	if err := n.awaitTransit(ctx, from, host(addr)); err != nil {
		return nil, err
	}
	n.mu.Lock()
	l := n.listeners[addr]
	var here, there *Conn
	if l != nil {
		here, there = n.connect(from, addr)
	}
	n.mu.Unlock()
	err := error(syscall.ECONNREFUSED)
	if l != nil {
		select {
		case l.queue <- there:
			err = nil
		default:
			err = errBacklog
		}
	}
	if back := n.awaitTransit(ctx, host(addr), from); back != nil && err == nil {
		err = back
	}
	if err != nil && here != nil {
		here.Reset()
		return nil, err
	}
	return here, err
}

// awaitTransit waits for as long as a packet takes from one host to another; for ever on a cut path.
func (n *Network) awaitTransit(ctx context.Context, from, to string) error {
	for {
		n.mu.Lock()
		c, changed := n.paths[path{from, to}], n.changed
		n.mu.Unlock()
		if !c.Cut {
			if c.Delay == 0 {
				return ctx.Err()
			}
			t := time.NewTimer(c.Delay)
			defer t.Stop()
			select {
			case <-t.C:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// connect makes both ends of a connection. The lock is held.
func (n *Network) connect(from, addr string) (here, there *Conn) {
	n.connsMade++
	n.lastPort++
	local, to := net.JoinHostPort(from, strconv.Itoa(n.lastPort)), host(addr)
	forth := newPipe(n.newRand(n.connsMade, 1), n.paths[path{from, to}])
	back := newPipe(n.newRand(n.connsMade, 2), n.paths[path{to, from}])
	here = &Conn{network: n, local: local, remote: addr, in: back, out: forth}
	there = &Conn{network: n, local: addr, remote: local, in: forth, out: back}
	n.conns[here], n.conns[there] = struct{}{}, struct{}{}
	return here, there
}

func (n *Network) newRand(number, way uint64) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprint(h, number, way)
	return rand.New(rand.NewPCG(n.seed, h.Sum64()))
}

// Conn is one end of a connection in memory.
type Conn struct {
	network       *Network
	local, remote string
	in, out       *pipe
	once          sync.Once
}

// Read reads what has arrived.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.in.read(b)
	return n, c.wrap("read", err)
}

// Write sends b on its way.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.out.write(b)
	return n, c.wrap("write", err)
}

func (c *Conn) wrap(op string, err error) error {
	if err == nil || err == io.EOF {
		return err
	}
	return &net.OpError{Op: op, Net: "memory", Source: Addr(c.local), Addr: Addr(c.remote), Err: err}
}

// Close closes the connection. As in TCP, the other side sees a reset in place of an end where something it sent was
// not read.
func (c *Conn) Close() error {
	err := error(net.ErrClosed)
	c.once.Do(func() {
		err = nil
		if c.in.closeReader() {
			c.out.reset(false)
		} else {
			c.out.closeWriter()
		}
		c.in.failWrites(syscall.EPIPE)
		c.forget()
	})
	return err
}

// CloseWrite ends the sending.
func (c *Conn) CloseWrite() error {
	c.out.closeWriter()
	return nil
}

// Reset breaks the connection at once, for both sides.
func (c *Conn) Reset() {
	c.out.reset(true)
	c.in.reset(true)
	c.in.failWrites(syscall.ECONNRESET)
	c.out.failWrites(syscall.ECONNRESET)
	c.forget()
}

func (c *Conn) forget() {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.conns, c)
}

// Quiet reports whether the connection is open and nothing has come on it.
func (c *Conn) Quiet() bool { return c.in.nothingArrived() }

// LocalAddr is the address of this end.
func (c *Conn) LocalAddr() net.Addr { return Addr(c.local) }

// RemoteAddr is the address of the other end.
func (c *Conn) RemoteAddr() net.Addr { return Addr(c.remote) }

// SetDeadline sets both deadlines.
func (c *Conn) SetDeadline(t time.Time) error {
	c.in.setDeadline(&c.in.readDeadline, t)
	c.out.setDeadline(&c.out.writeDeadline, t)
	return nil
}

// SetReadDeadline sets the time by which reads end.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(&c.in.readDeadline, t)
	return nil
}

// SetWriteDeadline sets the time by which writes end.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.out.setDeadline(&c.out.writeDeadline, t)
	return nil
}
