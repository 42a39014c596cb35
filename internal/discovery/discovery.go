// Package discovery follows the list of servers at the platform's discovery and hands on what changes.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
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

// Times of the calls to discovery. Whatever it has to tell counts as told toldAfter it could be had, or lateAfter the wait of a watch
// where that is later: by then a watch that has fallen silent must have been given up and what it missed be here. A call that failed
// is made again within half of that time. A watch is a new one when the next call comes 200 ms late.
const (
	toldAfter   = 6 * time.Second
	lateAfter   = 2 * time.Second
	callTimeout = 1500 * time.Millisecond // for an answer to a call that does not wait
	retryPause  = 500 * time.Millisecond  // at most, after a call that failed; twice as long with each further one
	mostPauses  = 4                       // doublings of that
	mostPause   = toldAfter / 2           // but never for longer
	stalled     = 100 * time.Millisecond  // late by which a timer shows that the process stood still
	firstWait   = 500 * time.Millisecond  // for the first list, before one from an earlier life is used
	earlyPause  = 100 * time.Millisecond  // after a watch that came back early with no news
	longestList = 1 << 20
)

// MaxRetryInterval is within which an agent whose call has failed must ask again.
const MaxRetryInterval = mostPause

// All agents share one discovery, which serves their calls in turn and turns them away when too many wait. Calls that come
// together, at a start or the end of an outage, are spread a little in a large fleet. And a watch waits for longer, up to a limit by
// the fleet's size, once calls are turned away or answered late. It goes on at once all the same: what changes just after it
// counts as told.
const (
	usualFleet  = 8                      // agents up to which none of this is needed
	rushEach    = 10 * time.Millisecond  // of the time in which all come, for each agent
	mostSpread  = toldAfter / 6          // of it at a start, as an agent begins with what it knew
	watchEach   = 50 * time.Millisecond  // of the longest wait of a watch, for each agent
	mostWatch   = time.Minute            // discovery lets a watch wait for no longer
	watchSpread = 0.25                   // part by which a watch waits for less, at random: else those that end together with a change go on so
	lateAnswer  = 100 * time.Millisecond // past its wait a watch's answer shows that discovery is full
	moreWait    = 2.0                    // times that the next watch waits then,
	lessWait    = 0.985                  // and after an answer in time
)

// WatchTimeout is how long a watch may wait for news, in a fleet whose discovery keeps up.
const WatchTimeout = toldAfter / 2

// Sink takes what discovery says. Its methods may wait a moment.
type Sink interface {
	UpdateEndpoints(core.EndpointList)
	DiscoveryUnavailable() // a subscription ended or could not be had
}

// Config is what a Client works with.
type Config struct {
	Addr                 string       // host and port of discovery
	Agents               int          // of the fleet that shares it
	SubscriptionRequired bool         // watch only when asked to
	Zones                []string     // their names; a server's zone is an index into them
	CachedList           EndpointList // of an earlier life of the agent
	Seed                 uint64
	Clock                core.Clock
	Dial                 pool.DialFunc // nil for the machine's network
	Sink                 Sink
	Log                  *slog.Logger
	Events               *event.Recorder // nil for nobody
}

// Client follows the list of servers.
type Client struct {
	client    *http.Client
	clock     core.Clock
	zones     []string
	known     EndpointList  // of an earlier life of the agent
	asked     bool          // watch only when the module subscribes
	subscribe chan struct{} // holds one subscription
	sink      Sink
	log       *slog.Logger
	events    *event.Recorder

	mu   sync.Mutex
	addr string             // where discovery is; mu guards it and what follows
	drop context.CancelFunc // ends the calls to the present address

	// Those of the goroutine that runs:
	rng     *rand.Rand
	pace    FleetTiming
	fails   int           // calls that failed in a row
	wait    time.Duration // of the next watch
	at      string        // the address that is followed
	version int64
	have    map[string]core.Endpoint
	heard   time.Duration // when discovery last answered; 0: not yet
	badOnce bool
	down    bool
	// subscribed says that the module has subscribed and was not told that this ended. A session that ends for another one
	// leaves it so: the next goes on with it.
	subscribed bool
}

