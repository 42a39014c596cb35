package healthcheck_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ryeweir/internal/core"
	"ryeweir/internal/healthcheck"
	"ryeweir/logic"
)

// fakeTransport responds after a delay, or reports a timeout when the context is done first.
type fakeTransport struct {
	delay    time.Duration
	response healthcheck.Response

	mu    sync.Mutex
	kinds []healthcheck.RequestKind // kinds of the requests so far
}

func (f *fakeTransport) HealthCheck(ctx context.Context, _ any, kind healthcheck.RequestKind, _ time.Time) healthcheck.Response {
	f.mu.Lock()
	f.kinds = append(f.kinds, kind)
	f.mu.Unlock()
	select {
	case <-time.After(f.delay):
		return f.response
	case <-ctx.Done():
		return healthcheck.Response{Result: logic.TimedOut, LoadReport: logic.NoLoadReport}
	}
}

func newChecker(transport healthcheck.Transport, maxConcurrent int, loadReports bool) *healthcheck.Checker {
	return healthcheck.New(healthcheck.Config{
		Settings:    healthcheck.Settings{MaxConcurrent: maxConcurrent, Timeout: 120 * time.Millisecond},
		LoadReports: loadReports,
		Clock:       core.NewClock(),
		Transport:   transport,
		Log:         slog.New(slog.DiscardHandler),
	})
}

// The balancer starts more concurrent health checks than the limit, and two for the same endpoint. Checks over a limit are not sent. Limits
// that are lowered apply to the next checks.
func TestHealthChecksStayWithinTheLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport := &fakeTransport{delay: 50 * time.Millisecond, response: healthcheck.Response{Result: logic.OK, LoadReport: logic.NoLoadReport}}
		checker := newChecker(transport, 3, true)
		var running sync.WaitGroup
		var mu sync.Mutex
		results := map[logic.Result]int{}
		for _, endpoint := range []string{"a", "a", "b", "c", "d", "e"} {
			running.Go(func() {
				checked := checker.Check(t.Context(), endpoint, endpoint)
				mu.Lock()
				defer mu.Unlock()
				results[checked.Result]++
			})
		}
		running.Wait()
		if results[logic.OK] != 3 || results[logic.NotSent] != 3 || len(transport.kinds) != 3 {
			t.Errorf("results %v, %d health checks sent", results, len(transport.kinds))
		}
		if checked := checker.Check(t.Context(), "removed", nil); checked.Result != logic.NotSent {
			t.Errorf("check without a target: %v, want NotSent", checked.Result)
		}
		checker.Configure(healthcheck.Settings{MaxConcurrent: 1, Timeout: 20 * time.Millisecond})
		if checked := checker.Check(t.Context(), "a", "a"); checked.Result != logic.TimedOut || checked.Latency != 20*time.Millisecond {
			t.Errorf("with a shorter timeout: result %v after %v", checked.Result, checked.Latency)
		}
		if stats := checker.Stats(); stats.OK != 3 || stats.NotSent != 4 || stats.TimedOut != 1 {
			t.Errorf("%+v", stats)
		}
	})
}

// A platform allows health checks, but its endpoints respond that they do not support them. No more are sent after a few such responses.
// Endpoints that report themselves unhealthy are still checked.
func TestUnsupportedHealthChecksAreTurnedOff(t *testing.T) {
	transport := &fakeTransport{response: healthcheck.Response{Result: logic.Failed, LoadReport: logic.NoLoadReport, Unsupported: true}}
	checker := newChecker(transport, 8, false)
	for range 50 {
		checker.Check(t.Context(), "a", "a")
	}
	if n := len(transport.kinds); n > 10 || !checker.Stats().Disabled || transport.kinds[0] != healthcheck.HealthRequest {
		t.Errorf("%d health checks sent, stats %+v", n, checker.Stats())
	}
	transport = &fakeTransport{response: healthcheck.Response{Result: logic.Rejected, LoadReport: logic.NoLoadReport}}
	checker = newChecker(transport, 8, true)
	for range 50 {
		checker.Check(t.Context(), "a", "a")
	}
	if checker.Stats().Disabled || checker.Stats().Unhealthy != 50 {
		t.Errorf("%+v", checker.Stats())
	}
}
