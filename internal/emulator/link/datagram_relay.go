package link

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// DatagramRelay passes datagrams between loopback sockets. Each sender has a socket of its own towards the target, so that
// replies find their way back. It is safe for concurrent use.
type DatagramRelay struct {
	front      net.PacketConn
	target     net.Addr
	maxSenders int
	goroutines sync.WaitGroup

	mu     sync.Mutex
	rng    *rand.Rand
	forth  Conditions
	back   Conditions
	flows  map[string]*flow // by the sender's address
	lost   int
	timers sync.WaitGroup // of datagrams under way
	closed bool
}

// flow is the datagrams of one sender and the replies to them.
type flow struct {
	socket      net.PacketConn
	forth, back shaper
}

// NewDatagramRelay passes what front receives to the target, for at most so many senders; datagrams of others are lost. The relay
// owns front. Close ends it. It returns an error for a target that is no address.
func NewDatagramRelay(front net.PacketConn, target string, maxSenders int, seed uint64) (*DatagramRelay, error) {
	addr, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, fmt.Errorf("relay of datagrams: %w", err)
	}
	r := &DatagramRelay{
		front:      front,
		target:     addr,
		maxSenders: maxSenders,
		rng:        rand.New(rand.NewPCG(seed, 5)),
		flows:      map[string]*flow{},
	}
	r.goroutines.Go(func() { receiveAll(front, r.forward) })
	return r, nil
}

// Addr returns the address at which the relay receives.
func (r *DatagramRelay) Addr() net.Addr { return r.front.LocalAddr() }

// Set changes the conditions towards the target and back.
func (r *DatagramRelay) Set(forth, back Conditions) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forth, r.back = forth, back
}

// Lost returns how many datagrams were lost: by the conditions, or because there were too many senders.
func (r *DatagramRelay) Lost() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost
}

// Close ends the relay and waits for its goroutines and for datagrams that are under way.
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

const maxDatagramSize = 64 << 10

// receiveAll hands over a copy of each datagram that comes, until the socket is closed. Other errors are of earlier sends, such as
// a port that refused one.
func receiveAll(socket net.PacketConn, handle func(data []byte, from net.Addr)) {
	buf := make([]byte, maxDatagramSize)
	for {
		n, from, err := socket.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			handle(append([]byte(nil), buf[:n]...), from)
		}
	}
}

func (r *DatagramRelay) forward(data []byte, from net.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.flows[from.String()]
	if f == nil {
		f = r.openFlow(from)
	}
	if f == nil {
		r.lost++
		return
	}
	r.send(&f.forth, r.forth, data, func() { f.socket.WriteTo(data, r.target) })
}

// openFlow opens a sender's socket; nil where there are too many senders. r.mu is held.
func (r *DatagramRelay) openFlow(from net.Addr) *flow {
	if len(r.flows) >= r.maxSenders || r.closed {
		return nil
	}
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil
	}
	f := &flow{socket: socket, forth: shaper{rng: r.rng}, back: shaper{rng: r.rng}}
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

// send writes a datagram when it is due, or drops it. r.mu is held.
func (r *DatagramRelay) send(s *shaper, conditions Conditions, data []byte, write func()) {
	due, arrives := s.datagramArrival(time.Now(), len(data), conditions)
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
