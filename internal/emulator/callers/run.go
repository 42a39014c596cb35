package callers

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ryeweir/internal/emulator/referee"
)

// Route says where a try goes. done is told how it ended.
type Route func(p PlannedRequest, tried []string) (to string, client *Client, done func(referee.Outcome))

// Config is what a run is given.
type Config struct {
	Plan            []PlannedRequest
	Classes         []Class
	Tenants         []Tenant
	ClientProfileAt func(at time.Duration) ClientProfile // of a client whose request is planned for then
	Route           Route
	Referee         *referee.Referee
	Epoch           time.Time // when the plan's time is 0
	Direct          bool      // tries go straight to nodes, past any agent
	MaxOpen         int       // journeys open at a time; 0 for 20,000
	ResponseBytes   int       // bytes wanted of each answer
	RequestBytes    int       // bytes of a request that must not be repeated
	SlowFraction    float64   // share of clients that take their time over a request
	IDPrefix        uint64    // of the ids, so that several runs against one agent don't mix them up
	Done            func(referee.CallResult)
}

const (
	defaultMaxOpen    = 20_000
	slowWriteInterval = 40 * time.Millisecond // 8 pieces: a request takes 280 ms to write
)

// Figures are what a run says of itself.
type Figures struct {
	Skipped int           // asked for while too many were open
	Lag     time.Duration // the latest that a first try was sent after its time
}

// Run sends what is planned and returns what came of it, when all is answered or given up. When the context ends it begins
// nothing more; what is open still ends.
func Run(ctx context.Context, cfg Config) ([]referee.CallResult, Figures) {
	if cfg.MaxOpen == 0 {
		cfg.MaxOpen = defaultMaxOpen
	}
	r := &run{Config: cfg, body: strings.Repeat("o", cfg.RequestBytes)}
	var all sync.WaitGroup
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	for _, p := range cfg.Plan {
		if wait := p.At - time.Since(cfg.Epoch); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			break
		}
		j := NewCall(p, cfg.Classes[p.Class], cfg.ClientProfileAt(p.At))
		if int(r.open.Load()) >= cfg.MaxOpen {
			r.skip(j)
			continue
		}
		r.open.Add(1)
		all.Go(func() {
			defer r.open.Add(-1)
			r.runCall(j)
		})
	}
	all.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls, r.figures
}

type run struct {
	Config
	body string
	open atomic.Int64

	mu      sync.Mutex
	calls   []referee.CallResult
	figures Figures
}

func (r *run) now() time.Duration { return time.Since(r.Epoch) }

// skip ends a journey that found too many open: its client failed it, and it counts as not served.
func (r *run) skip(j *Call) {
	r.mu.Lock()
	r.figures.Skipped++
	r.mu.Unlock()
	r.finish(j)
}

func (r *run) finish(j *Call) {
	call := j.Result()
	r.mu.Lock()
	r.calls = append(r.calls, call)
	r.mu.Unlock()
	if r.Done != nil {
		r.Done(call)
	}
}

// runCall makes tries until one is the last. It outlives the run's context: a client does not vanish with the plan.
func (r *run) runCall(j *Call) {
	defer r.finish(j)
	r.mu.Lock()
	r.figures.Lag = max(r.figures.Lag, r.now()-j.At)
	r.mu.Unlock()
	var tried []string
	for {
		wait, leaves := j.Attempt(r.now())
		if wait == 0 {
			return
		}
		to, client, done := r.Route(j.PlannedRequest, tried)
		if client == nil { // nowhere to go
			return
		}
		tried = append(tried, to)
		m := r.request(j, wait)
		agent := to
		if r.Direct {
			agent = ""
		}
		r.Referee.RequestSent(referee.Request{ID: m.ID, Agent: agent, NonIdempotent: j.Class.NonIdempotent, At: r.now(), Class: j.Class.Name, Tenant: m.Tenant})
		ctx, cancel := context.WithTimeout(context.Background(), leaves)
		a := client.Send(ctx, m, func() bool { return r.Referee.Forwarded(m.ID) })
		cancel()
		now := r.now()
		r.Referee.RequestEnded(m.ID, a.Outcome, a.BodyHash, now)
		done(a.Outcome)
		next, over := j.Ended(now, a.Outcome, a.RetryAfter)
		if over {
			return
		}
		if wait := next - now; wait > 0 {
			Sleep(context.Background(), wait)
		}
	}
}

func (r *run) request(j *Call, wait time.Duration) Request {
	m := Request{ID: RequestID(r.IDPrefix, j.Number, j.Attempts), Class: j.Class.Name, Key: j.Key, NonIdempotent: j.Class.NonIdempotent,
		Timeout: wait, CostHint: j.CostHint, Work: j.Work, ResponseBytes: r.ResponseBytes, Body: r.body}
	if j.Tenant >= 0 {
		m.Tenant = r.Tenants[j.Tenant].Name
	}
	if float64(j.Seed>>11)/(1<<53) < r.SlowFraction {
		m.WriteInterval = slowWriteInterval
	}
	return m
}

// RequestID is the id of a try: 16 hex digits that tell nothing, and are never the same for two tries of a run.
func RequestID(prefix uint64, number, try int) string {
	return fmt.Sprintf("%016x", splitmix64(prefix<<40^uint64(number)<<8^uint64(try)))
}
