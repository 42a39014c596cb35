package connlimit

import (
	"net"
	"time"

	"ryeweir/internal/event"
)

// Conn is a connection of a Listener, whose lock guards its state. The package comment describes its life and who may close it.
type Conn struct {
	net.Conn
	listener *Listener
	id       uint64 // of the connection, in events

	activity     activity
	lastActivity time.Time // when the activity began or, while a request is read, when its latest bytes came
	hadRequest   bool      // a valid request has come, now or before
	readDeadline time.Time // as the server set it; in force unless a close is pending
	readAhead    readAhead

	// The request in flight.
	requestID     string // empty when none is
	answerDecided bool   // its answer is about to be written, or on its way out
	answerAborted bool   // its answer broke off, which a lingering close would make look complete
	disconnected  bool   // reading showed that the client has closed or reset the connection

	// The close.
	closePending bool         // a close was requested; a byte that comes before it withdraws the request
	evicting     bool         // its slot is needed: no lingering close
	closing      bool         // Close was called
	closeReason  event.Reason // None while it is not known
}

// activity is what a connection is busy with.
type activity int

const (
	idle            activity = iota // no request has begun
	readingRequest                  // a request has begun that no handler has accepted (yet)
	requestInFlight                 // a request that a handler has accepted awaits its answer
)

// aLongTimeAgo is a deadline that ends a read at once. net/http uses the same time to end its background read.
var aLongTimeAgo = time.Unix(1, 0)

// isAbortDeadline reports whether a deadline is the one by which net/http ends its background read.
func isAbortDeadline(deadline time.Time) bool {
	return !deadline.IsZero() && deadline.Before(aLongTimeAgo.Add(time.Second))
}

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// SetReadDeadline sets the time by which something must be read. While a close is pending only an abort takes effect: any other
// deadline would let the read that was interrupted wait again.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.readDeadline = deadline
	if c.closePending && !isAbortDeadline(deadline) {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Read reads what was read ahead, then from the underlying connection. It marks the connection as reading a request: net/http reports
// one only when its head is complete.
func (c *Conn) Read(p []byte) (int, error) {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	c.readAhead.serverReading = true
	c.stopReadAhead()
	n, ok, err := c.readAhead.take(p)
	if !ok {
		n, err = c.readSocket(p)
	}
	c.readAhead.serverReading = false
	c.readAhead.backgroundReadEnded = n == 1 && isBackgroundRead(p)
	if n > 0 {
		c.bytesReceived()
	}
	c.recordReadError(err)
	return n, err
}

// readSocket reads from the underlying connection. The lock must be held; it is released while waiting.
func (c *Conn) readSocket(p []byte) (n int, err error) {
	for {
		c.listener.mu.Unlock()
		n, err = c.Conn.Read(p)
		c.listener.mu.Lock()
		if !c.shouldRetryBackgroundRead(p, err) {
			return n, err
		}
		c.Conn.SetReadDeadline(time.Time{})
	}
}

// isBackgroundRead reports whether a read into p is net/http's background read, which looks for a client that disconnects while
// its request is handled: the only one of a single byte.
func isBackgroundRead(p []byte) bool { return len(p) == 1 }

// shouldRetryBackgroundRead reports whether net/http's background read failed by a deadline that was meant for another read: the limit
// of a body whose last byte has just come, or a close that was requested before this request was read. net/http takes each failure
// of that read but its own abort for a client that has disconnected, and cancels the request: so the read goes on instead.
// The lock must be held.
func (c *Conn) shouldRetryBackgroundRead(p []byte, err error) bool {
	return isBackgroundRead(p) && timedOut(err) && !isAbortDeadline(c.readDeadline)
}

// bytesReceived updates the state after a read that brought something. The lock must be held.
func (c *Conn) bytesReceived() {
	c.cancelClose()
	if c.activity == requestInFlight {
		if c.readAhead.onDisconnect != nil {
			c.startReadAhead()
		}
		return
	}
	if c.activity == idle && c.hadRequest { // the idle timeout is shorter than a head may take
		c.readDeadline = time.Now().Add(c.listener.HeaderTimeout)
		c.Conn.SetReadDeadline(c.readDeadline)
	}
	c.activity, c.lastActivity = readingRequest, time.Now()
}

// setActivity moves the connection to another activity and withdraws a close that is pending.
func (c *Conn) setActivity(next activity) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.cancelClose()
	c.activity, c.lastActivity = next, time.Now()
	if next == requestInFlight {
		c.hadRequest = true
		return
	}
	c.readAhead.onDisconnect = nil
	c.recordAnswerWritten()
	c.listener.capacityFreed.Signal() // it may be evicted now
}
