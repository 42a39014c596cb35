// Package connlimit bounds how many connections a listener holds. When all places are taken it closes those that are of
// least use, so that nobody keeps the others out by connecting and saying nothing.
package connlimit

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"ryeweir/internal/event"
	"ryeweir/internal/invariant"
)

// longAgo is a deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// Listener is a listener that holds at most so many connections. When it is full it makes room by closing what has
// been without a request for longest: those who connect and say nothing, or ask once and stay, must not keep out the
// others.
type Listener struct {
	net.Listener
	most int

	// Head is how long the head of a request may take that begins on a connection which was resting.
	HeaderTimeout time.Duration
	// Events is told of each connection's accept and close, and of the last byte of each answer. Nil for nobody.
	Events *event.Recorder
	// Monitor is told of a connection that closes over a request without an answer. Nil for nobody.
	Monitor *invariant.Monitor

	mu      sync.Mutex
	room    *sync.Cond
	closed  bool
	latest  time.Time // when the latest connection was accepted
	open    map[*Conn]struct{}
	lingers sync.WaitGroup
}

// Conn is a connection of a Listener, whose lock guards its state.
//
// One goroutine reads it, the server's, and that one alone ends it, by Close. Who wants it ended retires it: that interrupts a
// read that waits, which has taken no byte then. A byte that comes first keeps it, as a request that is read gets its answer.
type Conn struct {
	net.Conn
	table    *Listener
	use      use
	served   bool      // has brought a request that was in order
	retired  bool      // is to end, unless something is read first
	hurry    bool      // its place is needed: it does not linger
	broken   bool      // its last answer broke off, which a lingering close would make look whole
	closing  bool      // Close was called
	since    time.Time // when the use began or, while reading, when the latest bytes came
	deadline time.Time // of reads, as the server set it; in force while it is not retired
	ahead    ahead     // what came behind a request that is open

	number      uint64       // of the connection, in events
	request     string       // id of the request that is open, or whose answer is on its way out
	answered    bool         // its answer has been decided on
	clientGone  bool         // reading showed that the client has closed or reset the connection
	closeReason event.Reason // why it is to close, as far as that is known before it does
}

// use is what a connection is busy with.
type use int

const (
	unused  use = iota // no request has begun
	reading            // one has begun, but is not known to be in order
	inUse              // one that is in order is open: never closed
)

// New returns a listener on l that holds at most so many connections.
func New(l net.Listener, most int) *Listener {
	t := &Listener{Listener: l, most: most, open: map[*Conn]struct{}{}}
	t.room = sync.NewCond(&t.mu)
	return t
}

// Accept takes a connection, and makes room for it when all places are taken.
func (t *Listener) Accept() (net.Conn, error) {
	raw, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.makeRoom() {
		raw.Close()
		return nil, net.ErrClosed
	}
	c := &Conn{Conn: raw, table: t, since: time.Now(), number: t.Events.NextConnectionID()}
	t.open[c] = struct{}{}
	t.latest = c.since
	accepted := event.Event{Kind: event.ConnectionAccepted, Connection: c.number}
	if t.Events.Verbose() {
		accepted.Detail = raw.RemoteAddr().String()
	}
	t.Events.Record(accepted)
	return c, nil
}

// crowdedPart of the places taken is many: then connections close with their answers, so that clients which keep theirs
// for good leave places to others, who could not open any more.
const crowdedPart = 0.4

// NearLimit reports whether many of the places are taken.
func (t *Listener) NearLimit() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(len(t.open)) > crowdedPart*float64(t.most)
}

// makeRoom waits for a free place, and has one freed; false says that the listener has closed before there was one.
func (t *Listener) makeRoom() bool {
	for len(t.open) >= t.most && !t.closed {
		if c := t.leastUseful(); c != nil {
			c.hurry = true
			c.retire(event.CapacityNeeded)
		}
		t.room.Wait()
	}
	return len(t.open) < t.most
}

// startTime is what a connection has for its first bytes, and between them, before it counts as one that brings none.
const startTime = 250 * time.Millisecond

// leastUseful is the connection to close first: one that has brought no request in order and nothing at all for a
// while, then one between requests, then any without a whole request; among like ones that on which nothing has
// happened for longest.
func (t *Listener) leastUseful() (least *Conn) {
	now := time.Now()
	rank := func(c *Conn) int {
		switch {
		case c.closing:
			return -1
		case !c.served && now.Sub(c.since) > startTime:
			return 0
		case c.use == unused && c.served:
			return 1
		}
		return 2
	}
	for c := range t.open {
		if c.use == inUse && !c.closing || c.hurry { // or it is on its way out already
			continue
		}
		if least == nil || rank(c) < rank(least) || rank(c) == rank(least) && c.since.Before(least.since) {
			least = c
		}
	}
	return least
}

