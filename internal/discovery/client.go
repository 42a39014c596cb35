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

// Sink receives endpoint lists and is notified of outages. The goroutine of Run calls its methods, which may block briefly.
type Sink interface {
	// UpdateEndpoints applies a full snapshot or a watch event. An empty watch event means that discovery is available again.
	UpdateEndpoints(core.EndpointList)
	// DiscoveryUnavailable reports that a subscription has ended or could not be established.
	DiscoveryUnavailable()
}

// Config is the configuration of a Client.
type Config struct {
	Addr                 string       // host and port of discovery
	Agents               int          // number of agents that share this discovery service
	SubscriptionRequired bool         // watch the list only after a call of Subscribe
	Zones                []string     // zone names; an endpoint's zone is an index into this list
	CachedList           EndpointList // saved by an earlier process; empty if there is none
	Seed                 uint64
	Clock                core.Clock
	Dial                 pool.DialFunc // nil uses the machine's network
	Sink                 Sink
	Log                  *slog.Logger
	Events               *event.Recorder // nil records none
}

// Client watches the endpoint list.
type Client struct {
	cfg       Config
	http      *http.Client
	timing    FleetTiming
	subscribe chan struct{} // holds at most one pending call of Subscribe

	mu            sync.Mutex // guards addr and cancelSession
	addr          string     // as set by the latest SetAddress
	cancelSession context.CancelFunc

	// The fields below are owned by the goroutine of Run.
	rng         *rand.Rand
	backoff     backoff
	pacing      watchPacing
	sessionAddr string
	known       endpointSet
	unavailable bool // the last request failed
	// subscribed reports that a subscription is active: Subscribe was called, and the sink has not been notified since that the
	// subscription ended. It stays set when a session ends because the address changed.
	subscribed      bool
	malformedLogged bool
}

// New returns a client. It makes no requests until Run is called.
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

// startsFromCache reports whether the client watches from the cached version on instead of requesting a full snapshot first.
func (c *Client) startsFromCache() bool {
	return len(c.cfg.CachedList.Endpoints) > 0 && (c.cfg.SubscriptionRequired || c.cfg.Agents > smallFleet)
}

// Subscribe starts watching the list if Config.SubscriptionRequired is set. It has no effect while an earlier call is still pending. It
// does not block and is safe for concurrent use.
func (c *Client) Subscribe() {
	select {
	case c.subscribe <- struct{}{}:
	default:
	}
}

// SetAddress switches to the discovery service at another address and cancels requests to the old one. It is safe for concurrent use.
func (c *Client) SetAddress(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr == c.addr {
		return
	}
	c.addr = addr
	c.cancelSession()
}

// Run watches the list until the context is done. It must be called at most once.
func (c *Client) Run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	c.start(ctx)
	for ctx.Err() == nil {
		c.runSession(ctx)
	}
}

// start obtains the first list when a cached one exists: from discovery if it responds within firstListTimeout, otherwise from the cache.
// The cached list is the second choice because the agent becomes ready with any list, and the cached one may contain endpoints that have
// since been removed or started to drain. If a subscription is required, start does not ask discovery and uses the cached list at once.
func (c *Client) start(ctx context.Context) {
	if len(c.cfg.CachedList.Endpoints) == 0 {
		return
	}
	if !c.cfg.SubscriptionRequired { // otherwise the balancer decides when to poll
		first, cancel := context.WithTimeout(ctx, firstListTimeout)
		defer cancel()
		if c.request(first, fullSnapshot, requestTimeout) == nil {
			return
		}
	}
	c.applyCached()
	c.sleepRandom(ctx, c.timing.StartSpread)
}

// sleepRandom sleeps for a random time between 0 and longest, or until the context is done.
func (c *Client) sleepRandom(ctx context.Context, longest time.Duration) {
	sleep(ctx, time.Duration(c.rng.Float64()*float64(longest)))
}

// sleep returns after duration, or when the context is done.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
