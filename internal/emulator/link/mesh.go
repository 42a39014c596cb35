package link

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Mesh stands between processes that send to each other on loopback, each to all others, with datagrams and streams on one
// port. Each host has a front: an address that the others know it by. What comes to a front goes on to where its host listens,
// under the conditions of the direction from the sender, which is recognized by its IP address: 127.0.0.0/8 has one for each host. It
// is safe for concurrent use.
type Mesh struct {
	goroutines sync.WaitGroup
	timers     sync.WaitGroup // of datagrams under way

	mu         sync.Mutex
	rng        *rand.Rand
	hosts      map[string]string // name by IP address
	fronts     map[string]*front // by host
	conditions map[path]Conditions
	shapers    map[path]*shaper // of datagrams
	counts     MeshCounts
	closed     bool
}

// MeshCounts are what a Mesh has passed on, and lost by its conditions.
type MeshCounts struct {
	Packets, Lost, Streams int
}

// front is one host's address in a mesh.
type front struct {
	host, target string
	streams      net.Listener
	packets      net.PacketConn // at the address of streams
	out          net.PacketConn // sends to the target
	targetAddr   net.Addr
	open         map[*relayedStream]string // the sender of each stream
}

// NewMesh returns a mesh without hosts. Close ends it.
func NewMesh(seed uint64) *Mesh {
	return &Mesh{
		rng:        rand.New(rand.NewPCG(seed, 6)),
		hosts:      map[string]string{},
		fronts:     map[string]*front{},
		conditions: map[path]Conditions{},
		shapers:    map[path]*shaper{},
	}
}

// portAttempts is how many ports are tried until one is free for both datagrams and streams.
const portAttempts = 20

// Add gives a host a front and returns its address. The host sends from an IP address of its own, and listens at target.
func (m *Mesh) Add(host, ip, target string) (addr string, err error) {
	f, err := newFront(host, target)
	if err != nil {
		return "", fmt.Errorf("mesh: %w", err)
	}
	m.mu.Lock()
	m.hosts[ip], m.fronts[host] = host, f
	m.mu.Unlock()
	m.goroutines.Go(func() { receiveAll(f.packets, func(data []byte, from net.Addr) { m.forward(f, from, data) }) })
	m.goroutines.Go(func() { acceptAll(f.streams, &m.goroutines, func(c *net.TCPConn) { m.relayStream(f, c) }) })
	return f.streams.Addr().String(), nil
}

func newFront(host, target string) (*front, error) {
	targetAddr, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	f := &front{host: host, target: target, targetAddr: targetAddr, open: map[*relayedStream]string{}}
	if err := f.listen(); err != nil {
		return nil, err
	}
	if f.out, err = net.ListenPacket("udp", "127.0.0.1:0"); err != nil {
		return nil, errors.Join(err, f.streams.Close(), f.packets.Close())
	}
	return f, nil
}

// listen opens a port for both datagrams and streams.
func (f *front) listen() (err error) {
	for range portAttempts {
		if f.streams, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			continue
		}
		if f.packets, err = net.ListenPacket("udp", f.streams.Addr().String()); err == nil {
			return nil
		}
		f.streams.Close()
	}
	return err
}

// Set changes the conditions of the direction from one host to another.
func (m *Mesh) Set(from, to string, c Conditions) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conditions[path{from, to}] = c
	if f := m.fronts[to]; f != nil {
		for stream, sender := range f.open {
			if sender == from {
				stream.forth.setConditions(c)
			}
		}
	}
	if f := m.fronts[from]; f != nil {
		for stream, sender := range f.open {
			if sender == to {
				stream.back.setConditions(c)
			}
		}
	}
}

// Counts returns what the mesh has passed on so far.
func (m *Mesh) Counts() MeshCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// Close breaks all streams, ends the mesh and waits for its goroutines and for datagrams that are under way.
func (m *Mesh) Close() error {
	m.mu.Lock()
	m.closed = true
	var errs []error
	for _, f := range m.fronts {
		errs = append(errs, f.streams.Close(), f.packets.Close(), f.out.Close())
		for stream := range f.open {
			stream.reset()
		}
	}
	m.mu.Unlock()
	m.goroutines.Wait()
	m.timers.Wait()
	return errors.Join(errs...)
}

// sender returns the host of an address; empty for one that is not of the mesh. m.mu is held.
func (m *Mesh) sender(addr net.Addr) string {
	ip, _, err := net.SplitHostPort(addr.String())
	if err != nil {
		return ""
	}
	return m.hosts[ip]
}

func (m *Mesh) forward(f *front, from net.Addr, data []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	direction := path{m.sender(from), f.host}
	s := m.shapers[direction]
	if s == nil {
		s = &shaper{rng: m.rng}
		m.shapers[direction] = s
	}
	now := time.Now()
	due, arrives := s.datagramArrival(now, len(data), m.conditions[direction])
	if !arrives || m.closed {
		m.counts.Lost++
		return
	}
	m.counts.Packets++
	if !due.After(now) {
		f.out.WriteTo(data, f.targetAddr)
		return
	}
	m.timers.Add(1)
	time.AfterFunc(time.Until(due), func() {
		defer m.timers.Done()
		f.out.WriteTo(data, f.targetAddr)
	})
}

func (m *Mesh) relayStream(f *front, client *net.TCPConn) {
	server, err := dialTarget(client, f.target)
	if err != nil {
		return
	}
	m.mu.Lock()
	sender := m.sender(client.RemoteAddr())
	forth, back := m.conditions[path{sender, f.host}], m.conditions[path{f.host, sender}]
	stream := newRelayedStream(client, server, m.rng, forth, back)
	f.open[stream] = sender
	m.counts.Streams++
	if m.closed {
		stream.reset()
	}
	m.mu.Unlock()
	stream.run()
	m.mu.Lock()
	delete(f.open, stream)
	m.mu.Unlock()
}
