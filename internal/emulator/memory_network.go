package emulator

import (
	"net"

	"ryeweir/internal/emulator/link"
)

// MemoryNetwork is an in-memory Network, which works inside testing/synctest.
type MemoryNetwork struct{ *link.Network }

var _ Network = MemoryNetwork{}

// Listen returns a listener for a host at a free port.
func (m MemoryNetwork) Listen(host string) (net.Listener, error) {
	return m.Network.Listen(host + ":0")
}

// ListenAgain returns a listener at an address at which an earlier listener has been closed.
func (m MemoryNetwork) ListenAgain(addr string) (net.Listener, error) { return m.Network.Listen(addr) }

// AddPath sets the conditions of both directions and returns addr, as all agents reach a host at its listen address.
func (m MemoryNetwork) AddPath(agent, host, addr string, conditions link.Conditions) (string, error) {
	m.SetConditions(agent, host, conditions, conditions)
	return addr, nil
}

// SetConditions sets the conditions of both directions between two hosts.
func (m MemoryNetwork) SetConditions(agent, other string, forward, reverse link.Conditions) {
	m.Set(agent, other, forward)
	m.Set(other, agent, reverse)
}

// SetDown does nothing: connections to a node are refused while its listener is closed, which is so while its process is down.
func (MemoryNetwork) SetDown(node string, down bool) error { return nil }

// Dialer returns the dial function of a host.
func (m MemoryNetwork) Dialer(host string) Dial { return m.Network.Dialer(host) }

// Close does nothing: the paths hold no resources of their own.
func (MemoryNetwork) Close() {}
