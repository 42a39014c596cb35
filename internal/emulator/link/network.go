package link

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"syscall"
)

// Network is an in-memory network. Hosts are identified by name, and each direction between two hosts has its own conditions. It is
// safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	seed      uint64
	connsMade uint64 // connections, and pairs of a PacketConn and a host it sends to; each has a random stream of its own
	lastPort  int    // assigned last
	listeners map[string]*Listener
	packets   map[string]*PacketConn
	paths     map[path]Conditions
	conns     map[*Conn]struct{}
	changed   chan struct{} // closed when conditions change, and replaced
}

// path is one direction between two hosts.
type path struct{ from, to string }

// firstPort is the port below those that a Network assigns.
const firstPort = 40000

// NewNetwork returns a network without faults.
func NewNetwork(seed uint64) *Network {
	return &Network{
		seed:      seed,
		lastPort:  firstPort,
		listeners: map[string]*Listener{},
		packets:   map[string]*PacketConn{},
		paths:     map[path]Conditions{},
		conns:     map[*Conn]struct{}{},
		changed:   make(chan struct{}),
	}
}

// Addr is an address of a Network: a host name and a port.
type Addr string

// Network implements net.Addr.
func (Addr) Network() string { return "memory" }

// String implements net.Addr.
func (a Addr) String() string { return string(a) }

// host returns the host of an address, or the whole address if it has no port.
func host(addr string) string {
	name, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return name
}

// Set changes the conditions of the direction from one host to another, including those of open connections.
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

// SetBoth changes the conditions of both directions between two hosts.
func (n *Network) SetBoth(a, b string, c Conditions) {
	n.Set(a, b, c)
	n.Set(b, a, c)
}

// Kill emulates the sudden end of a host's processes: its connections are reset, and its listeners and sockets are closed.
func (n *Network) Kill(name string) {
	n.forEachConn(name, func(c *Conn) { c.Reset() })
	n.mu.Lock()
	var sockets []io.Closer
	for addr, l := range n.listeners {
		if host(addr) == name {
			sockets = append(sockets, l)
		}
	}
	for addr, p := range n.packets {
		if host(addr) == name {
			sockets = append(sockets, p)
		}
	}
	n.mu.Unlock()
	for _, c := range sockets {
		c.Close()
	}
}

// ResetBetween resets all connections between two hosts.
func (n *Network) ResetBetween(a, b string) {
	n.forEachConn(a, func(c *Conn) {
		if host(c.remote) == b {
			c.Reset()
		}
	})
}

// forEachConn calls f for each end of a connection at a host. It does not hold n.mu during the calls.
func (n *Network) forEachConn(name string, f func(*Conn)) {
	n.mu.Lock()
	var conns []*Conn
	for c := range n.conns {
		if host(c.local) == name {
			conns = append(conns, c)
		}
	}
	n.mu.Unlock()
	for _, c := range conns {
		f(c)
	}
}

// Open returns the number of open connection ends at a host.
func (n *Network) Open(name string) (open int) {
	n.forEachConn(name, func(*Conn) { open++ })
	return open
}

// address returns addr. If its port is 0 or empty, that is replaced by a free one. n.mu is held.
func (n *Network) address(addr string, taken func(string) bool) (string, error) {
	name, port, err := net.SplitHostPort(addr)
	if err != nil {
		return "", fmt.Errorf("listening on the in-memory network: %w", err)
	}
	for port == "0" || port == "" {
		n.lastPort++
		if at := net.JoinHostPort(name, strconv.Itoa(n.lastPort)); !taken(at) {
			return at, nil
		}
	}
	if taken(addr) {
		return "", fmt.Errorf("listening on the in-memory network at %s: %w", addr, syscall.EADDRINUSE)
	}
	return addr, nil
}

// Listen returns a listener at an address; port 0 stands for any free port. It returns an error that wraps syscall.EADDRINUSE if the
// address is in use.
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

// newRand returns the random number generator of one direction of the connection with that number.
func (n *Network) newRand(number, direction uint64) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprint(h, number, direction)
	return rand.New(rand.NewPCG(n.seed, h.Sum64()))
}
