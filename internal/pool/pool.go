package pool

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"ryeweir/internal/core"
	"ryeweir/internal/event"
	"ryeweir/logic"
)

// Errors of Get.
var (
	// ErrNotReady means that the endpoint accepts no new requests: it is draining, was removed, has restarted or changed its address since
	// the caller got it, or is not listed (nil), or the pool is closed. The error does not say which of these it is.
	ErrNotReady = errors.New("endpoint accepts no new requests")
	// ErrExhausted means that no connection became available within Settings.AcquireTimeout, that too many requests were waiting
	// already, or that the agent lacked a resource or permission to open one.
	ErrExhausted = errors.New("connection pool exhausted")
	// ErrCanceled means that the caller's deadline passed, its context ended, or its request was abandoned.
	ErrCanceled = errors.New("wait for a connection canceled")
	// ErrConnectFailed means that the handshake with the endpoint failed or took too long. It is the only one of these errors that
	// counts as evidence against the endpoint.
	ErrConnectFailed = errors.New("could not open a connection")
)

// Config configures a Pool.
type Config struct {
	Settings          Settings
	ConnectTimeout    time.Duration // limit on one handshake
	SocketBufferBytes int           // size requested from the kernel for each direction; 0 leaves the kernel's default
	Seed              uint64
	Clock             core.Clock
	Dial              DialFunc           // nil dials the real network
	NewState          func(net.Conn) any // creates Conn.State for a new connection
	Events            *event.Recorder    // nil records none
}

// Pool holds the connections to all endpoints and carries out the decisions of a Table. It is safe for concurrent use.
type Pool struct {
	cfg        Config
	dialCtx    context.Context // parent of every handshake's context; canceled by Close
	cancelDial context.CancelFunc
	dials      sync.WaitGroup

	mu        sync.Mutex
	closed    bool
	table     *Table
	endpoints map[string]*Endpoint        // the listed endpoints by ID
	startedAt map[*Endpoint]time.Duration // start times of the listed endpoints, as listed
	open      map[*Conn]struct{}          // all open connections, idle and in use
	idleSlots []*Slot                     // buffer reused by Maintain
}

// New returns a pool. The caller must close it. New fails if Settings.Validate does.
func New(cfg Config) (*Pool, error) {
	if err := cfg.Settings.Validate(); err != nil {
		return nil, fmt.Errorf("invalid connection settings: %w", err)
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	p := &Pool{
		cfg:       cfg,
		table:     NewTable(cfg.Settings, cfg.Seed),
		endpoints: map[string]*Endpoint{},
		startedAt: map[*Endpoint]time.Duration{},
		open:      map[*Conn]struct{}{},
	}
	p.dialCtx, p.cancelDial = context.WithCancel(context.Background())
	return p, nil
}

// Configure replaces the settings. If Settings.Validate fails, Configure returns its error and the old settings stay in force.
func (p *Pool) Configure(settings Settings) error {
	if err := settings.Validate(); err != nil {
		return fmt.Errorf("invalid connection settings: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cfg.Settings = settings
	p.execute(p.table.Configure(p.cfg.Clock.Now(), settings))
	return nil
}

// UpdateEndpoints applies a full snapshot of the endpoints or, if full is false, a watch event with the changed ones. It returns
// the number of listed endpoints and how many of them are ready. A restart or a new address creates a new incarnation of an
// endpoint; connections to the previous incarnation are closed when they are released.
func (p *Pool) UpdateEndpoints(full bool, members []core.Endpoint) (listed, ready int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	inSnapshot := make(map[string]bool, len(members))
	for i := range members {
		inSnapshot[members[i].ID] = true
		p.updateEndpoint(now, &members[i])
	}
	for id, endpoint := range p.endpoints {
		if full && !inSnapshot[id] {
			p.retire(now, endpoint)
		} else if endpoint.ready {
			ready++
		}
	}
	return len(p.endpoints), ready
}

// updateEndpoint applies the listed state of one endpoint.
func (p *Pool) updateEndpoint(now time.Duration, member *core.Endpoint) {
	endpoint := p.endpoints[member.ID]
	if endpoint != nil && (member.State == logic.Removed || endpoint.Addr != member.Addr || p.startedAt[endpoint] != member.StartedAt) {
		p.retire(now, endpoint)
		endpoint = nil
	}
	if member.State == logic.Removed {
		return
	}
	if endpoint == nil {
		endpoint = p.table.AddEndpoint(now, member.ID, member.Addr, member.StartedAt)
		p.endpoints[member.ID], p.startedAt[endpoint] = endpoint, member.StartedAt
	}
	if ready := member.State == logic.Ready; ready != endpoint.ready {
		p.execute(p.table.SetReady(now, endpoint, ready))
	}
}

// retire ends the current incarnation of an endpoint.
func (p *Pool) retire(now time.Duration, endpoint *Endpoint) {
	p.execute(p.table.Retire(now, endpoint))
	delete(p.endpoints, endpoint.ID)
	delete(p.startedAt, endpoint)
}

// Endpoint returns the current incarnation of a listed endpoint, or nil if it is not listed.
func (p *Pool) Endpoint(id string) *Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints[id]
}

// AcceptsRequests reports whether an incarnation of an endpoint accepts new requests. notReadySince is the time on the agent's clock
// at which an update of the endpoint list last made it stop. It is 0 if endpoint is nil or no update did; Close does not set it.
func (p *Pool) AcceptsRequests(endpoint *Endpoint) (accepts bool, notReadySince time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if endpoint == nil {
		return false, 0
	}
	return endpoint.ready, endpoint.notReadySince
}

// Maintain closes idle connections that must not be reused and opens connections in advance. The owner calls it about once a
// second.
func (p *Pool) Maintain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleSlots = p.table.AppendIdle(p.idleSlots[:0])
	stale := p.idleSlots[:0]
	for _, slot := range p.idleSlots {
		if !slot.Conn.openWithoutInput() {
			stale = append(stale, slot)
		}
	}
	p.execute(p.table.Maintain(p.cfg.Clock.Now(), stale))
	clear(p.idleSlots[:cap(p.idleSlots)])
}

// Close closes all connections, including those in use, and waits until no handshake is in progress.
func (p *Pool) Close() {
	p.cancelDial()
	p.mu.Lock()
	p.closed = true
	p.execute(p.table.Shutdown())
	for conn := range p.open {
		conn.Close()
	}
	p.mu.Unlock()
	p.dials.Wait()
}
