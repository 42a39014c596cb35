package connlimit

import (
	"time"

	"ryeweir/internal/event"
)

// Eviction decides which connection is closed for a new one when all slots are taken.
//
// Connections in a lingering close are evicted first, then silent ones, then idle ones, then those whose request is still being
// read. Within a rank the connection with the oldest activity is evicted. A connection with a request in flight is never evicted, nor one
// with bytes that have not been read, nor one that has had no time to send its request. The decision depends on each connection's activity,
// whether a handler ever accepted a request on it, and the times of its activity.
//
// This guards against clients that hold all slots without sending a request, so that new clients can't connect. A crowd that comes back as
// soon as it is evicted would evict those who send their requests at once as well, before their requests are read. Accept rather waits.

// firstRequestGrace is how long a connection that has not had a valid request may be inactive before it counts as silent.
const firstRequestGrace = 250 * time.Millisecond

// Protection of connections whose request is being read.
const (
	// requestGrace is how long the client of a connection has to send a request before it may be evicted for others.
	requestGrace = 100 * time.Millisecond
	// unreadGrace is how long a connection with unread bytes is left alone, so that they are read.
	unreadGrace = 20 * time.Millisecond
	// evictionInterval is the time between two searches for a connection to evict while there is none.
	evictionInterval = 5 * time.Millisecond
)

// evictionRank orders connections for eviction; the lowest rank is evicted first.
type evictionRank int

const (
	rankClosing evictionRank = iota // in a lingering close, or discarding: its answer has been written
	rankSilent                      // has had no valid request, and has been inactive for longer than firstRequestGrace
	rankIdle                        // idle after a request
	rankReading                     // a request is being read, or the connection is new
)

// awaitCapacity waits until a slot is free, and evicts connections to free one. It returns false if the listener is closed before
// a slot is free. The lock must be held; it is released during the wait.
func (l *Listener) awaitCapacity() bool {
	if len(l.conns) >= l.maxConnections {
		now := time.Now()
		l.pressure.note(now)
		l.holdBack(now)
	}
	for len(l.conns) >= l.maxConnections && !l.closed {
		if l.evictSome(l.pressure.evictions()) {
			l.capacityFreed.Wait()
			continue
		}
		retry := time.AfterFunc(evictionInterval, l.capacityFreed.Broadcast)
		l.capacityFreed.Wait()
		retry.Stop()
	}
	return len(l.conns) < l.maxConnections
}

// evictSome evicts up to n connections, and reports whether it evicted any or some are on their way. The lock must be held.
func (l *Listener) evictSome(n int) bool {
	for i := range n {
		c := l.evictionCandidate()
		if c == nil {
			return i > 0
		}
		c.evict()
	}
	return true
}

// pressure tells a crowd, which needs one slot after another, from a single connection too many. An eviction takes effect when the connection's
// goroutine has run, so that for a crowd several connections are evicted at a time.
type pressure struct {
	last  time.Time // when all slots were last taken at an accept
	count int       // of such accepts in a row
}

const (
	pressureInterval = 20 * time.Millisecond // the longest time between two accepts of a crowd
	pressureCount    = 16                    // accepts in a row that make a crowd
	crowdEvictions   = 8                     // connections that are evicted at a time for a crowd
)

// note records an accept for which all slots were taken.
func (p *pressure) note(now time.Time) {
	if now.Sub(p.last) > pressureInterval {
		p.count = 0
	}
	p.count, p.last = p.count+1, now
}

// evictions returns how many connections to evict at a time.
func (p *pressure) evictions() int {
	if p.count < pressureCount {
		return 1
	}
	return crowdEvictions
}

// evictionCandidate returns the connection to evict next, or nil if no connection may be evicted. The lock must be held.
func (l *Listener) evictionCandidate() *Conn {
	for {
		now := time.Now()
		candidate := l.leastUseful(now)
		switch {
		case candidate == nil || candidate.closing || candidate.activity == discarding:
			return candidate
		case candidate.evictionRank(now) == rankReading && now.Sub(candidate.activityBegan) < requestGrace:
			return nil
		case !unread(candidate.Conn):
			return candidate
		}
		candidate.protectedUntil = now.Add(unreadGrace)
	}
}

// leastUseful returns the first connection in the order of eviction, or nil if no connection may be evicted. The lock must be held.
func (l *Listener) leastUseful(now time.Time) (candidate *Conn) {
	for c := range l.conns {
		if c.evictable(now) && (candidate == nil || c.evictedBefore(candidate, now)) {
			candidate = c
		}
	}
	return candidate
}

// evictable reports whether the connection may be evicted, and is not already being evicted. The lock must be held.
func (c *Conn) evictable(now time.Time) bool {
	if c.evicting {
		return false
	}
	return c.closing || c.activity != requestInFlight && now.After(c.protectedUntil)
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
	case c.closing, c.activity == discarding:
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