// Len is the number of open connections.
func (t *Listener) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// AcceptedSince reports whether a connection has been accepted since then.
func (t *Listener) AcceptedSince(then time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latest.After(then)
}

// CloseIdle retires the connections that have had no request open for so long.
func (t *Listener) CloseIdle(idle time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.open {
		if c.use == unused && !c.closing && time.Since(c.since) >= idle {
			c.retire(event.Draining)
		}
	}
}

// InFlight counts the connections on which an answer is owed or on its way out.
func (t *Listener) InFlight() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.open {
		if c.use == inUse || c.closing {
			n++
		}
	}
	return n
}

// Abort closes all connections as they are, and returns when none lingers.
func (t *Listener) Abort() {
	t.mu.Lock()
	for c := range t.open {
		if !c.closing {
			c.closeReason = event.ProcessEnd
			c.checkClose()
		}
		c.Conn.Close()
	}
	t.mu.Unlock()
	t.lingers.Wait()
}

// retire has the connection end, unless something comes on it first. The lock is held.
func (c *Conn) retire(why event.Reason) {
	c.retired, c.closeReason = true, why
	c.Conn.SetReadDeadline(longAgo) // fails only where there is no connection any more
}

// keep takes that back. The lock is held.
func (c *Conn) keep() {
	if c.retired && !c.closing {
		c.retired, c.hurry, c.closeReason = false, false, event.None
		c.Conn.SetReadDeadline(c.deadline)
		c.table.room.Signal() // another has to make room
	}
}

// SetReadDeadline sets the time by which something must be read.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.deadline = t; c.retired && !interrupts(t) {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// interrupts reports whether a deadline is there to end a read that waits: net/http ends its look for a client that leaves so.
func interrupts(deadline time.Time) bool {
	return !deadline.IsZero() && deadline.Before(longAgo.Add(time.Second))
}

// Close closes the listener, not the connections.
func (t *Listener) Close() error {
	t.mu.Lock()
	t.closed = true
	t.room.Broadcast()
	t.mu.Unlock()
	return t.Listener.Close()
}

// Read marks the connection as being read: net/http tells of a request only when its whole head is there.
func (c *Conn) Read(p []byte) (int, error) {
	t, a := c.table, &c.ahead
	t.mu.Lock()
	defer t.mu.Unlock()
	a.reading = true
	a.stop(c)
	n, err, held := a.take(p)
	for !held {
		t.mu.Unlock()
		n, err = c.Conn.Read(p)
		t.mu.Lock()
		if !c.looksOn(len(p), err) {
			break
		}
		c.Conn.SetReadDeadline(time.Time{})
	}
	a.reading, a.behind = false, n == 1 && len(p) == 1
	if n > 0 {
		c.came()
	}
	c.noteReadError(err)
	return n, err
}

// looksOn reports whether a read that failed is net/http's look for a client that leaves, of one byte, and what ended it was meant
// for another read: the limit of a body whose last byte has just come, or the end of a resting connection in which a request has
// been read meanwhile. Such a look goes on, as net/http takes each of its failures but its own for a client that has left.
func (c *Conn) looksOn(size int, err error) bool {
	return size == 1 && timedOut(err) && !interrupts(c.deadline)
}

// noteReadError takes in why reading failed: the client is gone, or time was over. The lock is held.
func (c *Conn) noteReadError(err error) {
	switch {
	case err == nil:
	case !timedOut(err):
		c.clientGone = true
		if c.closeReason == event.None {
			c.closeReason = event.ClientClosed
		}
	case c.closeReason != event.None:
	case c.use == unused:
		c.closeReason = event.IdleTimeout
	case c.use == reading:
		c.closeReason = event.ReadTimeout
	}
}

// came takes in that something has been read. The lock is held.
func (c *Conn) came() {
	c.keep()
	switch {
	case c.use == inUse:
		if c.ahead.gone != nil {
			c.ahead.start(c)
		}
		return
	case c.use == unused && c.served: // it was allowed to rest for less than a head may take
		c.deadline = time.Now().Add(c.table.HeaderTimeout)
		c.Conn.SetReadDeadline(c.deadline)
	}
	c.use, c.since = reading, time.Now()
}

