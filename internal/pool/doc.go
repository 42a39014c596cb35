// Package pool keeps the agent's connections to endpoints. Each connection carries one request at a time.
//
// The package has two layers. A [Table] makes every decision and does no I/O: events go in with the time, actions come out. A
// [Pool] owns the sockets: it turns calls and socket results into events, and carries out the actions in order.
//
//	Acquire -> idle connection                       Release -> idle, granted to a waiter, or closed
//	        -> Waiter, and maybe a handshake         HandshakeSucceeded, HandshakeFailed
//	Maintain -> close expired, open in advance       SetReady, Retire -> reject waiters, close idle
//
// A [Slot] is one connection, from the start of its handshake until it is closed. An [Endpoint] is one incarnation of a listed
// endpoint: a restart or another address makes a new one, and a slot never moves to another incarnation.
//
// The rules, a file each:
//
//   - idlelimit.go: how long a connection may be idle and be used again. It learns from closes by the endpoint.
//   - suspect.go: which connections are distrusted after a burst of failures.
//   - quarantine.go: how long a connection is unused after an answer.
//   - acquire.go: which idle connection a request gets.
//   - handshake.go: when a handshake may begin, and for whom.
//   - waiter.go: who waits, and who is served first.
//   - preopen.go: which connections are opened before a request needs them.
//
// An engineer on call finds the figures of [Stats] under "connections" in GET /v1/metrics; docs/connections.md explains them.
package pool
