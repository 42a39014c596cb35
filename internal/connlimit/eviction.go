package connlimit

import (
	"time"

	"ryeweir/internal/event"
)

// Eviction decides which connection is closed for a new one when all slots are taken.
//
// Connections in a lingering close are evicted first, then silent ones, then idle ones, then those whose request is still being
// read. Within a rank the connection with the oldest activity is evicted. A connection with a request in flight is never evicted.
// The decision depends on each connection's activity, whether a handler ever accepted a request on it, and the time since its
// last activity.
//
// This guards against clients that hold all slots without sending a request, so that new clients can't connect.

// firstRequestGrace is how long a connection that has not had a valid request may be inactive before it counts as silent.
const firstRequestGrace = 250 * time.Millisecond

// evictionRank orders connections for eviction; the lowest rank is evicted first.
type evictionRank int

const (
	rankClosing evictionRank = iota // in a lingering close: its answer has been written
	rankSilent                      // has had no valid request, and has been inactive for longer than firstRequestGrace
	rankIdle                        // idle after a request
	rankReading                     // a request is being read, or the connection is new
)

// awaitCapacity waits until a slot is free, and evicts connections to free one. It returns false if the listener is closed before
// a slot is free. The lock must be held; it is released during the wait.
func (l *Listener) awaitCapacity() bool {
	for len(l.conns) >= l.maxConnections && !l.closed {
		if c := l.evictionCandidate(); c != nil {
			c.evict()
		}
		l.capacityFreed.Wait()
	}
	return len(l.conns) < l.maxConnections
}

// evictionCandidate returns the connection to evict next, or nil if no connection may be evicted. The lock must be held.
func (l *Listener) evictionCandidate() (candidate *Conn) {
	now := time.Now()
	for c := range l.conns {
		if c.evictable() && (candidate == nil || c.evictedBefore(candidate, now)) {
			candidate = c
		}
	}
	return candidate
}

// evictable reports whether the connection may be evicted, and is not already being evicted. The lock must be held.
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

// evictionRank returns the rank of an evictable connection. The lock must be held.
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

// evict requests the close of a connection because its slot is needed. The lock must be held.
func (c *Conn) evict() {
	c.evicting = true
	c.requestClose(event.CapacityNeeded)
}

// nearLimitFraction is the fraction of taken slots above which answers close their connections. Otherwise clients that keep their
// connections open forever would leave no slots for new clients.
const nearLimitFraction = 0.4

// NearLimit reports whether so many slots are taken that answers should close their connections.
func (l *Listener) NearLimit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(len(l.conns)) > nearLimitFraction*float64(l.maxConnections)
}
