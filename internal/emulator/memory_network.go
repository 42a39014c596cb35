package emulator

import (
	"net"

	"ryeweir/internal/emulator/link"
)

// MemoryNetwork is a Network in memory, which works inside testing/synctest.
type MemoryNetwork struct{ *link.Network }

var _ Network = MemoryNetwork{}

// Listen listens for a host at any port.
func (m MemoryNetwork) Listen(host string) (net.Listener, error) {
	return m.Network.Listen(host + ":0")
}

// ListenAgain listens at an address that was in use before.
func (m MemoryNetwork) ListenAgain(addr string) (net.Listener, error) { return m.Network.Listen(addr) }

// AddPath sets the conditions both ways. All agents reach a host at its own address.
func (m MemoryNetwork) AddPath(agent, host, addr string, conditions link.Conditions) (string, error) {
	m.SetConditions(agent, host, conditions, conditions)
	return addr, nil
}

// SetConditions changes the conditions between two hosts.
func (m MemoryNetwork) SetConditions(agent, other string, forth, back link.Conditions) {
	m.Set(agent, other, forth)
	m.Set(other, agent, back)
}

// SetDown does nothing: without a listener, connections are refused.
func (MemoryNetwork) SetDown(string, bool) error { return nil }

// Dialer returns the dial function of a host.
func (m MemoryNetwork) Dialer(host string) Dial { return m.Network.Dialer(host) }

// Close does nothing: nothing outlives the connections.
func (MemoryNetwork) Close() {}
