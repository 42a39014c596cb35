package link

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Relay passes streams between loopback sockets, under conditions that can change while they are open. It is safe for
// concurrent use.
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

// NewRelay passes what connects to l to the target. The relay owns l. Close ends it.
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

// Addr returns the address at which the relay listens, also while it refuses connections.
func (r *Relay) Addr() net.Addr { return r.addr }

// RejectConnections lets new connections be refused, as where no process listens, or accepts them again. It returns an error
// where the port has been taken meanwhile.
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
	for stream := range r.streams {
		stream.forth.setConditions(forth)
		stream.back.setConditions(back)
	}
}

// Reset breaks all open streams.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for stream := range r.streams {
		stream.reset()
	}
}

// Open returns how many streams are open.
func (r *Relay) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.streams)
}

// Close breaks all streams, ends the relay and waits for its goroutines.
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
	stream := newRelayedStream(client, server, r.rng, r.forth, r.back)
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
