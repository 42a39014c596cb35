package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Relay passes streams on between loopback sockets, under conditions that can change while they are open.
type Relay struct {
	addr       net.Addr
	target     string
	goroutines sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener // nil while connections are refused
	rng      *rand.Rand
	forth    Conditions
	back     Conditions
	streams  map[*relayedStream]struct{}
	closed   bool
}

// relayedStream is one stream that is passed on.
type relayedStream struct {
	client, server *net.TCPConn
	forth, back    *pipe
}

const dialTimeout = 5 * time.Second

// NewRelay passes on what connects to l to the target. Close ends it, and closes l.
func NewRelay(l net.Listener, target string, seed uint64) *Relay {
	r := &Relay{addr: l.Addr(), listener: l, target: target, rng: rand.New(rand.NewPCG(seed, 4)), streams: map[*relayedStream]struct{}{}}
	r.goroutines.Go(func() { r.accept(l) })
	return r
}

// Addr is where it listens.
func (r *Relay) Addr() net.Addr { return r.addr }

// RejectConnections lets new connections be refused, as where no process listens, or takes them again.
func (r *Relay) RejectConnections(on bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.closed || on == (r.listener == nil):
		return nil
	case on:
		err := r.listener.Close()
		r.listener = nil
		return err
	}
	l, err := net.Listen("tcp", r.addr.String())
	if err != nil {
		return fmt.Errorf("relay: listening again: %w", err)
	}
	r.listener = l
	r.goroutines.Go(func() { r.accept(l) })
	return nil
}

// Set changes the conditions towards the target and back.
func (r *Relay) Set(forth, back Conditions) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forth, r.back = forth, back
	for s := range r.streams {
		s.forth.setConditions(forth)
		s.back.setConditions(back)
	}
}

// Reset breaks all streams that are open.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s := range r.streams {
		s.reset()
	}
}

// Open is how many streams are open.
func (r *Relay) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.streams)
}

// Close ends the relay with all its streams and waits for them.
func (r *Relay) Close() error {
	r.mu.Lock()
	r.closed = true
	var err error
	if r.listener != nil {
		err = r.listener.Close()
	}
	for s := range r.streams {
		s.reset()
	}
	r.mu.Unlock()
	r.goroutines.Wait()
	return err
}

func (r *Relay) accept(l net.Listener) { acceptAll(l, &r.goroutines, r.relayStream) }

// acceptAll hands each stream that comes to a goroutine of its own, until the listener is closed.
func acceptAll(l net.Listener, all *sync.WaitGroup, pass func(*net.TCPConn)) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, say: go on when there are some again
			time.Sleep(10 * time.Millisecond)
			continue
		}
		all.Go(func() { pass(c.(*net.TCPConn)) })
	}
}

func (r *Relay) relayStream(client *net.TCPConn) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	raw, err := new(net.Dialer).DialContext(ctx, "tcp", r.target)
	if err != nil {
		client.SetLinger(0)
		client.Close()
		return
	}
	r.mu.Lock()
	s := &relayedStream{client: client, server: raw.(*net.TCPConn),
		forth: newPipe(rand.New(rand.NewPCG(r.rng.Uint64(), 1)), r.forth),
		back:  newPipe(rand.New(rand.NewPCG(r.rng.Uint64(), 2)), r.back)}
	r.streams[s] = struct{}{}
	if r.closed {
		s.reset()
	}
	r.mu.Unlock()
	s.run()
	r.mu.Lock()
	delete(r.streams, s)
	r.mu.Unlock()
}

// run passes on both ways until both have ended.
func (s *relayedStream) run() {
	var ways sync.WaitGroup
	ways.Go(func() { s.fill(s.forth, s.client) })
	ways.Go(func() { s.fill(s.back, s.server) })
	ways.Go(func() { s.drain(s.server, s.forth) })
	ways.Go(func() { s.drain(s.client, s.back) })
	ways.Wait()
	s.client.Close()
	s.server.Close()
}

// pipeWriter and pipeReader are the ends of a pipe for io.Copy.
type (
	pipeWriter struct{ *pipe }
	pipeReader struct{ *pipe }
)

func (p pipeWriter) Write(b []byte) (int, error) { return p.write(b) }
func (p pipeReader) Read(b []byte) (int, error)  { return p.read(b) }

// fill takes in what a socket sends, up to its end.
func (s *relayedStream) fill(p *pipe, from *net.TCPConn) {
	if _, err := io.Copy(pipeWriter{p}, from); err != nil {
		s.reset()
		return
	}
	p.closeWriter()
}

