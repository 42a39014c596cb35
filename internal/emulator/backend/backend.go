package backend

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"ryeweir/internal/emulator/node"
)

// Observer is notified of what happens to requests at a node. Times are relative to Config.Epoch. The methods are called from
// several goroutines, without the backend's lock.
type Observer interface {
	// KnownRequest reports whether a caller sent a request with that ID.
	KnownRequest(id string) bool
	// RequestArrived reports that a request has been read; firstByte is when its first byte arrived.
	RequestArrived(id, node string, firstByte time.Duration)
	// ExecutionStarted reports that a request may have taken effect from at on.
	ExecutionStarted(id, node string, at time.Duration)
	// ResponseProduced reports the hash (see NewBodyHash) of the body of a 200 response.
	ResponseProduced(id string, bodyHash uint64)
	// SlowStartOverloaded reports that a node was overloaded in slow start, mostly by agents that had been notified of its start.
	SlowStartOverloaded(node string, at time.Duration)
}

// Config configures a backend. Only Listen and Epoch are required.
type Config struct {
	Listen   func() (net.Listener, error) // called at the start of each incarnation
	Epoch    time.Time                    // start of the node's time
	Observer Observer
	// Unnotified reports whether the sender of a request had not been notified of the node's incarnation that began at started.
	Unnotified       func(requestID, node string, started time.Duration) bool
	RejectUnknown    bool          // answer requests that are unknown to Observer with 400
	IdleTimeout      time.Duration // after which idle connections are closed; 0 for never
	LoadReportMode   string        // piggyback, pull or silent
	LoadReportFields []string
	MaxConns         int // maximum number of open connections; 0 for 4,096
}

const defaultMaxConns = 4096

// Backend is an order node at one address, with all its incarnations one after the other. It is safe for concurrent use.
type Backend struct {
	cfg        Config
	goroutines sync.WaitGroup // connections, listeners and the driver
	stop       context.CancelFunc
	wake       chan struct{} // has capacity 1; a value tells the driver that something has changed

	mu               sync.Mutex
	node             *node.Node   // the current incarnation, or the last one while the process is down
	listener         net.Listener // nil while the process is down
	conns            map[*conn]struct{}
	lastTicket       uint64
	waiting          map[uint64]*attempt // by ticket
	overloadReported bool                // the observer was notified of the overload of the current incarnation
	earlierFigures   node.Figures        // of all earlier incarnations
}

// attempt is a request that was offered to the node.
type attempt struct {
	id       string
	ticket   uint64
	verdict  node.Verdict
	executed bool                 // it has taken effect although it was not accepted
	done     chan node.Completion // has capacity 1; gets one completion if the verdict is node.Accepted, unless the request is cancelled
}

// Start starts a backend with the first incarnation of its node. It returns an error if the spec does not pass Check. The backend
// runs until Close is called or the context ends; Close must be called in any case.
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

// Restart begins the next incarnation after Kill. It does not inherit the faults of the previous one.
func (b *Backend) Restart(spec node.Spec, seed uint64) error {
	if err := b.startIncarnation(spec, seed); err != nil {
		return err
	}
	b.wakeDriver()
	return nil
}

// Kill emulates the sudden end of the process: its connections are reset and new ones are refused. It does nothing while the
// process is down.
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

// Close stops the backend and waits for its goroutines.
func (b *Backend) Close() {
	b.Kill()
	b.stop()
	b.goroutines.Wait()
}

// Addr returns the address at which the node listens, or "" while the process is down.
func (b *Backend) Addr() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.listener == nil {
		return ""
	}
	return b.listener.Addr().String()
}

// AddFault adds a fault to the current incarnation of the node.
func (b *Backend) AddFault(fault node.Fault) {
	b.mu.Lock()
	b.node.AddFault(fault)
	b.mu.Unlock()
	b.wakeDriver()
}

// State is the true state of a node, which agents cannot observe. While the process is down, only ID and Figures are set. The fields
// without a comment are those of the methods of node.Node.
type State struct {
	ID              string
	Up              bool // the process is running
	InFlight        int
	Conns           int
	Capacity        float64
	FailureFraction float64
	Backlog         time.Duration
	Cores           int
	HasCapacity     bool
	Degraded        bool
	Overloaded      bool
	Figures         node.Figures // sum over all incarnations
}

// State returns the current state.
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

// now returns the node's time. It is at least 1, because the model uses 0 for unset times.
func (b *Backend) now() time.Duration { return max(1, time.Since(b.cfg.Epoch)) }
