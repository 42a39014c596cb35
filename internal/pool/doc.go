// Package pool manages the agent's connections to endpoints. Each connection carries one request at a time.
//
// The package has two layers. A [Table] makes every decision and does no I/O: its owner passes in events with the current time, and
// receives actions. A [Pool] is that owner. It holds the sockets, turns calls and socket results into events, and performs the
// actions in order.
//
//	Acquire  -> an idle connection, or a Waiter and possibly a new handshake
//	Release  -> the connection becomes idle, is granted to a waiter, or is closed
//	Maintain -> expired connections are closed, others are opened in advance
//	HandshakeSucceeded, HandshakeFailed -> a waiter gets the connection, or is rejected
//	SetReady, Retire -> waiters are rejected, idle connections are closed
//
// A [Slot] is one connection, from the start of its handshake until it is closed. An [Endpoint] is one incarnation of a listed
// endpoint: a restart or a new address creates another incarnation, and a slot never moves between incarnations.
//
// Each rule has its own file:
//
//   - idlelimit.go: how long a connection may be idle and still be reused. The limit is learned from the endpoint's closes.
//   - suspect.go: which connections are not trusted after several failures in a row, or after the endpoint closed one while a request
//     was in transit.
//   - quarantine.go: how long a connection carries no request after an answer.
//   - acquire.go: which idle connection a request gets.
//   - handshake.go: when a handshake may start, and for which endpoint.
//   - waiter.go: which requests wait, and which waiter is served first.
//   - preopen.go: which connections are opened before a request needs them.
//
// GET /v1/metrics reports the counters of [Stats] under "connections"; docs/connections.md explains them.
package pool
