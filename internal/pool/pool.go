// Package pool holds the connections to servers. A Table decides what becomes of them, free of I/O and clock; a Pool carries
// that out. Each connection carries one request at a time.
package pool

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"ryeweir/internal/core"
	"ryeweir/internal/event"
	"ryeweir/internal/socket"
	"ryeweir/logic"
)

// DialFunc opens a connection, as net.Dialer's DialContext does. A connection of a network that is not the machine's says by a
// method Quiet whether it is open with nothing to read, since there is no socket to ask.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Config is what a Pool works with.
type Config struct {
	Settings          Settings
	ConnectTimeout    time.Duration // a connection that is not up by then has failed
	Seed              uint64
	Clock             core.Clock
	Dial              DialFunc           // nil for the machine's network
	NewState          func(net.Conn) any // makes the state of a protocol on a new connection
	Events            *event.Recorder    // nil for nobody
	SocketBufferBytes int                // bytes of a socket's buffer, each way, as the kernel is asked for them; 0 for what it gives
}

// Pool holds the connections to servers.
type Pool struct {
	cfg   Config
	ctx   context.Context // of the handshakes
	stop  context.CancelFunc
	dials sync.WaitGroup

	mu     sync.Mutex
	closed bool
	table  *Table
	nodes  map[string]*Endpoint // by id, those listed
	lives  map[*Endpoint]time.Duration
	open   map[*Conn]struct{}
	looked []*Slot // kept for its room
}

// Conn is a connection to a server.
type Conn struct {
	net.Conn
	State any // of the protocol on it, as Wrap made it
	slot  *Slot
}

// FirstUse reports whether its request is the first on it.
func (c *Conn) FirstUse() bool { return c.slot.uses <= 1 }

// Reasons why there is no connection.
var (
	ErrNotReady      = errors.New("the server takes no new requests")
	ErrExhausted     = errors.New("too many connections are open")
	ErrCanceled      = errors.New("it came too late, or the pool is closing")
	ErrConnectFailed = errors.New("no connection came up")
)

