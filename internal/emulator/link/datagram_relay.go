package link

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// DatagramRelay forwards datagrams between loopback sockets. It opens a socket to the target for each sender, so that it can return
// the target's replies to that sender. It is safe for concurrent use.
type DatagramRelay struct {
	front      net.PacketConn // receives from the senders
	target     net.Addr
	maxSenders int
	goroutines sync.WaitGroup

	mu      sync.Mutex
	rng     *rand.Rand
	forward Conditions
	reverse Conditions
	flows   map[string]*flow // by the sender's address
	lost    int
	timers  sync.WaitGroup // of datagrams in transit
	closed  bool
}

// flow is the datagrams of one sender and the replies to them.
type flow struct {
	socket           net.PacketConn
	forward, reverse shaper
}

// NewDatagramRelay returns a relay that forwards what front receives to the target, for at most maxSenders senders; datagrams of
// further senders are lost. The relay owns front. It runs until Close. It returns an error if target is not a valid address.
func NewDatagramRelay(front net.PacketConn, target string, maxSenders int, seed uint64) (*DatagramRelay, error) {
	addr, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, fmt.Errorf("datagram relay: target address: %w", err)
	}
	r := &DatagramRelay{
		front:      front,
		target:     addr,
		maxSenders: maxSenders,
		rng:        rand.New(rand.NewPCG(seed, 5)),
		flows:      map[string]*flow{},
	}
	r.goroutines.Go(func() { receiveAll(front, r.relayDatagram) })
	return r, nil
}

// Addr returns the address at which the relay receives.
func (r *DatagramRelay) Addr() net.Addr { return r.front.LocalAddr() }

// Set changes the conditions to the target (forward) and from it (reverse).
func (r *DatagramRelay) Set(forward, reverse Conditions) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forward, r.reverse = forward, reverse
}

// Lost returns how many datagrams were lost because of the conditions or because there were too many senders.
func (r *DatagramRelay) Lost() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost
}

// Close stops the relay and waits for its goroutines and for datagrams in transit.
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

// receiveAll calls handle with a copy of each received datagram until the socket is closed. It ignores other errors, which concern
// datagrams sent earlier, for example to a port without a listener.
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

func (r *DatagramRelay) relayDatagram(data []byte, from net.Addr) {
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
	r.send(&f.forward, r.forward, data, func() { f.socket.WriteTo(data, r.target) })
}

// openFlow opens a socket to the target for a sender. It returns nil if there are too many senders. r.mu is held.
func (r *DatagramRelay) openFlow(from net.Addr) *flow {
	if len(r.flows) >= r.maxSenders || r.closed {
		return nil
	}
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil
	}
	f := &flow{socket: socket, forward: shaper{rng: r.rng}, reverse: shaper{rng: r.rng}}
	r.flows[from.String()] = f
	r.goroutines.Go(func() { r.relayReplies(f, from) })
	return f
}

func (r *DatagramRelay) relayReplies(f *flow, to net.Addr) {
	receiveAll(f.socket, func(data []byte, _ net.Addr) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.send(&f.reverse, r.reverse, data, func() { r.front.WriteTo(data, to) })
	})
}

// send writes a datagram at its arrival time, or drops it if it is lost. r.mu is held.
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
