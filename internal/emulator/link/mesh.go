package link

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Mesh stands between processes that talk with each other on loopback, each with all others, packets and streams on one
// port. Each host has a front, an address that the others are told; what comes to it goes on to where the host listens, under
// the conditions of the way from the sender, which is told apart by its IP address: 127.0.0.0/8 has one for each.
type Mesh struct {
	goroutines sync.WaitGroup
	timers     sync.WaitGroup

	mu         sync.Mutex
	rng        *rand.Rand
	hosts      map[string]string // name by IP address
	fronts     map[string]*front
	conditions map[[2]string]Conditions // from, to
	shapers    map[[2]string]*shaper    // of packets
	counts     MeshCounts
	closed     bool
}

// MeshCounts are what a Mesh has passed on, and dropped.
type MeshCounts struct {
	Packets, Lost, Streams int
}

type front struct {
	host, target string
	streams      net.Listener
	packets, out net.PacketConn
	to           net.Addr
	open         map[*relayedStream]string // the sender of each stream
}

// NewMesh returns one without hosts.
func NewMesh(seed uint64) *Mesh {
	return &Mesh{rng: rand.New(rand.NewPCG(seed, 6)), hosts: map[string]string{}, fronts: map[string]*front{}, conditions: map[[2]string]Conditions{},
		shapers: map[[2]string]*shaper{}}
}

const portAttempts = 20

// Add gives a host a front. It sends from an IP address of its own, and listens at a target.
func (m *Mesh) Add(host, ip, target string) (addr string, err error) {
	f := &front{host: host, target: target, open: map[*relayedStream]string{}}
	if f.to, err = net.ResolveUDPAddr("udp", target); err != nil {
		return "", fmt.Errorf("mesh: %w", err)
	}
	for range portAttempts { // a port that is free for both
		if f.streams, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			continue
		}
		if f.packets, err = net.ListenPacket("udp", f.streams.Addr().String()); err == nil {
			break
		}
		f.streams.Close()
	}
	if err != nil {
		return "", fmt.Errorf("mesh: %w", err)
	}
	if f.out, err = net.ListenPacket("udp", "127.0.0.1:0"); err != nil {
		return "", errors.Join(fmt.Errorf("mesh: %w", err), f.streams.Close(), f.packets.Close())
	}
	m.mu.Lock()
	m.hosts[ip], m.fronts[host] = host, f
	m.mu.Unlock()
	m.goroutines.Go(func() { receiveAll(f.packets, func(data []byte, from net.Addr) { m.forward(f, from, data) }) })
	m.goroutines.Go(func() { acceptAll(f.streams, &m.goroutines, func(c *net.TCPConn) { m.relayStream(f, c) }) })
	return f.streams.Addr().String(), nil
}

// Set changes the conditions of the way from one host to another.
func (m *Mesh) Set(from, to string, c Conditions) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conditions[[2]string{from, to}] = c
	if f := m.fronts[to]; f != nil {
		for s, who := range f.open {
			if who == from {
				s.forth.setConditions(c)
			}
		}
	}
	if f := m.fronts[from]; f != nil {
		for s, who := range f.open {
			if who == to {
				s.back.setConditions(c)
			}
		}
	}
}

// Counts are what it has passed on.
func (m *Mesh) Counts() MeshCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// Close ends all that is under way and waits for it.
func (m *Mesh) Close() error {
	m.mu.Lock()
	m.closed = true
	var errs []error
	for _, f := range m.fronts {
		errs = append(errs, f.streams.Close(), f.packets.Close(), f.out.Close())
		for s := range f.open {
			s.reset()
		}
	}
	m.mu.Unlock()
	m.goroutines.Wait()
	m.timers.Wait()
	return errors.Join(errs...)
}

func (m *Mesh) sender(addr net.Addr) string {
	host, _, err := net.SplitHostPort(addr.String())
	if err != nil {
		return ""
	}
	return m.hosts[host]
}

func (m *Mesh) forward(f *front, from net.Addr, data []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	way := [2]string{m.sender(from), f.host}
	s := m.shapers[way]
	if s == nil {
		s = &shaper{rng: m.rng}
		m.shapers[way] = s
	}
	now := time.Now()
	due, arrives := s.datagramArrival(now, len(data), m.conditions[way])
	if !arrives || m.closed {
		m.counts.Lost++
		return
	}
	m.counts.Packets++
	if !due.After(now) {
		f.out.WriteTo(data, f.to)
		return
	}
	m.timers.Add(1)
	time.AfterFunc(time.Until(due), func() {
		defer m.timers.Done()
		f.out.WriteTo(data, f.to)
	})
}

func (m *Mesh) relayStream(f *front, client *net.TCPConn) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	raw, err := new(net.Dialer).DialContext(ctx, "tcp", f.target)
	if err != nil {
		client.SetLinger(0)
		client.Close()
		return
	}
	m.mu.Lock()
	who := m.sender(client.RemoteAddr())
	s := &relayedStream{client: client, server: raw.(*net.TCPConn),
		forth: newPipe(rand.New(rand.NewPCG(m.rng.Uint64(), 1)), m.conditions[[2]string{who, f.host}]),
		back:  newPipe(rand.New(rand.NewPCG(m.rng.Uint64(), 2)), m.conditions[[2]string{f.host, who}])}
	f.open[s] = who
	m.counts.Streams++
	if m.closed {
		s.reset()
	}
	m.mu.Unlock()
	s.run()
	m.mu.Lock()
	delete(f.open, s)
	m.mu.Unlock()
}