// New returns a client that asks nothing until it runs.
func New(cfg Config) *Client {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: callTimeout}).DialContext
	}
	d := &Client{
		pace:      FleetTimingFor(cfg.Agents),
		wait:      WatchTimeout,
		addr:      cfg.Addr,
		drop:      func() {},
		at:        cfg.Addr,
		client:    &http.Client{Transport: &http.Transport{DialContext: cfg.Dial}},
		clock:     cfg.Clock,
		rng:       rand.New(rand.NewPCG(cfg.Seed, 1)),
		zones:     cfg.Zones,
		known:     cfg.CachedList,
		asked:     cfg.SubscriptionRequired,
		subscribe: make(chan struct{}, 1),
		sink:      cfg.Sink,
		log:       cfg.Log,
		events:    cfg.Events,
		have:      map[string]core.Endpoint{},
		version:   -1,
	}
	if (cfg.SubscriptionRequired || cfg.Agents > usualFleet) && len(d.known.Endpoints) > 0 { // changes are all that is asked for
		d.version = d.known.Version
	}
	return d
}

// FleetTiming is how the calls of a fleet that come together are spread.
type FleetTiming struct {
	StartSpread     time.Duration // the first call comes within this, where a list is known
	RetrySpread     time.Duration // calls after one that failed come within this at least: all agents' fail together
	MaxWatchTimeout time.Duration // that a watch waits for news when discovery is full
}

// FleetTimingFor is the pace of one agent of a fleet.
func FleetTimingFor(agents int) FleetTiming {
	if agents <= usualFleet {
		return FleetTiming{MaxWatchTimeout: WatchTimeout}
	}
	rush := time.Duration(agents) * rushEach
	return FleetTiming{StartSpread: min(mostSpread, rush), RetrySpread: min(mostPause, rush), MaxWatchTimeout: max(WatchTimeout, min(mostWatch, time.Duration(agents)*watchEach))}
}

// Subscribe subscribes to the list. A subscription that waits to begin is enough.
func (d *Client) Subscribe() {
	select {
	case d.subscribe <- struct{}{}:
	default:
	}
}

// restore starts from the list that an earlier life of the agent had. Whatever discovery says next is newer, also
// where it counts from a lower version by then.
func (d *Client) restore() {
	l := d.known
	l.Full = true
	d.sink.UpdateEndpoints(core.EndpointList{Full: true, Endpoints: d.members(l)})
}

// first gets the first list. The known one may name backends that have gone or drain since, and the agent is ready as
// soon as it holds any: it is used only where discovery does not answer at once.
func (d *Client) first(ctx context.Context) {
	if len(d.known.Endpoints) == 0 {
		return
	}
	if !d.asked { // else the module says when to ask
		soon, cancel := context.WithTimeout(ctx, firstWait)
		defer cancel()
		if d.call(soon, "", callTimeout) == nil {
			return
		}
	}
	d.restore()
	d.pause(ctx, d.pace.StartSpread)
}

// pause waits for up to so long, at random: agents that were cut off together must not come back together.
func (d *Client) pause(ctx context.Context, most time.Duration) {
	sleep(ctx, time.Duration(d.rng.Float64()*float64(most)))
}

// SetAddress points to another discovery. Calls to the old one end at once, whether or not it still answers.
func (d *Client) SetAddress(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if addr == d.addr {
		return
	}
	d.addr = addr
	d.drop()
}

// Run follows the list until the context ends, from wherever discovery is. In an outage the last list stays in force.
func (d *Client) Run(ctx context.Context) {
	defer d.client.CloseIdleConnections()
	d.first(ctx)
	for ctx.Err() == nil {
		session, end := d.begin(ctx)
		d.session(session)
		end()
	}
}

// begin starts a session with discovery at its present address, which lasts until the address changes. Another
// discovery counts versions of its own: they may start lower than those of the one before.
func (d *Client) begin(ctx context.Context) (context.Context, context.CancelFunc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	session, end := context.WithCancel(ctx)
	d.drop = end
	if d.at != d.addr {
		d.at, d.version, d.down, d.heard = d.addr, -1, false, 0
		d.client.CloseIdleConnections()
		if !d.subscribed { // the module waits to ask the old one again
			d.Subscribe()
		}
	}
	return session, end
}

