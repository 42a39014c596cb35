package discovery

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"ryeweir/internal/core"
	"ryeweir/internal/event"
	"ryeweir/internal/pool"
)

// Sink receives what discovery says. Its methods are called by the goroutine of Run and may block for a moment.
type Sink interface {
	// UpdateEndpoints applies a full snapshot or a watch event. An empty watch event says that discovery is available again.
	UpdateEndpoints(core.EndpointList)
	// DiscoveryUnavailable says that a subscription has ended or could not begin.
	DiscoveryUnavailable()
}

// Config is what a Client works with.
type Config struct {
	Addr                 string       // host and port of discovery
	Agents               int          // in the fleet that shares it
	SubscriptionRequired bool         // follow the list only after Subscribe
	Zones                []string     // names of zones; an endpoint's zone is an index into them
	CachedList           EndpointList // of an earlier process; empty for none
	Seed                 uint64
	Clock                core.Clock
	Dial                 pool.DialFunc // nil: the machine's network
	Sink                 Sink
	Log                  *slog.Logger
	Events               *event.Recorder // nil: none are recorded
}

// Client follows the endpoint list.
type Client struct {
	cfg       Config
	http      *http.Client
	timing    FleetTiming
	subscribe chan struct{} // holds one subscription

	mu            sync.Mutex // guards what follows
	addr          string     // as last set
	cancelSession context.CancelFunc

	// Owned by the goroutine of Run:
	rng         *rand.Rand
	backoff     backoff
	pacing      watchPacing
	sessionAddr string
	known       endpointSet
	unavailable bool // the last request failed
	// subscribed says that a subscription is in force: Subscribe was called, and the sink was not notified of an end since. It
	// outlives a session that ends for another address.
	subscribed      bool
	malformedLogged bool
}

// New returns a client that makes no request before Run.
func New(cfg Config) *Client {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: requestTimeout}).DialContext
	}
	c := &Client{
		cfg:           cfg,
		http:          &http.Client{Transport: &http.Transport{DialContext: cfg.Dial}},
		timing:        FleetTimingFor(cfg.Agents),
		subscribe:     make(chan struct{}, 1),
		addr:          cfg.Addr,
		cancelSession: func() {},
		rng:           rand.New(rand.NewPCG(cfg.Seed, 1)),
		pacing:        watchPacing{timeout: WatchTimeout},
		sessionAddr:   cfg.Addr,
		known:         newEndpointSet(),
	}
	if c.startsFromCache() {
		c.known.version = cfg.CachedList.Version
	}
	return c
}

// startsFromCache reports whether watch events since the cached version are enough, without a full snapshot.
func (c *Client) startsFromCache() bool {
	return len(c.cfg.CachedList.Endpoints) > 0 && (c.cfg.SubscriptionRequired || c.cfg.Agents > smallFleet)
}

// Subscribe begins to follow the list, if Config.SubscriptionRequired. It has no effect while an earlier call waits to be served. It
// does not block and is safe for concurrent use.
func (c *Client) Subscribe() {
	select {
	case c.subscribe <- struct{}{}:
	default:
	}
}

// SetAddress points to another discovery. Requests to the old one end at once. It is safe for concurrent use.
func (c *Client) SetAddress(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr == c.addr {
		return
	}
	c.addr = addr
	c.cancelSession()
}

// Run follows the list until the context ends. It must be called once.
func (c *Client) Run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	c.start(ctx)
	for ctx.Err() == nil {
		c.runSession(ctx)
	}
}

// start gets a first list if one is cached: from discovery, or else the cached one. The cached list may name endpoints that have been
// removed or drain by now, and the agent becomes ready with any list: hence it is the second choice.
func (c *Client) start(ctx context.Context) {
	if len(c.cfg.CachedList.Endpoints) == 0 {
		return
	}
	if !c.cfg.SubscriptionRequired { // else the balancer decides when to poll
		first, cancel := context.WithTimeout(ctx, firstListTimeout)
		defer cancel()
		if c.request(first, fullSnapshot, requestTimeout) == nil {
			return
		}
	}
	c.applyCached()
	c.sleepRandom(ctx, c.timing.StartSpread)
}

// sleepRandom waits for a random time up to longest.
func (c *Client) sleepRandom(ctx context.Context, longest time.Duration) {
	sleep(ctx, time.Duration(c.rng.Float64()*float64(longest)))
}

// sleep waits for a time or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
