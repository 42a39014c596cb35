package link

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Mesh relays datagrams and streams between processes on loopback, each of which sends to all others. Each host has a front, which
// is the address that the other hosts use for it. The mesh forwards what a front receives to the address at which the host listens,
// under the conditions of the direction from the sender to that host. It recognizes the sender by its IP address, so each host must
// send from an address of its own in 127.0.0.0/8. A Mesh is safe for concurrent use.
type Mesh struct {
	goroutines sync.WaitGroup
	timers     sync.WaitGroup // of datagrams in transit

	mu         sync.Mutex
	rng        *rand.Rand
	hosts      map[string]string // names by IP address
	fronts     map[string]*front // by host
	conditions map[path]Conditions
	shapers    map[path]*shaper // of datagrams
	counts     MeshCounts
	closed     bool
}

// MeshCounts counts what a Mesh has forwarded, and the datagrams lost because of its conditions.
type MeshCounts struct {
	Packets, Lost, Streams int
}

// front receives for one host of a mesh, under the address that the other hosts use.
type front struct {
	host, target string
	streams      net.Listener
	packets      net.PacketConn // at the same address as streams
	out          net.PacketConn // sends to the target
	targetAddr   net.Addr
	open         map[*relayedStream]string // the sender of each open stream
}

// NewMesh returns a mesh without hosts. It runs until Close.
func NewMesh(seed uint64) *Mesh {
	return &Mesh{
		rng:        rand.New(rand.NewPCG(seed, 6)),
		hosts:      map[string]string{},
		fronts:     map[string]*front{},
		conditions: map[path]Conditions{},
		shapers:    map[path]*shaper{},
	}
}

// portAttempts is how many ports are tried to find one that is free for both datagrams and streams.
const portAttempts = 20

// Add adds a host that listens at target, and returns the address of its front. The host must send from ip, which no other host may
// use.
func (m *Mesh) Add(host, ip, target string) (addr string, err error) {
	f, err := newFront(host, target)
	if err != nil {
		return "", fmt.Errorf("add host %s with target %s to the mesh: %w", host, target, err)
	}
	m.mu.Lock()
	m.hosts[ip], m.fronts[host] = host, f
	m.mu.Unlock()
	m.goroutines.Go(func() { receiveAll(f.packets, func(data []byte, from net.Addr) { m.relayDatagram(f, from, data) }) })
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

// listen opens the same port for datagrams and for streams.
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
				stream.forward.setConditions(c)
			}
		}
	}
	if f := m.fronts[from]; f != nil {
		for stream, sender := range f.open {
			if sender == to {
				stream.reverse.setConditions(c)
			}
		}
	}
}

// Counts returns the counts so far.
func (m *Mesh) Counts() MeshCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// Close resets all streams, stops the mesh and waits for its goroutines and for datagrams in transit.
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

// sender returns the host that sends from an address, or "" if it does not belong to the mesh. m.mu is held.
func (m *Mesh) sender(addr net.Addr) string {
	ip, _, err := net.SplitHostPort(addr.String())
	if err != nil {
		return ""
	}
	return m.hosts[ip]
}

func (m *Mesh) relayDatagram(f *front, from net.Addr, data []byte) {
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
	forward, reverse := m.conditions[path{sender, f.host}], m.conditions[path{f.host, sender}]
	stream := newRelayedStream(client, server, m.rng, forward, reverse)
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
