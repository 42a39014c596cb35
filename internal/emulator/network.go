package emulator

import (
	"context"
	"net"

	"ryeweir/internal/emulator/link"
)

// Dial opens a connection, as net.Dialer's DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Network connects the agents, nodes and discovery of a World. LoopbackNetwork uses loopback sockets, MemoryNetwork an in-memory
// network. A host is the name of an agent or a node, or Discovery. Implementations are safe for concurrent use.
type Network interface {
	// Listen returns a listener for a host, at an address that the network chooses.
	Listen(host string) (net.Listener, error)
	// ListenAgain returns a listener at an address at which an earlier listener has been closed.
	ListenAgain(addr string) (net.Listener, error)
	// AddPath adds a path from an agent to a host that listens at addr, with the same conditions in both directions. It returns the
	// address at which the agent reaches the host.
	AddPath(agent, host, addr string, conditions link.Conditions) (string, error)
	// SetConditions sets the conditions of both directions between an agent and a node, discovery or another agent. forward is the
	// direction from the agent to the other host.
	SetConditions(agent, other string, forward, reverse link.Conditions)
	// SetDown sets whether a node's process is down. While it is down, connections to it are refused.
	SetDown(node string, down bool) error
	// Dialer returns the dial function of a host.
	Dialer(host string) Dial
	// Close closes the paths and releases their resources.
	Close()
}
