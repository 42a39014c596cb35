package pool

import "time"

// Endpoint is one incarnation of a listed endpoint. A restart or a new address creates another incarnation, so that neither
// requests nor evidence carry over from the previous one.
type Endpoint struct {
	ID, Addr  string
	startedAt time.Duration // on the agent's clock; 0 means long ago
	index     int           // position in Table.endpoints; -1 once removed

	ready         bool          // accepts new requests
	notReadySince time.Duration // when SetReady or Retire last made it stop accepting requests, on the agent's clock; 0 if neither did
	retired       bool

	connections         int     // slots that are open or opening
	handshakes          int     // slots that are opening
	failedHandshakes    int     // consecutive failures
	idle                []*Slot // ordered by idleSince, earliest first
	waiters             []*Waiter
	awaitedInQuarantine int // idle slots reserved for waiters until their quarantine ends

	idleLimit idleLimit
	suspects  suspectTracker
	demand    demand
}

// removable reports whether the endpoint is retired and has no connection left.
func (e *Endpoint) removable() bool { return e.retired && e.connections == 0 }