// session follows the list at one address until the context ends.
func (d *Client) session(ctx context.Context) {
	for ctx.Err() == nil {
		if !d.awaitSubscription(ctx) {
			return
		}
		err := d.follow(ctx)
		if ctx.Err() != nil {
			d.events.Record(event.Event{Kind: event.WatchEnded, Reason: event.WatchMoved, Detail: "the session has ended"})
			return
		}
		d.events.Record(event.Event{Kind: event.WatchEnded, Reason: event.WatchFailed, Detail: err.Error()})
		if !d.down {
			d.down = true
			d.log.Warn("discovery out of reach, keeping the last list", "version", d.version, "error", err)
		}
		if d.asked { // the module says when to ask again
			d.subscribed = false
			d.sink.DiscoveryUnavailable()
			continue
		}
		pause := min(mostPause, max(d.pace.RetrySpread, retryPause<<min(d.fails, mostPauses)))
		sleep(ctx, pause/4)
		d.pause(ctx, pause*3/4)
		d.fails++
	}
}

// awaitSubscription waits until the list may be followed; false says that the context has ended.
func (d *Client) awaitSubscription(ctx context.Context) bool {
	if !d.asked || d.subscribed {
		return true
	}
	select {
	case <-d.subscribe:
		d.subscribed = true
		return true
	case <-ctx.Done():
		return false
	}
}

// follow watches for changes until a call fails or a change was missed. It begins with the whole list, unless it holds
// one: then what has changed since is all that is missing, and discovery has half the work.
func (d *Client) follow(ctx context.Context) error {
	if d.version < 0 {
		if err := d.call(ctx, "", callTimeout); err != nil {
			return err
		}
	}
	for {
		wait := time.Duration((1 - watchSpread*d.rng.Float64()) * float64(d.wait))
		before, began := d.version, time.Now()
		left := max(toldAfter, wait+lateAfter) - wait // after its wait, until what it missed counts as told
		err := d.call(ctx, d.watch(wait), wait+left/2)
		took := time.Since(began)
		if err != nil || took > wait+lateAnswer {
			d.wait = min(d.pace.MaxWatchTimeout, time.Duration(moreWait*float64(d.wait)))
		} else {
			d.wait = max(WatchTimeout, time.Duration(lessWait*float64(d.wait)))
		}
		if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil { // it has fallen silent
			d.log.Info("a watch has fallen silent", "version", d.version)
			d.events.Record(event.Event{Kind: event.WatchEnded, Reason: event.WatchSilent, Detail: fmt.Sprintf("version %d", d.version)})
			err = d.call(ctx, d.watch(0), left/2)
		}
		if err != nil {
			return err
		}
		// A watch that does not wait must not be called again in a tight loop.
		if d.version == before && took < WatchTimeout/2 {
			sleep(ctx, earlyPause)
		}
	}
}

// watch is the query of a call that waits for so long for what is newer than the list.
func (d *Client) watch(wait time.Duration) string {
	return fmt.Sprintf("?since=%d&timeout_ms=%d", d.version, wait.Milliseconds())
}

// call makes one call, which has so long for its answer, and takes in what that brings.
func (d *Client) call(ctx context.Context, query string, timeout time.Duration) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	due := time.Now().Add(timeout)
	timer := time.AfterFunc(timeout, func() {
		if time.Since(due) > stalled { // the process stood still: what has come meanwhile counts as told, and is read first
			sleep(ctx, stalled)
		}
		cancel(context.DeadlineExceeded)
	})
	defer timer.Stop()
	err := d.exchange(ctx, query)
	if cause := context.Cause(ctx); err != nil && errors.Is(cause, context.DeadlineExceeded) {
		return cause
	}
	return err
}

// exchange makes a call that ends with the context.
func (d *Client) exchange(ctx context.Context, query string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.at+"/v1/endpoints"+query, nil)
	if err != nil {
		return err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answered %s", resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, longestList+1))
	if err != nil {
		return err
	}
	if len(body) > longestList {
		return fmt.Errorf("discovery's list is over %d bytes", longestList)
	}
	l, err := ParseEndpointList(body)
	if err != nil {
		return fmt.Errorf("discovery's list: %w", err)
	}
	return d.take(l, query == "")
}

// sleep waits, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
