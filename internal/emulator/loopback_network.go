package emulator

import (
	"context"
	"errors"
	"net"
	"sync"

	"ryeweir/internal/emulator/link"
)

// LoopbackNetwork is a Network on sockets of 127.0.0.1 at free ports. Each path is a relay. The zero value is ready for use.
type LoopbackNetwork struct {
	WithoutRelays bool       // agents connect to nodes and discovery directly: SetDown has no effect, and SetConditions only on Mesh
	Mesh          *link.Mesh // paths between agents that gossip, or nil; closed by Close

	mu         sync.Mutex
	relays     map[relayKey]*link.Relay
	relaysMade uint64 // seed of the latest relay, so that each has random numbers of its own
}

type relayKey struct{ agent, host string }

var _ Network = (*LoopbackNetwork)(nil)

const anyPort = "127.0.0.1:0"

// Listen returns a listener at a free port.
func (*LoopbackNetwork) Listen(string) (net.Listener, error) { return net.Listen("tcp", anyPort) }

// ListenAgain returns a listener at an address at which an earlier listener has been closed.
func (*LoopbackNetwork) ListenAgain(addr string) (net.Listener, error) {
	return net.Listen("tcp", addr)
}

// AddPath starts a relay between an agent and a host, and returns the relay's address. With WithoutRelays it starts none and returns
// addr.
func (n *LoopbackNetwork) AddPath(agent, host, addr string, conditions link.Conditions) (string, error) {
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
	relay := link.NewRelay(l, addr, n.relaysMade)
	relay.Set(conditions, conditions)
	if n.relays == nil {
		n.relays = map[relayKey]*link.Relay{}
	}
	n.relays[relayKey{agent, host}] = relay
	return l.Addr().String(), nil
}

// SetConditions sets the conditions of a relay or, between agents, of the mesh.
func (n *LoopbackNetwork) SetConditions(agent, other string, forward, reverse link.Conditions) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if relay := n.relays[relayKey{agent, other}]; relay != nil {
		relay.Set(forward, reverse)
	} else if n.Mesh != nil {
		n.Mesh.Set(agent, other, forward)
		n.Mesh.Set(other, agent, reverse)
	}
}

// SetDown makes all relays to a node refuse connections, or accept them again.
func (n *LoopbackNetwork) SetDown(node string, down bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	var errs []error
	for key, relay := range n.relays {
		if key.host == node {
			errs = append(errs, relay.RejectConnections(down))
		}
	}
	return errors.Join(errs...)
}

// Dialer returns a dial function that connects to loopback addresses only, so that a mistake in an address cannot send load to
// another machine. For other addresses it returns a *NotLoopbackError.
func (*LoopbackNetwork) Dialer(string) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(addr)
		if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
			return nil, &NotLoopbackError{Addr: addr}
		}
		return new(net.Dialer).DialContext(ctx, network, addr)
	}
}

// NotLoopbackError is returned by the Dialer of a LoopbackNetwork for an address that is not a loopback IP address and a port.
type NotLoopbackError struct{ Addr string }

// Error implements error.
func (e *NotLoopbackError) Error() string {
	return "refusing to dial " + e.Addr + ": callers may connect to loopback IP addresses only"
}

// Close closes all relays and the mesh.
func (n *LoopbackNetwork) Close() {
	n.mu.Lock()
	relays := n.relays
	n.relays = nil
	n.mu.Unlock()
	for _, relay := range relays {
		relay.Close()
	}
	if n.Mesh != nil {
		n.Mesh.Close()
	}
}
