package backend

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"ryeweir/internal/emulator/node"
)

// Observer sees what happens to requests at a node. Times count from Config.Epoch. The methods are called without the
// backend's lock, from several goroutines.
type Observer interface {
	// KnownRequest reports whether a caller sent a request under that id.
	KnownRequest(id string) bool
	// RequestArrived says that a request has been read; firstByte is when its first byte came.
	RequestArrived(id, node string, firstByte time.Duration)
	// ExecutionStarted says that a request may have taken effect from now on.
	ExecutionStarted(id, node string, at time.Duration)
	// ResponseProduced gives the hash of the body of a 200: see NewBodyHash.
	ResponseProduced(id string, bodyHash uint64)
	// SlowStartOverloaded says that a node was overloaded in slow start, by agents that had been notified of its start.
	SlowStartOverloaded(node string, at time.Duration)
}

// Config is what a backend is given. All but Listen and Epoch may be left out.
type Config struct {
	Listen   func() (net.Listener, error) // called at the start of each incarnation
	Epoch    time.Time                    // when the node's time is 0
	Observer Observer
	// Unnotified reports whether the sender of a request had not been notified of the node's incarnation that began at started.
	Unnotified       func(requestID, node string, started time.Duration) bool
	RejectUnknown    bool          // a request that no caller sent gets a 400
	IdleTimeout      time.Duration // connections that are idle for so long are closed; 0 for never
	LoadReportMode   string        // piggyback, pull or silent
	LoadReportFields []string
	MaxConns         int // connections served at a time; 0 for 4,096
}

const defaultMaxConns = 4096

// Backend is an order node at an address, through its incarnations. It is safe for concurrent use.
type Backend struct {
	cfg        Config
	goroutines sync.WaitGroup // connections, listeners and the driver
	stop       context.CancelFunc
	wake       chan struct{} // of capacity 1: something has changed for the driver

	mu               sync.Mutex
	node             *node.Node   // the present incarnation, or the last one while the process is down
	listener         net.Listener // nil while the process is down
	conns            map[*conn]struct{}
	lastTicket       uint64
	waiting          map[uint64]*attempt // by ticket
	overloadReported bool                // to the observer, for the present incarnation
	earlierFigures   node.Figures        // of the incarnations before
}

// attempt is a request that was offered to the node. All but done is set before it is shared.
type attempt struct {
	id       string
	ticket   uint64
	verdict  node.Verdict
	executed bool                 // of one that was not accepted: it took effect before it failed
	done     chan node.Completion // of capacity 1; receives once where the verdict is node.Accepted
}

// Start starts a backend with its node's first incarnation. The spec is checked. The backend runs until Close, or until the
// context ends; Close must be called in any case.
func Start(ctx context.Context, cfg Config, spec node.Spec, seed uint64) (*Backend, error) {
	if err := spec.Check(); err != nil {
		return nil, err
	}
	if cfg.MaxConns == 0 {
		cfg.MaxConns = defaultMaxConns
	}
	ctx, stop := context.WithCancel(ctx)
	b := &Backend{
		cfg:     cfg,
		stop:    stop,
		conns:   map[*conn]struct{}{},
		waiting: map[uint64]*attempt{},
		wake:    make(chan struct{}, 1),
	}
	if err := b.startIncarnation(spec, seed); err != nil {
		stop()
		return nil, err
	}
	b.goroutines.Go(func() { b.drive(ctx) })
	return b, nil
}

func (b *Backend) startIncarnation(spec node.Spec, seed uint64) error {
	l, err := b.cfg.Listen()
	if err != nil {
		return fmt.Errorf("node %s: %w", spec.ID, err)
	}
	n := node.New(spec, seed)
	n.Advance(b.now())
	b.mu.Lock()
	b.node, b.listener, b.overloadReported = n, l, false
	b.mu.Unlock()
	b.goroutines.Go(func() { b.accept(l) })
	return nil
}

// Restart begins the next incarnation after Kill. Faults of the earlier one do not carry over.
func (b *Backend) Restart(spec node.Spec, seed uint64) error {
	if err := b.startIncarnation(spec, seed); err != nil {
		return err
	}
	b.wakeDriver()
	return nil
}

// Kill ends the process suddenly: its connections are reset and new ones refused. It does nothing while the process is down.
func (b *Backend) Kill() {
	b.mu.Lock()
	if b.listener == nil {
		b.mu.Unlock()
		return
	}
	l := b.listener
	b.listener = nil
	b.earlierFigures = b.earlierFigures.Add(b.node.Figures())
	conns := make([]*conn, 0, len(b.conns))
	for c := range b.conns {
		conns = append(conns, c)
	}
	b.waiting = map[uint64]*attempt{}
	b.mu.Unlock()
	l.Close()
	for _, c := range conns {
		c.reset()
	}
}

// Close ends the backend and waits for its goroutines.
func (b *Backend) Close() {
	b.Kill()
	b.stop()
	b.goroutines.Wait()
}

// Addr returns the address at which the node listens; empty while the process is down.
func (b *Backend) Addr() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.listener == nil {
		return ""
	}
	return b.listener.Addr().String()
}

// AddFault adds a fault to the node's present incarnation.
func (b *Backend) AddFault(fault node.Fault) {
	b.mu.Lock()
	b.node.AddFault(fault)
	b.mu.Unlock()
	b.wakeDriver()
}

// State is the present state of a node, as only the emulator can know it. While the process is down, only ID and Figures are
// set.
type State struct {
	ID              string
	Up              bool
	InFlight        int
	Conns           int
	Capacity        float64       // work a second
	FailureFraction float64       // share of requests that fail
	Backlog         time.Duration // see node.Node.Backlog
	Cores           int
	HasCapacity     bool // another request would be accepted
	Degraded        bool
	Overloaded      bool
	Figures         node.Figures // of all incarnations
}

// State returns the present state.
func (b *Backend) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.listener == nil {
		return State{ID: b.node.ID, Figures: b.earlierFigures}
	}
	return State{
		ID:              b.node.ID,
		Up:              true,
		InFlight:        b.node.InFlight(),
		Conns:           b.node.Conns(),
		Capacity:        b.node.Capacity(),
		FailureFraction: b.node.FailureFraction(),
		Backlog:         b.node.Backlog(),
		Cores:           b.node.Cores,
		HasCapacity:     b.node.HasCapacity(),
		Degraded:        b.node.Degraded(),
		Overloaded:      b.node.Overloaded(),
		Figures:         b.earlierFigures.Add(b.node.Figures()),
	}
}

// now returns the node's time. The model takes 0 for unset, so it begins at 1.
func (b *Backend) now() time.Duration { return max(1, time.Since(b.cfg.Epoch)) }
