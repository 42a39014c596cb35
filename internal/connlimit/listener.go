package connlimit

import (
	"net"
	"sync"
	"time"

	"ryeweir/internal/event"
	"ryeweir/internal/invariant"
)

// Listener is a net.Listener with a bounded number of open connections. Its exported fields must be set before the first Accept.
type Listener struct {
	net.Listener

	// HeaderTimeout is how long the head of a request may take that begins on a connection which was idle.
	HeaderTimeout time.Duration
	// Events records each connection's accept and close, and the last byte of each answer. It may be nil.
	Events *event.Recorder
	// Monitor counts connections that close over a request without an answer. It may be nil.
	Monitor *invariant.Monitor

	maxConnections int

	mu              sync.Mutex // guards what follows, and the state of each Conn
	capacityFreed   *sync.Cond // signaled when a connection closes, or may be evicted again
	closed          bool
	lastAccept      time.Time
	conns           map[*Conn]struct{}
	lingeringCloses sync.WaitGroup
}

// New returns a listener on inner that holds at most maxConnections open connections.
func New(inner net.Listener, maxConnections int) *Listener {
	l := &Listener{Listener: inner, maxConnections: maxConnections, conns: map[*Conn]struct{}{}}
	l.capacityFreed = sync.NewCond(&l.mu)
	return l
}

// Accept returns the next connection, a *Conn. When all slots are taken it evicts one first, and waits until that has closed. It
// returns net.ErrClosed once the listener is closed and no slot is free.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.awaitCapacity() {
		raw.Close()
		return nil, net.ErrClosed
	}
	c := &Conn{Conn: raw, listener: l, lastActivity: time.Now(), id: l.Events.NextConnectionID()}
	l.conns[c] = struct{}{}
	l.lastAccept = c.lastActivity
	l.recordAccept(c)
	return c, nil
}

func (l *Listener) recordAccept(c *Conn) {
	accepted := event.Event{Kind: event.ConnectionAccepted, Connection: c.id}
	if l.Events.Verbose() {
		accepted.Detail = c.RemoteAddr().String()
	}
	l.Events.Record(accepted)
}

// Close closes the listener; its connections stay open.
func (l *Listener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.capacityFreed.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// Abort closes all connections at once, without lingering, and returns when every lingering close has ended.
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

// CloseIdle requests the close of each connection that has been idle for minIdle or longer. One on which a request arrives first
// stays open.
func (l *Listener) CloseIdle(minIdle time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.activity == idle && !c.closing && time.Since(c.lastActivity) >= minIdle {
			c.requestClose(event.Draining)
		}
	}
}

// Len returns the number of open connections, those in a lingering close included.
func (l *Listener) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// InFlight returns the number of connections that await an answer or on which one is still being sent.
func (l *Listener) InFlight() (count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.activity == requestInFlight || c.closing {
			count++
		}
	}
	return count
}

// AcceptedSince reports whether a connection has been accepted after the given time.
func (l *Listener) AcceptedSince(then time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastAccept.After(then)
}
