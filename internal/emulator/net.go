package emulator

import (
	"context"
	"errors"
	"net"
	"sync"

	"ryeweir/internal/emulator/link"
)

// MemoryNetwork is a Net in memory, which works inside testing/synctest. Hosts are the names of agents and nodes.
type MemoryNetwork struct{ *link.Network }

var _ Network = MemoryNetwork{}

// Listen listens for a host at any port.
func (m MemoryNetwork) Listen(host string) (net.Listener, error) {
	return m.Network.Listen(host + ":0")
}

// ListenAgain listens at an address that was in use before.
func (m MemoryNetwork) ListenAgain(addr string) (net.Listener, error) { return m.Network.Listen(addr) }

// AddPath shapes the way to a node, which all agents reach at its own address.
func (m MemoryNetwork) AddPath(agent, node, addr string, c link.Conditions) (string, error) {
	m.SetConditions(agent, node, c, c)
	return addr, nil
}

// SetConditions changes the conditions between two hosts.
func (m MemoryNetwork) SetConditions(agent, other string, forth, back link.Conditions) {
	m.Set(agent, other, forth)
	m.Set(other, agent, back)
}

// SetDown does nothing: where no listener is, a dial is refused.
func (MemoryNetwork) SetDown(string, bool) error { return nil }

// Dialer returns the dial of a host.
func (m MemoryNetwork) Dialer(host string) Dial { return m.Network.Dialer(host) }

// Close does nothing: nothing outlives the connections.
func (MemoryNetwork) Close() {}

// LoopbackNetwork is a Net on sockets of 127.0.0.1 at free ports. A path with conditions is a relay.
type LoopbackNetwork struct {
	WithoutRelays bool       // without relays: agents reach nodes at once
	Mesh          *link.Mesh // between agents that talk with each other; nil without

	mu         sync.Mutex
	relays     map[[2]string]*link.Relay // by agent and node
	relaysMade uint64
}

var _ Network = (*LoopbackNetwork)(nil)

const anyPort = "127.0.0.1:0"

// Listen listens at a free port.
func (*LoopbackNetwork) Listen(string) (net.Listener, error) { return net.Listen("tcp", anyPort) }

// ListenAgain listens at a port that was in use before.
func (*LoopbackNetwork) ListenAgain(addr string) (net.Listener, error) {
	return net.Listen("tcp", addr)
}

// AddPath puts a relay between an agent and a node.
func (n *LoopbackNetwork) AddPath(agent, node, addr string, c link.Conditions) (string, error) {
	if n.WithoutRelays {
		return addr, nil
	}
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.relaysMade++
	r := link.NewRelay(l, addr, n.relaysMade)
	r.Set(c, c)
	if n.relays == nil {
		n.relays = map[[2]string]*link.Relay{}
	}
	n.relays[[2]string{agent, node}] = r
	return l.Addr().String(), nil
}

// SetConditions changes the conditions of a relay, or of the mesh.
func (n *LoopbackNetwork) SetConditions(agent, other string, forth, back link.Conditions) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r := n.relays[[2]string{agent, other}]; r != nil {
		r.Set(forth, back)
	} else if n.Mesh != nil {
		n.Mesh.Set(agent, other, forth)
		n.Mesh.Set(other, agent, back)
	}
}

// SetDown lets the relays to a node refuse connections.
func (n *LoopbackNetwork) SetDown(node string, on bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	var all []error
	for key, r := range n.relays {
		if key[1] == node {
			all = append(all, r.RejectConnections(on))
		}
	}
	return errors.Join(all...)
}

// Dialer returns the machine's dial, for loopback addresses only.
func (*LoopbackNetwork) Dialer(string) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(addr)
		if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
			return nil, errors.New("callers go to loopback addresses only, not to " + addr)
		}
		return new(net.Dialer).DialContext(ctx, network, addr)
	}
}

// Close ends all relays.
func (n *LoopbackNetwork) Close() {
	n.mu.Lock()
	relays := n.relays
	n.relays = nil
	n.mu.Unlock()
	for _, r := range relays {
		r.Close()
	}
	if n.Mesh != nil {
		n.Mesh.Close()
	}
}
