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

// PacketConn sends and receives datagrams of a Network. It is a net.PacketConn.
type PacketConn struct {
	network *Network
	addr    string

	mu           sync.Mutex
	changed      chan struct{}      // closed at each change, and replaced
	shapers      map[string]*shaper // by the host that is sent to
	queue        []datagram         // those that arrive first come first
	lost         int                // found the queue full
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

// broadcast wakes all readers. p.mu is held.
func (p *PacketConn) broadcast() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// WriteTo sends a datagram. A lost one is no error.
func (p *PacketConn) WriteTo(b []byte, to net.Addr) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return 0, net.ErrClosed
	}
	n := p.network
	n.mu.Lock()
	conditions, peer := n.paths[path{host(p.addr), host(to.String())}], n.packets[to.String()]
	toPeer := p.shaperTo(host(to.String()))
	n.mu.Unlock()
	due, arrives := toPeer.datagramArrival(time.Now(), len(b), conditions)
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

// shaperTo returns the shaper towards a host. Both locks are held.
func (p *PacketConn) shaperTo(host string) *shaper {
	s := p.shapers[host]
	if s == nil {
		p.network.connsMade++
		s = &shaper{rng: p.network.newRand(p.network.connsMade, 3)}
		p.shapers[host] = s
	}
	return s
}

// enqueue lets a datagram wait until it arrives. p.mu is held.
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

// ReadFrom waits for a datagram. What does not fit into b is lost. It returns net.ErrClosed after Close.
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

// Lost returns how many datagrams found the socket's queue full.
func (p *PacketConn) Lost() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost
}

// Close closes the socket. Datagrams in its queue are lost.
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

// LocalAddr returns the socket's address.
func (p *PacketConn) LocalAddr() net.Addr { return Addr(p.addr) }

// SetDeadline sets the time at which reads fail; writes never wait.
func (p *PacketConn) SetDeadline(t time.Time) error { return p.SetReadDeadline(t) }

// SetReadDeadline sets the time at which reads fail.
func (p *PacketConn) SetReadDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readDeadline = t
	p.broadcast()
	return nil
}

// SetWriteDeadline does nothing: writes never wait.
func (*PacketConn) SetWriteDeadline(time.Time) error { return nil }
