package connlimit

import (
	"net"
	"sync"
	"time"

	"ryeweir/internal/event"
	"ryeweir/internal/invariant"
	"ryeweir/internal/socket"
)

// Listener is a net.Listener with a bounded number of open connections. Its exported fields must be set before the first Accept.
type Listener struct {
	net.Listener

	// HeaderTimeout limits how long the client may take to send the head of a request that begins on an idle connection.
	HeaderTimeout time.Duration
	// StallLimit limits how long writes may wait for a client. With the zero value they may wait until their deadline.
	StallLimit socket.StallLimit
	// Events records the accept and the close of each connection, and the end of each answer. It may be nil, as the methods of a
	// nil Recorder that are called here do nothing.
	Events *event.Recorder
	// Monitor counts connections that are closed while a request has no answer. It may be nil; a nil Monitor does nothing.
	Monitor *invariant.Monitor

	clock clockCheck

	mu              sync.Mutex // guards the fields below, and the state of each Conn
	maxConnections  int
	capacityFreed   *sync.Cond // signaled when a slot is free, or when a connection that could not be evicted before can be
	closed          bool
	lastAccept      time.Time
	accepts         bucket    // of new connections that are accepted without a pause
	heldBackAt      time.Time // when an accept or a request was last held back
	pressure        pressure  // of accepts for which all slots were taken
	turns           turns     // of connections over their rate of requests
	discards        turns     // of connections whose input is discarded
	conns           map[*Conn]struct{}
	lingeringCloses sync.WaitGroup
}

// New returns a listener that accepts from inner and holds at most maxConnections open connections.
func New(inner net.Listener, maxConnections int) *Listener {
	l := &Listener{Listener: inner, maxConnections: maxConnections, conns: map[*Conn]struct{}{}}
	l.capacityFreed = sync.NewCond(&l.mu)
	return l
}

// SetMaxConnections changes the limit on open connections. Those over a lower limit stay open until Accept evicts them.
func (l *Listener) SetMaxConnections(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxConnections = limit
	l.capacityFreed.Broadcast()
}

// Accept returns the next connection, a *Conn. If all slots are taken, it evicts a connection and waits until a slot is free. If
// Close is called before a slot is free, it closes the new connection and returns net.ErrClosed. A connection that
// was taken from the inner listener before Close and finds a free slot is still returned. Errors of the inner listener are returned as
// they are.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pauseAccepts()
	if !l.awaitCapacity() {
		raw.Close()
		return nil, net.ErrClosed
	}
	now := time.Now()
	c := &Conn{Conn: raw, listener: l, activityBegan: now, lastActivity: now, id: l.Events.NextConnectionID()}
	if l.StallLimit.Timeout > 0 {
		c.sender = socket.NewSender(raw, l.StallLimit)
	}
	l.conns[c] = struct{}{}
	l.lastAccept = c.lastActivity
	l.recordAccept(c)
	return c, nil
}

// pauseAccepts keeps accepts to their rate. The lock must be held; it is released during the pause.
func (l *Listener) pauseAccepts() {
	now := time.Now()
	if delay := l.acceptDelay(now); delay > 0 {
		l.holdBack(now)
		l.mu.Unlock()
		time.Sleep(delay)
		l.mu.Lock()
	}
}

// recordAccept records the accept of a connection, with the client's address if events are logged. The lock must be held.
func (l *Listener) recordAccept(c *Conn) {
	accepted := event.Event{Kind: event.ConnectionAccepted, Connection: c.id}
	if l.Events.Verbose() {
		accepted.Detail = c.RemoteAddr().String()
	}
	l.Events.Record(accepted)
}

// Close closes the listener. Its connections stay open.
func (l *Listener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.capacityFreed.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// Abort closes all connections at once, without a lingering close, and waits until every lingering close that had begun has
// ended.
func (l *Listener) Abort() {
	l.mu.Lock()
	for c := range l.conns {
		if !c.closing {
			c.closeReason = event.ProcessEnd
			c.checkClose()
		}
		c.Conn.Close()
	}
	l.mu.Unlock()
	l.lingeringCloses.Wait()
}

// CloseIdle requests the close of each connection that has been idle for at least minIdle. A connection on which a request
// arrives before the close stays open.
func (l *Listener) CloseIdle(minIdle time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.activity == idle && !c.closing && time.Since(c.lastActivity) >= minIdle {
			c.requestClose(event.Draining)
		}
	}
}

// ShareUnsent divides a number of bytes among the open connections, as the bound on what the kernel holds of their unsent answers. At the end
// of a process the answers that are left may take what all connections could, so that the kernel delivers them after it.
func (l *Listener) ShareUnsent(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		socket.BoundUnsent(c.Conn, bytes/len(l.conns))
	}
}

// Len returns the number of open connections, including those in a lingering close.
func (l *Listener) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// InFlight returns the number of connections on which an answer may still be due or on its way: those with a request in flight,
// and all those in a lingering close, because the end of their last answer may not have reached the client.
func (l *Listener) InFlight() (count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.activity == requestInFlight || c.activity == discarding || c.closing {
			count++
		}
	}
	return count
}

// AcceptedSince reports whether a connection was accepted after the given time.
func (l *Listener) AcceptedSince(then time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastAccept.After(then)
}
