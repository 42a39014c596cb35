package connlimit

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"ryeweir/internal/event"
	"ryeweir/internal/framing"
	"ryeweir/internal/socket"
)

// Conn is a connection of a Listener. The Listener's lock guards its state. The package comment describes the states of a
// connection and who may close it.
type Conn struct {
	net.Conn
	listener *Listener
	id       uint64 // of the connection, in events

	activity       activity
	activityBegan  time.Time
	lastActivity   time.Time // when the activity began or, while a request is read, when its latest bytes arrived
	protectedUntil time.Time // not evicted before this time, because its bytes are about to be read
	requests       bucket    // that may begin without waiting for a turn
	served         bool      // an endpoint served the latest request
	hadRequest     bool      // a handler has accepted a request on this connection
	readDeadline   time.Time // as set by the server or by bytesReceived; not in force while a close is pending
	readAhead      readAhead
	sender         *socket.Sender            // nil if writes have no stall limit
	wroteAt        atomic.Pointer[time.Time] // when the latest write ended; nil before the first

	// State of the request in flight.
	requestID     string // empty if there is none
	answerDecided bool   // its answer is about to be written, or is being written
	answerAborted bool   // its answer was cut short; a lingering close would make it look complete
	disconnected  bool   // a read has shown that the client closed or reset the connection

	// State of the close.
	closePending bool         // a close was requested; the next byte that arrives cancels it
	evicting     bool         // the slot is needed for a new connection: a lingering close ends at once
	closing      bool         // Close was called
	closeReason  event.Reason // event.None while unknown
}

// activity is the processing state of a connection.
type activity int

const (
	idle            activity = iota // no request has begun
	readingRequest                  // a request has begun, but no handler has accepted it
	requestInFlight                 // a handler has accepted a request, and its answer has not been written completely
	discarding                      // the answer has been written, and what the client still sends of its request is discarded
)

// aLongTimeAgo is a deadline in the past, which interrupts a read. net/http uses the same time to abort its background read.
var aLongTimeAgo = time.Unix(1, 0)

// isAbortDeadline reports whether a deadline is the one with which net/http aborts its background read.
func isAbortDeadline(deadline time.Time) bool {
	return !deadline.IsZero() && deadline.Before(aLongTimeAgo.Add(time.Second))
}

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// SetReadDeadline sets the deadline of reads. While a close is pending, only an abort deadline takes effect at once: any other
// deadline would let the interrupted read block again.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.readDeadline = deadline
	if c.closePending && !isAbortDeadline(deadline) {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Read returns the bytes that were read ahead, and then reads from the underlying connection. It puts the connection into the
// reading state, because net/http reports a request only when its head is complete.
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

// Write writes to the client for as long as the client takes what is written (Listener.StallLimit). An answer that a failed write belongs
// to is cut short.
func (c *Conn) Write(p []byte) (n int, err error) {
	if c.sender != nil {
		n, err = c.sender.Write(p)
	} else {
		n, err = c.Conn.Write(p)
	}
	if err != nil {
		c.writeFailed()
	}
	now := time.Now()
	c.wroteAt.Store(&now)
	return n, err
}

// lastWrite returns when the latest write ended, or the zero time before the first.
func (c *Conn) lastWrite() time.Time {
	if at := c.wroteAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// readSocket reads from the underlying connection. The lock must be held; it is released during the read.
func (c *Conn) readSocket(p []byte) (n int, err error) {
	for {
		c.listener.mu.Unlock()
		n, err = c.Conn.Read(p)
		if isBackgroundRead(p) && errors.Is(err, framing.ErrHeadRefused) {
			c.keepReadAhead(nil, nil, true) // what follows the request in flight is no reason to end that request
			err = c.discardInput()
		}
		c.listener.mu.Lock()
		switch {
		case c.shouldRetryBackgroundRead(p, err):
			c.Conn.SetReadDeadline(time.Time{})
		case timedOut(err) && c.closePending && unread(c.Conn):
			c.cancelClose() // what arrived before the close took effect may be a request
		case timedOut(err) && c.activity == idle && !isAbortDeadline(c.readDeadline) && unread(c.Conn):
			c.readDeadline = time.Now().Add(c.listener.HeaderTimeout) // it arrived before the deadline that has passed took effect
			c.Conn.SetReadDeadline(c.readDeadline)
		default:
			return n, err
		}
	}
}

// unread reports whether bytes of the client wait to be read. It returns false if c has no socket, because that can't be detected then.
func unread(c net.Conn) bool {
	n, err := socket.Peek(c)
	return n > 0 && err == nil
}

// isBackgroundRead reports whether a read into p is net/http's background read, which detects a client disconnect while a handler
// runs. It is the only read with a buffer of one byte.
func isBackgroundRead(p []byte) bool { return len(p) == 1 }

// shouldRetryBackgroundRead reports whether net/http's background read failed by a deadline that was set for another read: the
// limit for a body whose last byte has just arrived, or a close that was requested before this request was read. Unless net/http
// aborted the read itself, it takes any error of this read for a client disconnect and cancels the request. The read is therefore
// repeated. The lock must be held.
func (c *Conn) shouldRetryBackgroundRead(p []byte, err error) bool {
	return isBackgroundRead(p) && timedOut(err) && !isAbortDeadline(c.readDeadline)
}

// bytesReceived updates the state after a read that returned bytes. The lock must be held.
func (c *Conn) bytesReceived() {
	if c.activity == discarding {
		return
	}
	c.cancelClose()
	if c.activity == requestInFlight {
		if c.readAhead.onDisconnect != nil {
			c.startReadAhead()
		}
		return
	}
	if c.activity == idle && c.hadRequest { // the idle timeout in force is shorter than the time that a head may take
		c.readDeadline = time.Now().Add(c.listener.HeaderTimeout)
		c.Conn.SetReadDeadline(c.readDeadline)
	}
	c.enter(readingRequest)
}

// enter records an activity, and when it began or continued. The lock must be held.
func (c *Conn) enter(next activity) {
	c.lastActivity = time.Now()
	if c.activity != next || next == requestInFlight {
		c.activity, c.activityBegan = next, c.lastActivity
	}
}

// setActivity sets the activity and cancels a pending close.
func (c *Conn) setActivity(next activity) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.cancelClose()
	c.enter(next)
	if next != idle {
		c.served = false
	}
	if next == requestInFlight {
		c.hadRequest = true
		return
	}
	c.readAhead.onDisconnect = nil
	c.recordAnswerWritten()
	c.listener.capacityFreed.Signal() // the connection may be evicted now
}
