package pool

import "time"

// Slot is one connection, from the start of its handshake until it is closed. It is first opening, then idle or in use. All times
// are on the agent's clock.
type Slot struct {
	Endpoint *Endpoint
	Conn     *Conn // set by the owner of the table; the table does not use it

	openedAt  time.Duration // start of the handshake while opening, then the time at which the handshake succeeded
	expiresAt time.Duration // age limit; 0 means none
	requests  int           // requests it was granted to, including the current one
	preopened bool          // opened in advance and not used yet

	inIdleList bool
	idleSince  time.Duration
	idleFor    time.Duration // how long it had been idle when last granted, since its last exchange or, before the first, its handshake

	answeredAt    time.Duration // time of the last answer on it; 0 before the first
	lastSuccessAt time.Duration // time of its last completed exchange, or of its handshake before the first

	// awaitedInQuarantine is set while the slot is reserved for a waiter and a QuarantineEnded event is scheduled for it.
	awaitedInQuarantine bool
}
