// Package healthcheck carries out what the decision module asks of servers: how they do, outside any client's request. Which
// server is asked and when is the module's affair. Here are the limits that hold whatever it asks, the time-out, which of the
// platform's two calls is made, and an exact result.
package healthcheck

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"ryeweir/internal/core"
	"ryeweir/logic"
)

// What holds where the operators say nothing.
const (
	DefaultMaxConcurrent = 8                      // probes under way at a time
	DefaultTimeout       = 120 * time.Millisecond // for an answer, with the connection that may have to be opened
)

// RequestKind is one of the platform's two calls.
type RequestKind int

// The calls.
const (
	LoadRequest   RequestKind = iota // answers with the server's load report
	HealthRequest                    // says only that the server answers
)

// Response is what came of a call.
type Response struct {
	Result      logic.Result // OK; Rejected: it answers, but says that it is not well; NotSent: the agent's own lack
	LoadReport  logic.LoadReport
	Unsupported bool // the server knows no such call
}

// Transport makes a call to a server's life, as Upstream.Bind returned it, and ends by then. It never opens a connection that
// attempts wait for.
type Transport interface {
	HealthCheck(ctx context.Context, target any, kind RequestKind, until time.Time) Response
}

// Settings are the limits.
type Settings struct {
	MaxConcurrent int           // probes under way at a time; one server has one at most
	Timeout       time.Duration // for each
}

// Config is what a Prober works with.
type Config struct {
	Settings    Settings
	LoadReports bool // the platform's servers report their load
	Clock       core.Clock
	Transport   Transport
	Log         *slog.Logger
}

// absentMost is how many answers in a row may say that there is no such call, before no more are made: a platform that
// allows probes but has no servers that know them would pay for each.
const absentMost = 8

// Checker makes probes. It is safe for concurrent use.
type Checker struct {
	cfg    Config
	counts [outcomes]atomic.Int64
	absent atomic.Int64 // in a row
	off    sync.Once

	mu     sync.Mutex
	set    Settings
	asking map[string]bool // servers that a probe is under way to
}

// New returns a Prober.
func New(cfg Config) *Checker {
	return &Checker{cfg: cfg, set: cfg.Settings, asking: map[string]bool{}}
}

// Configure puts other limits into force.
func (p *Checker) Configure(set Settings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.set = set
}

// Check asks a server and returns when there is a result, within the time-out. What is over a limit is NotSent, which says
// nothing of the server. It implements core.Prober.
func (p *Checker) Check(ctx context.Context, server string, target any) logic.HealthChecked {
	began := p.cfg.Clock.Now()
	out := logic.HealthChecked{Endpoint: server, Result: logic.NotSent, LoadReport: logic.NoLoadReport}
	timeout, ok := p.begin(server)
	if !ok || target == nil {
		if ok {
			p.end(server)
		}
		p.count(out.Result)
		return out
	}
	defer p.end(server)
	kind := HealthRequest
	if p.cfg.LoadReports {
		kind = LoadRequest
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a := p.cfg.Transport.HealthCheck(ctx, target, kind, p.cfg.Clock.At(began+timeout))
	p.learn(a)
	out.Result, out.LoadReport, out.Latency = a.Result, a.LoadReport, p.cfg.Clock.Now()-began
	p.count(out.Result)
	return out
}

// begin takes a place among the probes under way.
func (p *Checker) begin(server string) (timeout time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.asking) >= p.set.MaxConcurrent || p.asking[server] || p.absent.Load() >= absentMost {
		return 0, false
	}
	p.asking[server] = true
	return p.set.Timeout, true
}

func (p *Checker) end(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.asking, server)
}

// learn notices a platform without the call.
func (p *Checker) learn(a Response) {
	switch {
	case !a.Unsupported:
		if a.Result == logic.OK {
			p.absent.Store(0)
		}
	case p.absent.Add(1) >= absentMost:
		p.off.Do(func() { p.cfg.Log.Warn("servers know no probes: none are made any more", "answers", absentMost) })
	}
}