// Bounds of a lingering close (RFC 9112, section 9.6).
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

// Close ends the connection, and frees its place once it has. Where an answer was given it lingers: closed over bytes that are
// not read it would be reset, and its client might never see that answer. What comes meanwhile is dropped: it was never taken.
func (c *Conn) Close() error {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.closing {
		return nil
	}
	c.ahead.stop(c)
	c.checkClose()
	c.closing, c.since = true, time.Now()
	if !c.served || c.broken || c.CloseWrite() != nil {
		return c.end()
	}
	t.lingers.Go(c.linger)
	return nil
}

// checkClose asks the close guard, and records the close with its reason. The lock is held.
func (c *Conn) checkClose() {
	owed := invariant.Close{RequestPending: c.request != "" && !c.answered, ClientLeft: c.clientGone, AnswerTruncated: c.broken}
	if verdict := owed.Check(); verdict.Denied {
		c.table.Monitor.Violated(verdict.Rule, c.request, "closing for "+c.closeReason.String())
	}
	c.answerWritten()
	if c.closeReason == event.None {
		c.closeReason = event.AfterAnswer
	}
	c.table.Events.Record(event.Event{Kind: event.ConnectionClosed, Reason: c.closeReason, Connection: c.number})
}

// answerWritten records that the answer of the request which was open is out. The lock is held.
func (c *Conn) answerWritten() {
	if c.request != "" && c.answered {
		c.table.Events.Record(event.Event{Kind: event.RequestWritten, Request: c.request, Connection: c.number})
	}
	c.request, c.answered = "", false
}

// linger passes over what comes until the client has closed its side, or for as long as that may take.
func (c *Conn) linger() {
	t, until := c.table, time.Now().Add(lingerTime)
	t.mu.Lock()
	if !c.hurry {
		c.retired = false
		c.Conn.SetReadDeadline(until)
	}
	t.mu.Unlock()
	io.CopyN(io.Discard, c.Conn, lingerBytes)
	t.mu.Lock()
	defer t.mu.Unlock()
	c.end()
}

// end closes the connection and frees its place. The lock is held.
func (c *Conn) end() error {
	if _, open := c.table.open[c]; !open {
		return nil
	}
	delete(c.table.open, c)
	c.table.room.Signal()
	return c.Conn.Close()
}

// NetConn is the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// errNoHalf is a connection that can't be closed to one side only.
var errNoHalf = errors.New("the connection has no half to close")

// CloseWrite lets net/http end an answer so that a client which still sends can read it.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errNoHalf
}

func (c *Conn) now(use use) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.keep()
	c.use, c.since = use, time.Now()
	c.served = c.served || use == inUse
	if use != inUse {
		c.ahead.gone = nil
		c.answerWritten()
		c.table.room.Signal()
	}
}

// ConnState is the http.Server's ConnState: net/http tells it what happens on a connection.
func ConnState(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.now(reading)
	case http.StateIdle:
		c.now(unused)
	}
}

type connKey struct{}

// ConnContext is the http.Server's ConnContext: it lets handlers find the connection of their request.
func ConnContext(ctx context.Context, raw net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, raw)
}

// BeginRequest marks the connection of a request as in use: it is owed an answer. It is given back when net/http has written that.
func BeginRequest(ctx context.Context, request string) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		c.now(inUse)
		c.table.mu.Lock()
		defer c.table.mu.Unlock()
		c.request = request
	}
}

// BeginAnswer says that the answer of the request on a connection has been decided on and is about to be written.
func BeginAnswer(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		c.table.mu.Lock()
		defer c.table.mu.Unlock()
		c.answered = true
	}
}

// ConnectionNumber is the number of a request's connection in events; 0 for none.
func ConnectionNumber(ctx context.Context) uint64 {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		return c.number
	}
	return 0
}

// ClientDisconnected reports whether reading the connection of a request showed that its client has closed it.
func ClientDisconnected(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return false
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.clientGone
}

// OnDisconnect has gone called, once, when the client of a request that has come whole leaves: also where more had come behind the
// request before, which net/http does not look past. It reports whether the client has left already. The watch ends with the
// request.
func OnDisconnect(ctx context.Context, gone func()) (left bool) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		return c.watch(gone)
	}
	return false
}

// AnswerAborted says that the answer under way on the connection of a request has broken off: the close must not look like its end.
func AnswerAborted(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		c.table.mu.Lock()
		defer c.table.mu.Unlock()
		c.broken = true
	}
}
