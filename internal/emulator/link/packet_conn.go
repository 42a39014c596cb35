package link

import (
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// maxQueuedDatagrams is the maximum number of datagrams queued at a socket. Further ones are lost, as with a full socket buffer.
const maxQueuedDatagrams = 1024

// PacketConn is a net.PacketConn that sends and receives datagrams of a Network.
type PacketConn struct {
	network *Network
	addr    string

	mu           sync.Mutex
	changed      chan struct{}      // closed and replaced at each change
	shapers      map[string]*shaper // by destination host
	queue        []datagram         // ordered by arrival time
	lost         int                // datagrams that found the queue full
	closed       bool
	readDeadline time.Time
}

type datagram struct {
	data []byte
	from string
	due  time.Time // when it arrives
}

// ListenPacket opens a socket for datagrams; port 0 stands for any free port. It returns an error that wraps syscall.EADDRINUSE if
// the address is in use.
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

// broadcast wakes all blocked readers. p.mu is held.
func (p *PacketConn) broadcast() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// WriteTo sends a datagram. It returns no error for a datagram that is lost.
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

// shaperTo returns the shaper of the path to a host. p.mu and p.network.mu are held.
func (p *PacketConn) shaperTo(host string) *shaper {
	s := p.shapers[host]
	if s == nil {
		p.network.connsMade++
		s = &shaper{rng: p.network.newRand(p.network.connsMade, 3)}
		p.shapers[host] = s
	}
	return s
}

// enqueue adds a datagram to the queue, or counts it as lost if the queue is full or the socket closed. p.mu is held.
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

// ReadFrom waits for a datagram. Bytes that do not fit into b are lost. It returns net.ErrClosed after Close and
// os.ErrDeadlineExceeded after the read deadline.
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

// Lost returns how many datagrams were lost because the socket's queue was full.
func (p *PacketConn) Lost() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost
}

// Close closes the socket. Queued datagrams are lost. It returns syscall.EBADF if the socket is closed already.
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

// SetDeadline sets the read deadline; writes never block.
func (p *PacketConn) SetDeadline(t time.Time) error { return p.SetReadDeadline(t) }

// SetReadDeadline sets the time at which reads fail.
func (p *PacketConn) SetReadDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readDeadline = t
	p.broadcast()
	return nil
}

// SetWriteDeadline does nothing, as writes never block.
func (*PacketConn) SetWriteDeadline(time.Time) error { return nil }
