package connlimit

import "time"

// A client that sends requests as fast as they are answered keeps the processor busy, however cheap they are, and all others wait behind it:
// the Go scheduler looks for network events of other connections only when it has nothing else to run, or every 10 ms.
//
// A request that an endpoint served took the time of that endpoint. All others (readiness checks, invalid and rejected requests) may begin on
// each connection at requestRate, with bursts. Beyond that they take turns with those of all other connections over their rate, at turnRate
// together, so that most of the processor stays free whatever such connections send and however many there are. New connections are accepted
// at acceptRate, with bursts, for the same reason.
const (
	requestRate  = 20.0   // requests per second of one connection
	requestBurst = 50.0   // requests
	turnRate     = 500.0  // requests per second of all connections over their rate
	acceptRate   = 1000.0 // new connections per second
	acceptBurst  = 500.0  // new connections

	discardTurnRate = 2000.0 // turns per second of all connections whose input is discarded
)

// bucket is a token bucket. The zero value is full.
type bucket struct {
	used    float64   // tokens that have been taken and not been refilled
	updated time.Time // when used was computed
}

// take takes one token and reports whether there was one.
func (b *bucket) take(now time.Time, rate, burst float64) bool {
	b.used = max(0, b.used-rate*now.Sub(b.updated).Seconds())
	b.updated = now
	if b.used+1 > burst {
		return false
	}
	b.used++
	return true
}

// turns hands out turns at a rate, in the order in which they are asked for.
type turns struct{ next time.Time }

// take returns how long to wait for the next turn, at a number of turns per second.
func (t *turns) take(now time.Time, rate float64) time.Duration {
	if t.next.Before(now) {
		t.next = now
	}
	wait := t.next.Sub(now)
	t.next = t.next.Add(time.Duration(float64(time.Second) / rate))
	return wait
}

// requestDelay returns how long the connection must wait before its next request is read. The lock must be held.
func (c *Conn) requestDelay(now time.Time) time.Duration {
	if c.served || c.requests.take(now, requestRate, requestBurst) {
		return 0
	}
	return c.listener.turns.take(now, turnRate)
}

// acceptDelay returns how long to wait before the next accept. The lock must be held.
func (l *Listener) acceptDelay(now time.Time) time.Duration {
	if l.accepts.take(now, acceptRate, acceptBurst) {
		return 0
	}
	return time.Duration(float64(time.Second) / acceptRate)
}

// heldBackMemory is how long after the listener held something back a request may still have waited for that.
const heldBackMemory = 3 * time.Second

// holdBack records that an accept or a request is held back now. The lock must be held.
func (l *Listener) holdBack(now time.Time) { l.heldBackAt = now }

// heldBackSince reports whether an accept or a request was held back after the given time.
func (l *Listener) heldBackSince(then time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heldBackAt.After(then)
}

// awaitTurn waits until the connection may begin its next request. It is called by the server's goroutine of the connection, between two
// requests.
func (c *Conn) awaitTurn() {
	c.listener.mu.Lock()
	now := time.Now()
	delay := c.requestDelay(now)
	if delay > 0 {
		c.listener.holdBack(now.Add(delay))
	}
	c.listener.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
}