// New returns a pool. It must be closed.
func New(cfg Config) (*Pool, error) {
	if err := cfg.Settings.Validate(); err != nil {
		return nil, fmt.Errorf("connections: %w", err)
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	p := &Pool{cfg: cfg, table: NewTable(cfg.Settings, cfg.Seed), nodes: map[string]*Endpoint{}, lives: map[*Endpoint]time.Duration{},
		open: map[*Conn]struct{}{}}
	p.ctx, p.stop = context.WithCancel(context.Background())
	return p, nil
}

// UpdateEndpoints takes a list or a change of it and returns how many servers are listed and how many of them are ready. A restart or
// another address begins another life of a server: what is open to the one before closes as it comes free.
func (p *Pool) UpdateEndpoints(full bool, members []core.Endpoint) (listed, ready int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	named := make(map[string]bool, len(members))
	for _, m := range members {
		named[m.ID] = true
		n := p.nodes[m.ID]
		if n != nil && (m.State == logic.Removed || n.Addr != m.Addr || p.lives[n] != m.StartedAt) {
			p.retire(now, n)
			n = nil
		}
		if m.State == logic.Removed {
			continue
		}
		if n == nil {
			n = p.table.AddEndpoint(now, m.ID, m.Addr, m.StartedAt)
			p.nodes[m.ID], p.lives[n] = n, m.StartedAt
		}
		if is := m.State == logic.Ready; is != n.ready {
			p.carryOut(p.table.SetReady(now, n, is))
		}
	}
	for id, n := range p.nodes {
		if full && !named[id] {
			p.retire(now, n)
		} else if n.ready {
			ready++
		}
	}
	return len(p.nodes), ready
}

// Configure puts other settings into force.
func (p *Pool) Configure(set Settings) error {
	if err := set.Validate(); err != nil {
		return fmt.Errorf("connections: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cfg.Settings = set
	p.carryOut(p.table.Configure(p.cfg.Clock.Now(), set))
	return nil
}

// retire ends a server's life: nothing new goes to it.
func (p *Pool) retire(now time.Duration, n *Endpoint) {
	p.carryOut(p.table.Retire(now, n))
	delete(p.nodes, n.ID)
	delete(p.lives, n)
}

// Endpoint returns the present life of a server, or nil.
func (p *Pool) Endpoint(id string) *Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.nodes[id]
}

// AcceptsRequests reports whether the server may still get something new in this life, and if not, since when.
func (p *Pool) AcceptsRequests(n *Endpoint) (takes bool, since time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n == nil {
		return false, 0
	}
	return n.ready, n.unready
}

// Get returns a connection to the server that is up by then, or an error that wraps one of the reasons above. Careful is what
// must not repeat: it goes out on a connection that the server may be closing only where no other is to be had. Who is gone
// waits no longer. Put gives the connection back.
func (p *Pool) Get(ctx context.Context, n *Endpoint, careful bool, until time.Time, gone <-chan struct{}) (*Conn, error) {
	for {
		c, w, wait := p.want(n, careful)
		if c != nil {
			return c, nil
		}
		s, why, err := p.wait(ctx, w, wait, until, gone)
		switch {
		case err != nil:
			return nil, err
		case s == nil && why == RejectNotReady:
			return nil, ErrNotReady
		case s == nil && why == RejectCapacity:
			return nil, ErrExhausted
		case s == nil:
			return nil, fmt.Errorf("%w to %s", ErrConnectFailed, n.ID)
		case s.uses <= 1 || s.Conn.quiet():
			return s.Conn, nil
		}
		p.stale(s)
	}
}

// GetLowPriority returns a connection as Get does, for what must not stand in the way of attempts: only where none waits, and one that
// is idle or, while a part of the places is free, a new one.
func (p *Pool) GetLowPriority(ctx context.Context, n *Endpoint, until time.Time) (*Conn, error) {
	p.mu.Lock()
	spare := p.table.AllowsLowPriority(n)
	p.mu.Unlock()
	if !spare {
		return nil, ErrExhausted
	}
	return p.Get(ctx, n, false, until, nil)
}

// want asks for a connection: one that is open and quiet, or a place in the queue.
func (p *Pool) want(n *Endpoint, careful bool) (*Conn, *Waiter, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		now := p.cfg.Clock.Now()
		s, w, actions := p.table.Acquire(now, n, careful)
		p.carryOut(actions)
		if s == nil {
			return nil, w, p.cfg.Settings.AcquireTimeout
		}
		if s.Conn.quiet() {
			return s.Conn, nil, 0
		}
		p.carryOut(p.table.DiscardStale(now, s))
	}
}

func (p *Pool) stale(s *Slot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.carryOut(p.table.DiscardStale(p.cfg.Clock.Now(), s))
}

// wait waits for a waiter's answer: a slot, or why there is none.
func (p *Pool) wait(ctx context.Context, w *Waiter, wait time.Duration, until time.Time, gone <-chan struct{}) (*Slot, CloseReason, error) {
	select {
	case a := <-w.Result: // refused at once
		return a.Slot, a.CloseReason, nil
	default:
	}
	patience := time.NewTimer(min(wait, time.Until(until)))
	defer patience.Stop()
	select {
	case a := <-w.Result:
		return a.Slot, a.CloseReason, nil
	case <-patience.C:
	case <-ctx.Done():
	case <-gone:
		until = time.Time{} // whenever it came up, it would be too late
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case a := <-w.Result: // it came just now
		return a.Slot, a.CloseReason, nil
	default:
	}
	why := p.table.Cancel(p.cfg.Clock.Now(), w)
	if ctx.Err() != nil || !time.Now().Before(until) {
		return nil, why, ErrCanceled
	}
	return nil, why, nil
}

// Put gives a connection back, and says how its exchange left it.
func (p *Pool) Put(c *Conn, how ReleaseOutcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.carryOut(p.table.Release(p.cfg.Clock.Now(), c.slot, how))
}

// Maintain closes idle connections that will not be used again.
func (p *Pool) Maintain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.looked = p.table.AppendIdle(p.looked[:0])
	stale := p.looked[:0]
	for _, s := range p.looked {
		if !s.Conn.quiet() {
			stale = append(stale, s)
		}
	}
	p.carryOut(p.table.Maintain(p.cfg.Clock.Now(), stale))
	clear(p.looked[:cap(p.looked)])
}

