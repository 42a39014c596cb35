package pool

import "time"

// Slot is one connection, from the start of its handshake until it is closed. It is opening, then in use or idle. All times are
// on the agent's clock.
type Slot struct {
	Endpoint *Endpoint
	Conn     *Conn // set by the owner of the table, which does not look into it

	openedAt  time.Duration // when its handshake began, and once it is open, when that succeeded
	expiresAt time.Duration // its age limit; 0: none
	requests  int           // granted for so many, the present one included
	preopened bool          // opened in advance and not used so far

	inIdleList bool
	idleSince  time.Duration
	idleFor    time.Duration // how long it had been idle when it was last granted; 0 when it was new

	answeredAt time.Duration // of the last answer on it; 0: none yet
	provenAt   time.Duration // when an exchange on it last completed, or its handshake did

	// awaitedInQuarantine says that a waiter counts on it, and that a QuarantineEnded is scheduled.
	awaitedInQuarantine bool
}
