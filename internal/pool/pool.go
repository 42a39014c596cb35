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

// Reasons why Get returns no connection.
var (
	// ErrNotReady says that the endpoint takes no new requests.
	ErrNotReady = errors.New("the endpoint takes no new requests")
	// ErrExhausted says that no place became free in time, or that too many requests wait.
	ErrExhausted = errors.New("the connection pool is exhausted")
	// ErrCanceled says that the caller's deadline passed, or that its context or request ended.
	ErrCanceled = errors.New("the wait for a connection was canceled")
	// ErrConnectFailed says that the endpoint's handshake failed or took too long. It is the only one that is evidence against
	// the endpoint.
	ErrConnectFailed = errors.New("no connection could be opened")
)

// Config is what a Pool works with.
type Config struct {
	Settings          Settings
	ConnectTimeout    time.Duration // for a handshake
	SocketBufferBytes int           // each way, as the kernel is asked for it; 0: the kernel's default
	Seed              uint64
	Clock             core.Clock
	Dial              DialFunc           // nil: the machine's network
	NewState          func(net.Conn) any // makes Conn.State for a new connection
	Events            *event.Recorder    // nil: none are recorded
}

// Pool owns the connections to all endpoints. It is safe for concurrent use.
type Pool struct {
	cfg        Config
	dialCtx    context.Context // of the handshakes; ends with Close
	cancelDial context.CancelFunc
	dials      sync.WaitGroup

	mu        sync.Mutex
	closed    bool
	table     *Table
	endpoints map[string]*Endpoint // by ID, those listed
	startedAt map[*Endpoint]time.Duration
	open      map[*Conn]struct{}
	inspected []*Slot // buffer of Maintain
}

// New returns a pool, which must be closed. The error is that of Settings.Validate.
func New(cfg Config) (*Pool, error) {
	if err := cfg.Settings.Validate(); err != nil {
		return nil, fmt.Errorf("connections: %w", err)
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

// Configure replaces the settings. The error is that of Settings.Validate, and leaves the old ones in force.
func (p *Pool) Configure(settings Settings) error {
	if err := settings.Validate(); err != nil {
		return fmt.Errorf("connections: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cfg.Settings = settings
	p.execute(p.table.Configure(p.cfg.Clock.Now(), settings))
	return nil
}

// UpdateEndpoints applies a full snapshot of the endpoints, or a watch event with those that changed. It returns how many are listed
// and how many of them are ready. A restart or another address makes a new incarnation of an endpoint; connections to the one before
// close when they are released.
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

// updateEndpoint applies the state of one endpoint.
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

// retire ends the present incarnation of an endpoint.
func (p *Pool) retire(now time.Duration, endpoint *Endpoint) {
	p.execute(p.table.Retire(now, endpoint))
	delete(p.endpoints, endpoint.ID)
	delete(p.startedAt, endpoint)
}

// Endpoint returns the present incarnation of an endpoint, or nil.
func (p *Pool) Endpoint(id string) *Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints[id]
}

// AcceptsRequests reports whether an incarnation of an endpoint may get new requests, and if not, since when on the agent's clock.
func (p *Pool) AcceptsRequests(endpoint *Endpoint) (accepts bool, notReadySince time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if endpoint == nil {
		return false, 0
	}
	return endpoint.ready, endpoint.notReadySince
}

// Maintain closes idle connections that must not be used again, and opens connections in advance. The owner calls it about once a
// second.
func (p *Pool) Maintain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inspected = p.table.AppendIdle(p.inspected[:0])
	stale := p.inspected[:0]
	for _, slot := range p.inspected {
		if !slot.Conn.quiet() {
			stale = append(stale, slot)
		}
	}
	p.execute(p.table.Maintain(p.cfg.Clock.Now(), stale))
	clear(p.inspected[:cap(p.inspected)])
}

// Close closes all connections, also those in use, and returns once no handshake is under way.
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
