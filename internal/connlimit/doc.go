// Package connlimit bounds the number of open connections of an HTTP server, and tracks for each of them whether it may be
// closed.
//
// A Listener wraps another net.Listener. While fewer connections than its maximum are open, it accepts every new one. When all
// slots are taken, it evicts the least used connection (see Listener.evictionCandidate), so that clients which connect but send
// nothing can't lock out others. A connection with a request in flight is never evicted.
//
// # Life of a connection
//
//	         bytes              BeginRequest               answer written
//	idle ───────────▶ reading ───────────────▶ in flight ─────────────────▶ idle
//	  │                  │                         │
//	  └──────────────────┴────────── Close ────────┘──▶ lingering close ──▶ closed
//
// net/http reports through ConnState that a connection is idle or active. Handlers report the rest through the request's context,
// which ConnContext prepares: BeginRequest when they have accepted a request, BeginAnswer when its answer has been decided, BeginDiscard
// when it has been written before the end of the request and the rest is discarded, and MarkAnswerAborted when the answer was cut short, as it also is by a write that fails. If a handler does not call BeginRequest, as for a
// readiness check or an invalid request, the connection stays in the reading state until net/http reports it idle or closes it.
//
// # Closing a connection
//
// While the HTTP server runs, only the server's goroutine that reads a connection calls Close on it. At the end of the server,
// http.Server.Close calls Close on all connections that are left. All other goroutines request a close, which interrupts a read
// that is blocked. If a byte arrives first, the close is canceled: bytes that were read belong to a request, and a request that was
// read gets an answer. Close calls the check of invariant.Close. If BeginRequest was called on the connection, and the answer was
// not cut short, Close then performs a lingering close (RFC 9112, section 9.6).
//
// # Client disconnects
//
// net/http detects a client disconnect only until the first byte arrives after the request. From then on this package reads ahead
// itself. It returns these bytes to the server later; what exceeds a limit is discarded, and the connection is closed after the answer: see
// readAhead and OnDisconnect.
//
// # Locking
//
// The Listener's lock guards the state of all its connections. No method holds the lock while it waits for the network.
package connlimit
