package link

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Relay forwards streams between loopback sockets, under conditions that can change while streams are open. It is safe for
// concurrent use.
type Relay struct {
	addr       net.Addr
	target     string
	goroutines sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener // nil while connections are refused
	rng      *rand.Rand
	forward  Conditions
	reverse  Conditions
	streams  map[*relayedStream]struct{}
	closed   bool
}

// NewRelay returns a relay that forwards connections accepted by l to the target. The relay owns l. It runs until Close.
func NewRelay(l net.Listener, target string, seed uint64) *Relay {
	r := &Relay{
		addr:     l.Addr(),
		listener: l,
		target:   target,
		rng:      rand.New(rand.NewPCG(seed, 4)),
		streams:  map[*relayedStream]struct{}{},
	}
	r.goroutines.Go(func() { r.accept(l) })
	return r
}

// Addr returns the address of the relay, even while it refuses connections.
func (r *Relay) Addr() net.Addr { return r.addr }

// RejectConnections sets whether new connections are refused, as by a port without a listener. When it is switched off, it returns
// an error if another process has taken the port in the meantime.
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
		return fmt.Errorf("relay: reopening the listener: %w", err)
	}
	r.listener = l
	r.goroutines.Go(func() { r.accept(l) })
	return nil
}

// Set changes the conditions to the target (forward) and from it (reverse), including those of open streams.
func (r *Relay) Set(forward, reverse Conditions) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forward, r.reverse = forward, reverse
	for stream := range r.streams {
		stream.forward.setConditions(forward)
		stream.reverse.setConditions(reverse)
	}
}

// Reset resets all open streams.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for stream := range r.streams {
		stream.reset()
	}
}

// Open returns the number of open streams.
func (r *Relay) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.streams)
}

// Close resets all streams, stops the relay and waits for its goroutines.
func (r *Relay) Close() error {
	r.mu.Lock()
	r.closed = true
	var err error
	if r.listener != nil {
		err = r.listener.Close()
	}
	for stream := range r.streams {
		stream.reset()
	}
	r.mu.Unlock()
	r.goroutines.Wait()
	return err
}

func (r *Relay) accept(l net.Listener) { acceptAll(l, &r.goroutines, r.relayStream) }

func (r *Relay) relayStream(client *net.TCPConn) {
	server, err := dialTarget(client, r.target)
	if err != nil {
		return
	}
	r.mu.Lock()
	stream := newRelayedStream(client, server, r.rng, r.forward, r.reverse)
	r.streams[stream] = struct{}{}
	if r.closed {
		stream.reset()
	}
	r.mu.Unlock()
	stream.run()
	r.mu.Lock()
	delete(r.streams, stream)
	r.mu.Unlock()
}
