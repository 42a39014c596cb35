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

// The defaults in the operators' file.
const (
	DefaultMaxConcurrent = 8
	DefaultTimeout       = 120 * time.Millisecond
)

// RequestKind is one of the platform's two health check requests.
type RequestKind int

// The kinds of health check requests.
const (
	LoadRequest   RequestKind = iota // returns a load report
	HealthRequest                    // only confirms that the endpoint responds
)

// Response is the result of one health check.
type Response struct {
	// Result is OK, Rejected if the endpoint reports itself unhealthy, or NotSent if the agent did not send the check. All other results
	// mean that the check failed: ConnectFailed, TimedOut, Reset, or Failed if the response has any other status.
	Result      logic.Result
	LoadReport  logic.LoadReport // logic.NoLoadReport if there is none
	Unsupported bool             // the endpoint does not support the request
}

// Transport sends a health check to a target, an incarnation of an endpoint as returned by Bind of the upstream. It returns by the
// deadline, or earlier when the context is done. The deadline is a parameter of its own because it also limits the writes and reads on
// the connection, which take no context. HealthCheck never takes a connection that a client request is waiting for. Implementations must
// be safe for concurrent use.
type Transport interface {
	HealthCheck(ctx context.Context, target any, kind RequestKind, deadline time.Time) Response
}

// Settings are the limits of a Checker.
type Settings struct {
	MaxConcurrent int           // concurrent health checks over all endpoints
	Timeout       time.Duration // of one check, including a connection handshake if needed
}

// Config is the configuration of a Checker.
type Config struct {
	Settings    Settings
	LoadReports bool // whether the platform's endpoints report their load
	Clock       core.Clock
	Transport   Transport
	Log         *slog.Logger
}

// maxUnsupported is the number of consecutive responses that report the request as unsupported after which no more checks are sent. If a
// platform allows health checks but its endpoints do not support them, each check would cost an endpoint work for nothing. A check with
// result OK resets the count, so a few endpoints without support do not keep the others from being checked.
const maxUnsupported = 8

// Checker sends health checks. It implements core.HealthChecker and is safe for concurrent use.
type Checker struct {
	cfg         Config
	results     [resultCount]atomic.Int64
	unsupported atomic.Int64 // consecutive responses that report the request as unsupported
	logDisabled sync.Once

	mu       sync.Mutex
	settings Settings
	inFlight map[string]bool // IDs of endpoints that are being checked
}

// New returns a Checker.
func New(cfg Config) *Checker {
	return &Checker{cfg: cfg, settings: cfg.Settings, inFlight: map[string]bool{}}
}

// Configure replaces the limits.
func (c *Checker) Configure(settings Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settings = settings
}

// Check checks an endpoint and returns the result within the timeout. The result is NotSent if no check was sent, which says nothing about
// the health of the endpoint: a limit is reached, the endpoint is already being checked, checks are disabled because endpoints do not
// support them, the target is nil, or the transport sent none, for example because the endpoint is draining.
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
	c.countUnsupported(response)
	c.count(response.Result)
	return logic.HealthChecked{
		Endpoint:   endpointID,
		Result:     response.Result,
		LoadReport: response.LoadReport,
		Latency:    c.cfg.Clock.Now() - start,
	}
}

// requestKind returns the kind of request that all checks send: the one for a load report if endpoints report their load.
func (c *Checker) requestKind() RequestKind {
	if c.cfg.LoadReports {
		return LoadRequest
	}
	return HealthRequest
}

// begin registers a health check of an endpoint and returns its timeout. It returns false if the check must not be sent.
func (c *Checker) begin(endpointID string, target any) (timeout time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if target == nil || len(c.inFlight) >= c.settings.MaxConcurrent || c.inFlight[endpointID] || c.disabled() {
		return 0, false
	}
	c.inFlight[endpointID] = true
	return c.settings.Timeout, true
}

// end removes the registration that begin made.
func (c *Checker) end(endpointID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.inFlight, endpointID)
}

// disabled reports whether no more checks are sent because endpoints do not support them.
func (c *Checker) disabled() bool { return c.unsupported.Load() >= maxUnsupported }

// countUnsupported counts consecutive responses that report the request as unsupported.
func (c *Checker) countUnsupported(response Response) {
	if !response.Unsupported {
		if response.Result == logic.OK {
			c.unsupported.Store(0)
		}
		return
	}
	if c.unsupported.Add(1) >= maxUnsupported {
		c.logDisabled.Do(func() {
			c.cfg.Log.Warn("endpoints do not support health checks; sending no more", "answers", maxUnsupported)
		})
	}
}
