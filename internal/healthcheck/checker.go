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

// The defaults of the operators' file.
const (
	DefaultMaxConcurrent = 8
	DefaultTimeout       = 120 * time.Millisecond
)

// RequestKind is one of the platform's two health check requests.
type RequestKind int

// The kinds.
const (
	LoadRequest   RequestKind = iota // returns a load report
	HealthRequest                    // says only that the endpoint answers
)

// Response is the result of one health check.
type Response struct {
	// Result is OK, Rejected if the endpoint says that it is unhealthy, NotSent for a limit of the agent, or a failure.
	Result      logic.Result
	LoadReport  logic.LoadReport // logic.NoLoadReport without one
	Unsupported bool             // the endpoint does not know the request
}

// Transport sends a health check to a target, which is an incarnation of an endpoint as the upstream's Bind returned it. It returns by
// the deadline or when the context ends, and never takes a connection that requests wait for. It must be safe for concurrent use.
type Transport interface {
	HealthCheck(ctx context.Context, target any, kind RequestKind, deadline time.Time) Response
}

// Settings are the limits of a Checker.
type Settings struct {
	MaxConcurrent int           // health checks under way at a time, over all endpoints
	Timeout       time.Duration // of each, with the handshake that it may need
}

// Config is what a Checker works with.
type Config struct {
	Settings    Settings
	LoadReports bool // the platform's endpoints report their load
	Clock       core.Clock
	Transport   Transport
	Log         *slog.Logger
}

// maxUnsupported is how many responses in a row may say that the request is unknown before no more are sent.
//
// Failure: a platform allows health checks and its endpoints know none, and each would cost them work for nothing. The guard holds
// because any OK resets the count.
const maxUnsupported = 8

// Checker sends health checks. It implements core.HealthChecker and is safe for concurrent use.
type Checker struct {
	cfg         Config
	results     [resultCount]atomic.Int64
	unsupported atomic.Int64 // responses in a row
	logDisabled sync.Once

	mu       sync.Mutex
	settings Settings
	underWay map[string]bool // IDs of endpoints that are being checked
}

// New returns a Checker.
func New(cfg Config) *Checker {
	return &Checker{cfg: cfg, settings: cfg.Settings, underWay: map[string]bool{}}
}

// Configure replaces the limits.
func (c *Checker) Configure(settings Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settings = settings
}

// Check checks an endpoint and returns the result within the timeout. Over a limit, or without a target, the result is NotSent, which is
// no evidence against the endpoint.
func (c *Checker) Check(ctx context.Context, endpointID string, target any) logic.HealthChecked {
	start := c.cfg.Clock.Now()
	timeout, ok := c.begin(endpointID, target)
	if !ok {
		c.count(logic.NotSent)
		return logic.HealthChecked{Endpoint: endpointID, Result: logic.NotSent, LoadReport: logic.NoLoadReport}
	}
	defer c.end(endpointID)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response := c.cfg.Transport.HealthCheck(ctx, target, c.requestKind(), c.cfg.Clock.At(start+timeout))
	c.noteSupport(response)
	c.count(response.Result)
	return logic.HealthChecked{
		Endpoint:   endpointID,
		Result:     response.Result,
		LoadReport: response.LoadReport,
		Latency:    c.cfg.Clock.Now() - start,
	}
}

func (c *Checker) requestKind() RequestKind {
	if c.cfg.LoadReports {
		return LoadRequest
	}
	return HealthRequest
}

// begin takes a place among the health checks under way, and returns their timeout.
func (c *Checker) begin(endpointID string, target any) (timeout time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if target == nil || len(c.underWay) >= c.settings.MaxConcurrent || c.underWay[endpointID] || c.disabled() {
		return 0, false
	}
	c.underWay[endpointID] = true
	return c.settings.Timeout, true
}

// end gives the place back.
func (c *Checker) end(endpointID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.underWay, endpointID)
}

// disabled reports whether endpoints know no health checks.
func (c *Checker) disabled() bool { return c.unsupported.Load() >= maxUnsupported }

// noteSupport counts responses that say that the request is unknown.
func (c *Checker) noteSupport(response Response) {
	if !response.Unsupported {
		if response.Result == logic.OK {
			c.unsupported.Store(0)
		}
		return
	}
	if c.unsupported.Add(1) >= maxUnsupported {
		c.logDisabled.Do(func() {
			c.cfg.Log.Warn("endpoints do not support health checks: no more are sent", "answers", maxUnsupported)
		})
	}
}
