package connlimit

import (
	"time"

	"ryeweir/internal/event"
)

// Eviction decides which connection is closed for a new one when all slots are taken.
//
// Rule: silent connections go first, then idle ones, then those whose request is still being read; within a rank the one with the
// oldest activity. A connection with a request in flight is never evicted.
// Inputs: each connection's activity, whether it ever brought a valid request, and the time since its last activity.
// Guards against: clients that hold all slots without sending a request, which shows as new clients that get no connection.

// firstRequestGrace is how long a connection without a valid request so far may send nothing before it counts as silent.
const firstRequestGrace = 250 * time.Millisecond

// evictionRank orders connections by their use; the lowest is evicted first.
type evictionRank int

const (
	rankClosing evictionRank = iota // in a lingering close: its answer is out
	rankSilent                      // has brought no valid request, and nothing at all for a while
	rankIdle                        // between two requests
	rankReading                     // a request is being read, or the connection is new
)

// awaitCapacity waits until a slot is free, evicting connections for it. It reports false when the listener was closed before
// there was one. The lock must be held; it is released while waiting.
func (l *Listener) awaitCapacity() bool {
	for len(l.conns) >= l.maxConnections && !l.closed {
		if c := l.evictionCandidate(); c != nil {
			c.evict()
		}
		l.capacityFreed.Wait()
	}
	return len(l.conns) < l.maxConnections
}

// evictionCandidate returns the connection to evict next, or nil when none may be. The lock must be held.
func (l *Listener) evictionCandidate() (candidate *Conn) {
	now := time.Now()
	for c := range l.conns {
		if c.evictable() && (candidate == nil || c.evictedBefore(candidate, now)) {
			candidate = c
		}
	}
	return candidate
}

// evictable reports whether a connection may be evicted and is not being evicted yet. The lock must be held.
func (c *Conn) evictable() bool {
	if c.evicting {
		return false
	}
	return c.activity != requestInFlight || c.closing
}

// evictedBefore reports whether c is evicted before other. The lock must be held.
func (c *Conn) evictedBefore(other *Conn, now time.Time) bool {
	rank, otherRank := c.evictionRank(now), other.evictionRank(now)
	if rank != otherRank {
		return rank < otherRank
	}
	return c.lastActivity.Before(other.lastActivity)
}

// evictionRank is the rank of a connection that is evictable. The lock must be held.
func (c *Conn) evictionRank(now time.Time) evictionRank {
	switch {
	case c.closing:
		return rankClosing
	case !c.hadRequest && now.Sub(c.lastActivity) > firstRequestGrace:
		return rankSilent
	case c.activity == idle && c.hadRequest:
		return rankIdle
	}
	return rankReading
}

// evict requests the close of a connection whose slot is needed. The lock must be held.
func (c *Conn) evict() {
	c.evicting = true
	c.requestClose(event.CapacityNeeded)
}

// nearLimitFraction of the slots taken is near the limit. Answers close their connections from there on: clients that keep theirs
// open for good would otherwise leave no slots to those who can't connect any more.
const nearLimitFraction = 0.4

// NearLimit reports whether so many slots are taken that answers should close their connections.
func (l *Listener) NearLimit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(len(l.conns)) > nearLimitFraction*float64(l.maxConnections)
}
