package emulator

import (
	"context"
	"net"

	"ryeweir/internal/emulator/link"
)

// Dial opens a connection, as net.Dialer's DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Network is what a World stands on: sockets of the machine's loopback, or a network in memory. Hosts are the names of agents
// and nodes, and Discovery. Implementations are safe for concurrent use.
type Network interface {
	// Listen listens for a host at an address of the network's choice.
	Listen(host string) (net.Listener, error)
	// ListenAgain listens at an address that was in use before.
	ListenAgain(addr string) (net.Listener, error)
	// AddPath returns the address at which an agent reaches a host that listens at addr, under conditions both ways.
	AddPath(agent, host, addr string, conditions link.Conditions) (string, error)
	// SetConditions changes the conditions from an agent to a node, to discovery or to another agent, and back.
	SetConditions(agent, other string, forth, back link.Conditions)
	// SetDown says whether a node's process is down: connections to it are then refused.
	SetDown(node string, down bool) error
	// Dialer returns the dial function of a host.
	Dialer(host string) Dial
	// Close releases what the paths hold.
	Close()
}
