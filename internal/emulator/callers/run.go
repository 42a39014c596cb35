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

// Route chooses the destination of an attempt: the name of an agent or a node, and a client for its address. A nil client means that
// there is no destination; the call then ends. tried holds the destinations of the call's earlier attempts. done is called with the
// outcome of the attempt.
type Route func(request PlannedRequest, tried []string) (to string, client *Client, done func(referee.Outcome))

// Config configures a run. Times of the plan are relative to Epoch.
type Config struct {
	Plan            []PlannedRequest
	Classes         []Class
	Tenants         []Tenant
	ClientProfileAt func(at time.Duration) ClientProfile // profile of the client of a request that is planned for a time
	Route           Route
	Referee         *referee.Referee
	Epoch           time.Time
	Direct          bool                     // attempts are sent to nodes, without an agent
	MaxOpen         int                      // maximum number of open calls; 0 for 20,000
	ResponseBytes   int                      // requested size of each response body
	RequestBytes    int                      // size of the body of a request that is not idempotent
	SlowFraction    float64                  // fraction of the calls whose requests are written slowly
	IDPrefix        uint64                   // distinguishes the request IDs of several runs against the same agent
	Done            func(referee.CallResult) // called with the result of each call; may be nil
}

const (
	defaultMaxOpen    = 20_000
	slowWriteInterval = 40 * time.Millisecond // with eight parts, a request takes 280 ms to write
)

// Figures show by how much a run deviated from its plan.
type Figures struct {
	Skipped int           // calls not sent because MaxOpen calls were open
	Lag     time.Duration // maximum delay of a first attempt after its planned time
}

// Run sends the planned requests and returns the results when all calls have ended. After the context has ended it begins no more
// calls; calls that are open continue to their end.
func Run(ctx context.Context, cfg Config) ([]referee.CallResult, Figures) {
	if cfg.MaxOpen == 0 {
		cfg.MaxOpen = defaultMaxOpen
	}
	r := &runner{Config: cfg, body: strings.Repeat("o", cfg.RequestBytes)}
	var calls sync.WaitGroup
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	for _, planned := range cfg.Plan {
		if wait := planned.At - time.Since(cfg.Epoch); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			break
		}
		call := NewCall(planned, cfg.Classes[planned.Class], cfg.ClientProfileAt(planned.At))
		if int(r.open.Load()) >= cfg.MaxOpen {
			r.skip(call)
			continue
		}
		r.open.Add(1)
		calls.Go(func() {
			defer r.open.Add(-1)
			r.runCall(call)
		})
	}
	calls.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.results, r.figures
}

// runner is a run in progress.
type runner struct {
	Config
	body string
	open atomic.Int64 // number of open calls

	mu      sync.Mutex
	results []referee.CallResult
	figures Figures
}

func (r *runner) now() time.Duration { return time.Since(r.Epoch) }

// skip ends a call without an attempt because MaxOpen calls are open. Its result is that of a call that was not answered.
func (r *runner) skip(call *Call) {
	r.mu.Lock()
	r.figures.Skipped++
	r.mu.Unlock()
	r.finish(call)
}

func (r *runner) finish(call *Call) {
	result := call.Result()
	r.mu.Lock()
	r.results = append(r.results, result)
	r.mu.Unlock()
	if r.Done != nil {
		r.Done(result)
	}
}

// runCall makes the attempts of a call. It does not end with the context of the run, which only stops new calls.
func (r *runner) runCall(call *Call) {
	defer r.finish(call)
	r.mu.Lock()
	r.figures.Lag = max(r.figures.Lag, r.now()-call.At)
	r.mu.Unlock()
	var tried []string
	for {
		timeout, abandon := call.Attempt(r.now())
		if timeout == 0 {
			return
		}
		to, client, done := r.Route(call.PlannedRequest, tried)
		if client == nil {
			return
		}
		tried = append(tried, to)
		response, now := r.attempt(call, to, client, timeout, abandon)
		done(response.Outcome)
		next, over := call.Ended(now, response.Outcome, response.RetryAfter)
		if over {
			return
		}
		if wait := next - now; wait > 0 {
			Sleep(context.Background(), wait)
		}
	}
}

// attempt sends a call's request once and reports it to the referee. endedAt is when the attempt ended.
func (r *runner) attempt(call *Call, to string, client *Client, timeout, abandon time.Duration) (response Response, endedAt time.Duration) {
	request := r.request(call, timeout)
	sent := referee.Request{
		ID:            request.ID,
		Agent:         to,
		NonIdempotent: call.Class.NonIdempotent,
		At:            r.now(),
		Class:         call.Class.Name,
		Tenant:        request.Tenant,
	}
	if r.Direct {
		sent.Agent = ""
	}
	r.Referee.RequestSent(sent)
	ctx, cancel := context.WithTimeout(context.Background(), abandon)
	defer cancel()
	response = client.Send(ctx, request, func() bool { return r.Referee.Forwarded(request.ID) })
	endedAt = r.now()
	r.Referee.RequestEnded(request.ID, response.Outcome, response.BodyHash, endedAt)
	return response, endedAt
}

func (r *runner) request(call *Call, timeout time.Duration) Request {
	request := Request{
		ID:            RequestID(r.IDPrefix, call.Number, call.Attempts),
		Class:         call.Class.Name,
		Key:           call.Key,
		NonIdempotent: call.Class.NonIdempotent,
		Timeout:       timeout,
		CostHint:      call.CostHint,
		Work:          call.Work,
		ResponseBytes: r.ResponseBytes,
		Body:          r.body,
	}
	if call.Tenant >= 0 {
		request.Tenant = r.Tenants[call.Tenant].Name
	}
	if unitInterval(call.Seed) < r.SlowFraction {
		request.WriteInterval = slowWriteInterval
	}
	return request
}

// unitInterval maps a random number to [0, 1), using its 53 highest bits.
func unitInterval(x uint64) float64 { return float64(x>>11) / (1 << 53) }

// RequestID returns the ID of an attempt: 16 hexadecimal digits that are distinct for all attempts of a run and do not reveal the
// numbers that they are computed from.
func RequestID(prefix uint64, number, attempt int) string {
	return fmt.Sprintf("%016x", splitmix64(prefix<<40^uint64(number)<<8^uint64(attempt)))
}
