package node

import (
	"math"
	"time"
)

// ConnDecision is what a node does with a new connection.
type ConnDecision int

// The decisions on a new connection.
const (
	ConnAccepted  ConnDecision = iota
	ConnTableFull              // accepted beyond ConnCap; its requests are rejected
	ConnRefused                // reset at once
)

// Connect reports a new connection. The caller must call Disconnect at the end of a connection that was ConnAccepted, and only
// of such a one.
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

// Disconnect reports the end of a connection for which Connect returned ConnAccepted.
func (n *Node) Disconnect(now time.Duration) {
	n.advanceTo(now)
	n.conns--
}

// Conns returns the number of open connections, without those beyond ConnCap.
func (n *Node) Conns() int { return n.conns }

// CloseIdle draws whether the fault IdleClose closes a connection that has been idle for the given span since the last call.
func (n *Node) CloseIdle(span time.Duration) bool {
	return n.draw(1 - math.Pow(1-min(1, n.faultSize(IdleClose)), span.Seconds()))
}
