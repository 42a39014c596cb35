package node

import (
	"math"
	"time"
)

// ConnDecision is what a node does with a new connection.
type ConnDecision int

// The decisions.
const (
	ConnAccepted  ConnDecision = iota
	ConnTableFull              // accepted, but its requests are rejected
	ConnRefused                // reset at once
)

// Connect brings a new connection. One that is ConnAccepted ends with Disconnect.
func (n *Node) Connect(now time.Duration) ConnDecision {
	n.advanceTo(now)
	switch {
	case n.faultActive(Flap):
		return ConnRefused
	case n.ConnCap > 0 && n.conns >= n.ConnCap:
		return ConnTableFull
	}
	n.conns++
	n.figures.Handshakes++
	n.addOverhead(n.HandshakeWork)
	return ConnAccepted
}

// Disconnect says that a connection has ended.
func (n *Node) Disconnect(now time.Duration) {
	n.advanceTo(now)
	n.conns--
}

// Conns returns how many connections the node holds.
func (n *Node) Conns() int { return n.conns }

// CloseIdle draws whether the node closes a connection that has been idle for a span since the last call.
func (n *Node) CloseIdle(span time.Duration) bool {
	return n.draw(1 - math.Pow(1-min(1, n.faultSize(IdleClose)), span.Seconds()))
}