// drain gives a socket what comes through.
func (s *relayedStream) drain(to *net.TCPConn, p *pipe) {
	if _, err := io.Copy(to, pipeReader{p}); err != nil {
		s.reset()
		return
	}
	to.CloseWrite()
}

// reset breaks both sides.
func (s *relayedStream) reset() {
	for _, c := range []*net.TCPConn{s.client, s.server} {
		c.SetLinger(0)
		c.Close()
	}
	for _, p := range []*pipe{s.forth, s.back} {
		p.closeReader()
		p.failWrites(net.ErrClosed)
	}
}

// DatagramRelay passes datagrams on between loopback sockets. Each sender has a socket of its own towards the target, so
// that answers find their way back.
type DatagramRelay struct {
	front      net.PacketConn
	target     net.Addr
	maxSenders int
	goroutines sync.WaitGroup

	mu     sync.Mutex
	rng    *rand.Rand
	forth  Conditions
	back   Conditions
	flows  map[string]*flow
	lost   int
	timers sync.WaitGroup
	closed bool
}

type flow struct {
	socket      net.PacketConn
	forth, back shaper
}

// NewDatagramRelay passes on what comes to front to the target, for at most so many senders. Close ends it.
func NewDatagramRelay(front net.PacketConn, target string, most int, seed uint64) (*DatagramRelay, error) {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, fmt.Errorf("relay of datagrams: %w", err)
	}
	r := &DatagramRelay{front: front, target: to, maxSenders: most, rng: rand.New(rand.NewPCG(seed, 5)), flows: map[string]*flow{}}
	r.goroutines.Go(r.receive)
	return r, nil
}

// Addr is where it receives.
func (r *DatagramRelay) Addr() net.Addr { return r.front.LocalAddr() }

// Set changes the conditions towards the target and back.
func (r *DatagramRelay) Set(forth, back Conditions) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forth, r.back = forth, back
}

// Lost is how many datagrams the conditions dropped, or found no room for their sender.
func (r *DatagramRelay) Lost() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost
}

// Close ends the relay and waits for all it does.
func (r *DatagramRelay) Close() error {
	r.mu.Lock()
	r.closed = true
	for _, f := range r.flows {
		f.socket.Close()
	}
	r.mu.Unlock()
	err := r.front.Close()
	r.goroutines.Wait()
	r.timers.Wait()
	return err
}

const largestDatagram = 64 << 10

func (r *DatagramRelay) receive() { receiveAll(r.front, r.forward) }

// receiveAll hands over each datagram that comes, a copy of it, until the socket is closed.
func receiveAll(socket net.PacketConn, take func(data []byte, from net.Addr)) {
	buf := make([]byte, largestDatagram)
	for {
		n, from, err := socket.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil { // else a refused datagram of before
			take(append([]byte(nil), buf[:n]...), from)
		}
	}
}

func (r *DatagramRelay) forward(data []byte, from net.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.flows[from.String()]
	if f == nil {
		if f = r.openFlow(from); f == nil {
			r.lost++
			return
		}
	}
	r.send(&f.forth, r.forth, data, func() { f.socket.WriteTo(data, r.target) })
}

// openFlow makes a sender's socket, or nothing where there is no room. The lock is held.
func (r *DatagramRelay) openFlow(from net.Addr) *flow {
	if len(r.flows) >= r.maxSenders || r.closed {
		return nil
	}
	s, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil
	}
	f := &flow{socket: s, forth: shaper{rng: r.rng}, back: shaper{rng: r.rng}}
	r.flows[from.String()] = f
	r.goroutines.Go(func() { r.relayReplies(f, from) })
	return f
}

func (r *DatagramRelay) relayReplies(f *flow, to net.Addr) {
	receiveAll(f.socket, func(data []byte, _ net.Addr) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.send(&f.back, r.back, data, func() { r.front.WriteTo(data, to) })
	})
}

// send lets a datagram go when it is due, or drops it. The lock is held.
func (r *DatagramRelay) send(s *shaper, c Conditions, data []byte, write func()) {
	due, arrives := s.datagramArrival(time.Now(), len(data), c)
	if !arrives || r.closed {
		r.lost++
		return
	}
	r.timers.Add(1)
	time.AfterFunc(time.Until(due), func() {
		defer r.timers.Done()
		write()
	})
}
