// Package connlimit bounds the number of connections of an HTTP server and knows, for each of them, whether it may be closed.
//
// A Listener wraps another net.Listener. While fewer than its maximum are open it accepts freely. When all slots are taken it
// evicts the connection of least use (see Listener.evictionCandidate), so that clients which connect and send nothing can't lock
// out the others. A connection with a request in flight is never evicted.
//
// # Life of a connection
//
//	         bytes              BeginRequest               answer written
//	idle ───────────▶ reading ───────────────▶ in flight ─────────────────▶ idle
//	  │                  │                         │
//	  └──────────────────┴────────── Close ────────┘──▶ lingering close ──▶ closed
//
// net/http reports idle and active connections by ConnState; handlers report the rest through the request's context, which
// ConnContext prepares: BeginRequest when a request has been accepted for service, BeginAnswer when its answer has been decided
// on, MarkAnswerAborted when that answer broke off. A request that no handler reports (a readiness check, a malformed request) leaves
// its connection in the reading state until net/http reports it idle or closes it.
//
// # Who closes
//
// One goroutine reads a connection, that of the HTTP server, and it alone calls Close. Everybody else requests a close, which
// interrupts a read that waits. If a byte arrives first the request is withdrawn: bytes that were read belong to a request, and a
// request that was read gets its answer. Close itself goes through the close guard (invariant.Close) and, where an answer was
// given, through a lingering close (RFC 9112, section 9.6).
//
// # Clients that disconnect
//
// net/http notices that a client disconnects only until a first byte follows the request. From there on the package reads ahead itself,
// within a bound, and hands these bytes to the server later: see readAhead and OnDisconnect.
//
// One lock, the Listener's, guards the state of all its connections. No method holds it while it waits for the network.
package connlimit
