package link

import (
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// maxQueuedDatagrams is how many datagrams wait at a socket; more are lost, as a full socket buffer loses them.
const maxQueuedDatagrams = 1024

// PacketConn sends and receives datagrams of a Network.
type PacketConn struct {
	network      *Network
	addr         string
	mu           sync.Mutex
	changed      chan struct{}
	shapers      map[string]*shaper // to each host
	queue        []datagram         // by the time that they arrive
	lost         int
	closed       bool
	readDeadline time.Time
}

type datagram struct {
	data []byte
	from string
	due  time.Time
}

// ListenPacket opens a socket for datagrams; port 0 is any that is free.
func (n *Network) ListenPacket(addr string) (*PacketConn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	at, err := n.address(addr, func(a string) bool { return n.packets[a] != nil })
	if err != nil {
		return nil, err
	}
	p := &PacketConn{network: n, addr: at, changed: make(chan struct{}), shapers: map[string]*shaper{}}
	n.packets[at] = p
	return p, nil
}

func (p *PacketConn) broadcast() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// WriteTo sends a datagram. What is lost is not told.
func (p *PacketConn) WriteTo(b []byte, to net.Addr) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return 0, net.ErrClosed
	}
	n := p.network
	n.mu.Lock()
	cond, peer := n.paths[path{host(p.addr), host(to.String())}], n.packets[to.String()]
	shape := p.shapers[host(to.String())]
	if shape == nil {
		n.connsMade++
		shape = &shaper{rng: n.newRand(n.connsMade, 3)}
		p.shapers[host(to.String())] = shape
	}
	n.mu.Unlock()
	due, arrives := shape.datagramArrival(time.Now(), len(b), cond)
	if peer == nil || !arrives {
		return len(b), nil
	}
	d := datagram{append([]byte(nil), b...), p.addr, due}
	if peer == p {
		peer.enqueue(d)
		return len(b), nil
	}
	peer.mu.Lock()
	defer peer.mu.Unlock()
	peer.enqueue(d)
	return len(b), nil
}

// enqueue lets a datagram wait until it arrives. The lock is held.
func (p *PacketConn) enqueue(d datagram) {
	if len(p.queue) >= maxQueuedDatagrams || p.closed {
		p.lost++
		return
	}
	i, _ := slices.BinarySearchFunc(p.queue, d, func(x, y datagram) int {
		if x.due.After(y.due) {
			return 1
		}
		return -1
	})
	p.queue = slices.Insert(p.queue, i, d)
	p.broadcast()
}

// ReadFrom waits for a datagram. What does not fit into b is lost.
func (p *PacketConn) ReadFrom(b []byte) (int, net.Addr, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		now := time.Now()
		switch {
		case p.closed:
			return 0, nil, net.ErrClosed
		case !p.readDeadline.IsZero() && !now.Before(p.readDeadline):
			return 0, nil, os.ErrDeadlineExceeded
		case len(p.queue) > 0 && !p.queue[0].due.After(now):
			d := p.queue[0]
			p.queue = p.queue[1:]
			return copy(b, d.data), Addr(d.from), nil
		}
		var next time.Time
		if len(p.queue) > 0 {
			next = p.queue[0].due
		}
		waitForChange(&p.mu, p.changed, p.readDeadline, next)
	}
}

// Lost is how many datagrams found the socket full.
func (p *PacketConn) Lost() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost
}

// Close closes the socket.
func (p *PacketConn) Close() error {
	p.network.mu.Lock()
	if p.network.packets[p.addr] == p {
		delete(p.network.packets, p.addr)
	}
	p.network.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return syscall.EBADF
	}
	p.closed = true
	p.broadcast()
	return nil
}

// LocalAddr is the socket's address.
func (p *PacketConn) LocalAddr() net.Addr { return Addr(p.addr) }

// SetDeadline sets the time by which reads end; writes never wait.
func (p *PacketConn) SetDeadline(t time.Time) error { return p.SetReadDeadline(t) }

// SetReadDeadline sets the time by which reads end.
func (p *PacketConn) SetReadDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readDeadline = t
	p.broadcast()
	return nil
}

// SetWriteDeadline does nothing: writes never wait.
func (*PacketConn) SetWriteDeadline(time.Time) error { return nil }
