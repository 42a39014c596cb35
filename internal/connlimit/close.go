package connlimit

import (
	"errors"
	"io"
	"time"

	"ryeweir/internal/event"
	"ryeweir/internal/invariant"
)

// requestClose has the connection end, unless something is read on it first: its reader is interrupted, and calls Close. The lock
// must be held.
func (c *Conn) requestClose(reason event.Reason) {
	c.closePending, c.closeReason = true, reason
	c.Conn.SetReadDeadline(aLongTimeAgo) // fails only where there is no connection any more
}

// cancelClose withdraws a close that was requested. The lock must be held.
func (c *Conn) cancelClose() {
	if !c.closePending || c.closing {
		return
	}
	c.closePending, c.evicting, c.closeReason = false, false, event.None
	c.Conn.SetReadDeadline(c.readDeadline)
	c.listener.capacityFreed.Signal() // another has to be evicted
}

// Close ends the connection. It does not wait for the client; the slot is free when the underlying connection has closed. Where an
// answer was given that is by a lingering close: closed over unread bytes the connection would be reset, and its client might never
// see that answer. What comes meanwhile is dropped; none of it was read as a request.
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

// checkClose passes the close through the close guard, and records it with its reason. The lock must be held.
func (c *Conn) checkClose() {
	guard := invariant.Close{
		RequestPending:  c.requestID != "" && !c.answerDecided,
		ClientLeft:      c.disconnected,
		AnswerTruncated: c.answerAborted,
	}
	if verdict := guard.Check(); verdict.Denied {
		c.listener.Monitor.Violated(verdict.Rule, c.requestID, "closing for "+c.closeReason.String())
	}
	c.recordAnswerWritten()
	if c.closeReason == event.None {
		c.closeReason = event.AfterAnswer
	}
	c.listener.Events.Record(event.Event{Kind: event.ConnectionClosed, Reason: c.closeReason, Connection: c.number})
}

// recordAnswerWritten records that the answer of the request in flight, if there is one, is out. The lock must be held.
func (c *Conn) recordAnswerWritten() {
	if c.requestID != "" && c.answerDecided {
		c.listener.Events.Record(event.Event{Kind: event.AnswerWritten, Request: c.requestID, Connection: c.number})
	}
	c.requestID, c.answerDecided = "", false
}

// Bounds of a lingering close.
const (
	lingeringCloseTimeout  = 500 * time.Millisecond
	lingeringCloseMaxBytes = 256 << 10
)

// lingeringClose discards what the client still sends until it has closed its side, within bounds of time and bytes, and closes
// the connection then. An eviction ends it early.
func (c *Conn) lingeringClose() {
	deadline := time.Now().Add(lingeringCloseTimeout)
	c.listener.mu.Lock()
	if !c.evicting {
		c.closePending = false
		c.Conn.SetReadDeadline(deadline)
	}
	c.listener.mu.Unlock()
	io.CopyN(io.Discard, c.Conn, lingeringCloseMaxBytes)
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

// errNoHalfClose says that a connection can't be closed in one direction only.
var errNoHalfClose = errors.New("connlimit: the connection can't be half-closed")

// CloseWrite closes the sending side. net/http ends an answer so when the client still sends, so that it can read the answer.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errNoHalfClose
}