// Close closes all connections, also those in use, and returns when no handshake is under way.
func (p *Pool) Close() {
	p.stop()
	p.mu.Lock()
	p.closed = true
	p.carryOut(p.table.Shutdown(p.cfg.Clock.Now()))
	for c := range p.open {
		c.Close()
	}
	p.mu.Unlock()
	p.dials.Wait()
}

// carryOut does what the table has decided. None of it waits.
func (p *Pool) carryOut(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case Open:
			s := a.Slot
			p.dials.Go(func() { p.connect(s) })
		case Close:
			delete(p.open, a.Slot.Conn)
			a.Slot.Conn.Close()
			p.cfg.Events.Record(event.Event{Kind: event.UpstreamClosed, Reason: closeReasons[a.CloseReason], Endpoint: a.Slot.Endpoint.ID})
		case Grant, Reject:
			a.Waiter.Result <- a
		case ScheduleQuarantineEnd:
			time.AfterFunc(a.Delay, func() { p.rested(a.Slot) })
		}
	}
}

// closeReasons are the table's reasons of a close as reasons of events.
var closeReasons = [...]event.Reason{
	CloseIdle:      event.IdleTimeout,
	CloseAge:       event.AgeLimit,
	CloseStale:     event.StaleConnection,
	CloseSuspected: event.SuspectConnection,
	CloseCrossed:   event.CrossedClose,
	CloseBroken:    event.BrokenExchange,
	CloseRetired:   event.EndpointRetired,
	CloseCapacity:  event.CapacityNeeded,
	CloseShutdown:  event.ProcessEnd,
}

// rested tells the table that a slot has rested. After the pool has closed that changes nothing.
func (p *Pool) rested(s *Slot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.carryOut(p.table.QuarantineEnded(p.cfg.Clock.Now(), s))
}

// connect does a slot's handshake.
func (p *Pool) connect(s *Slot) {
	ctx, cancel := context.WithTimeout(p.ctx, p.cfg.ConnectTimeout)
	defer cancel()
	raw, err := p.cfg.Dial(ctx, "tcp", s.Endpoint.Addr)
	if err == nil {
		if err = socket.SetBufferSizes(raw, p.cfg.SocketBufferBytes); err != nil {
			raw.Close()
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && p.closed {
		raw.Close()
		err = ErrCanceled
	}
	if err != nil {
		p.cfg.Events.Record(event.Event{Kind: event.UpstreamClosed, Reason: event.ConnectFailed, Endpoint: s.Endpoint.ID, Detail: err.Error()})
		p.carryOut(p.table.HandshakeFailed(p.cfg.Clock.Now(), s, ownLack(err)))
		return
	}
	opened := event.Event{Kind: event.UpstreamOpened, Endpoint: s.Endpoint.ID}
	if p.cfg.Events.Verbose() {
		opened.Detail = raw.LocalAddr().String()
	}
	p.cfg.Events.Record(opened)
	s.Conn = &Conn{Conn: raw, State: p.cfg.NewState(raw), slot: s}
	p.open[s.Conn] = struct{}{}
	p.carryOut(p.table.HandshakeSucceeded(p.cfg.Clock.Now(), s))
}

// ownLacks are the errors of socket(2) and connect(2) that come from this machine and not from the server or the way to it.
var ownLacks = [...]error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EPERM}

// ownLack reports whether a connect failed for what the agent itself lacks.
func ownLack(err error) bool {
	return slices.ContainsFunc(ownLacks[:], func(lack error) bool { return errors.Is(err, lack) })
}

// quiet reports whether an idle connection is open and nothing has come on it. A server that died or closed it shows here,
// before a request is risked on it.
func (c *Conn) quiet() bool {
	if q, ok := c.Conn.(interface{ Quiet() bool }); ok {
		return q.Quiet()
	}
	_, err := socket.Peek(c.Conn)
	return errors.Is(err, syscall.EAGAIN)
}
