package connlimit

import (
	"errors"
	"io"
	"time"

	"ryeweir/internal/event"
	"ryeweir/internal/invariant"
)

// requestClose interrupts the read that is blocked on the connection, so that its reader calls Close. A byte that arrives first
// cancels the close. The lock must be held.
func (c *Conn) requestClose(reason event.Reason) {
	c.closePending, c.closeReason = true, reason
	c.Conn.SetReadDeadline(aLongTimeAgo) // fails only if the connection is already closed
}

// cancelClose cancels a pending close. The lock must be held.
func (c *Conn) cancelClose() {
	if !c.closePending || c.closing {
		return
	}
	c.closePending, c.evicting, c.closeReason = false, false, event.None
	c.Conn.SetReadDeadline(c.readDeadline)
	c.listener.capacityFreed.Signal() // another connection has to be evicted
}

// Close closes the connection. It does not wait for the client; the slot is free when the underlying connection has been closed.
// If a handler has accepted a request on the connection, and its answer was not cut short, Close performs a lingering close: closing
// a socket that has unread bytes resets the connection, and the client might never see the answer. The bytes that arrive during a
// lingering close are discarded; none of them was read as a request.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.closing {
		return nil
	}
	c.stopReadAhead()
	c.checkClose()
	c.closing, c.lastActivity = true, time.Now()
	if !c.hadRequest || c.answerAborted || c.CloseWrite() != nil {
		return c.release()
	}
	c.listener.lingeringCloses.Go(c.lingeringClose)
	return nil
}

// checkClose calls the check of invariant.Close, and records the close with its reason. A close that the check denies is counted as
// a violation and takes place nevertheless. The lock must be held.
func (c *Conn) checkClose() {
	operation := invariant.Close{
		RequestPending:  c.requestID != "" && !c.answerDecided,
		ClientLeft:      c.disconnected,
		AnswerTruncated: c.answerAborted,
	}
	if check := operation.Check(); check.Denied {
		c.listener.Monitor.Violated(check.Rule, c.requestID, "connection closed with reason "+c.closeReason.String())
	}
	c.recordAnswerWritten()
	if c.closeReason == event.None {
		c.closeReason = event.AfterAnswer
	}
	c.listener.Events.Record(event.Event{Kind: event.ConnectionClosed, Reason: c.closeReason, Connection: c.id})
}

// recordAnswerWritten records that the answer to the request in flight, if there is one, has been written. The lock must be held.
func (c *Conn) recordAnswerWritten() {
	if c.requestID != "" && c.answerDecided {
		c.listener.Events.Record(event.Event{Kind: event.AnswerWritten, Request: c.requestID, Connection: c.id})
	}
	c.requestID, c.answerDecided = "", false
}

// Limits of a lingering close.
const (
	lingeringCloseTimeout  = 500 * time.Millisecond
	lingeringCloseMaxBytes = 256 << 10
)

// lingeringClose discards what the client still sends until the client closes its side, or until the limit in time or bytes is
// reached. Then it closes the connection. An eviction ends it early.
func (c *Conn) lingeringClose() {
	deadline := time.Now().Add(lingeringCloseTimeout)
	c.listener.mu.Lock()
	if !c.evicting {
		c.closePending = false
		c.Conn.SetReadDeadline(deadline)
	}
	c.listener.mu.Unlock()
	io.CopyN(io.Discard, c.belowFraming(), lingeringCloseMaxBytes)
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.release()
}

// release closes the underlying connection and frees its slot. The lock must be held.
func (c *Conn) release() error {
	if _, open := c.listener.conns[c]; !open {
		return nil
	}
	delete(c.listener.conns, c)
	c.listener.capacityFreed.Signal()
	return c.Conn.Close()
}

// errNoHalfClose is returned if the underlying connection does not support closing only the sending side.
var errNoHalfClose = errors.New("connlimit: underlying connection does not support half-close")

// CloseWrite closes the sending side. net/http calls it after an answer while the client is still sending, so that the client can
// read the answer.
func (c *Conn) CloseWrite() error {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return halfCloser.CloseWrite()
	}
	return errNoHalfClose
}
