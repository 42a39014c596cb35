package pool

import "time"

// Endpoint is one incarnation of a listed endpoint. A restart or another address makes a new one, so that no request and no
// evidence of one incarnation reaches the next.
type Endpoint struct {
	ID, Addr  string
	startedAt time.Duration // on the agent's clock; 0: long ago
	index     int           // in the table's endpoints; -1 once it is no longer there

	ready         bool // may get new requests
	notReadySince time.Duration
	retired       bool

	connections         int     // slots open or opening
	handshakes          int     // slots opening
	failedHandshakes    int     // in a row
	idle                []*Slot // by idleSince, the earliest first
	waiters             []*Waiter
	awaitedInQuarantine int // idle slots that waiters count on once their quarantine is over

	idleLimit idleLimit
	suspicion suspicion
	demand    demand
}

// finished reports whether nothing of a retired endpoint is left.
func (e *Endpoint) finished() bool { return e.retired && e.connections == 0 }
