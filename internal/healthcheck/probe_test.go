package healthcheck_test

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ryeweir/internal/core"
	"ryeweir/internal/healthcheck"
	"ryeweir/logic"
)

// fakeTransport answers after a time, or when it is given up.
type fakeTransport struct {
	after  time.Duration
	answer healthcheck.Response

	mu    sync.Mutex
	kinds []healthcheck.RequestKind
}

func (a *fakeTransport) HealthCheck(ctx context.Context, _ any, kind healthcheck.RequestKind, until time.Time) healthcheck.Response {
	a.mu.Lock()
	a.kinds = append(a.kinds, kind)
	a.mu.Unlock()
	select {
	case <-time.After(a.after):
		return a.answer
	case <-ctx.Done():
		return healthcheck.Response{Result: logic.TimedOut, LoadReport: logic.NoLoadReport}
	}
}

func prober(a healthcheck.Transport, most int, reports bool) *healthcheck.Checker {
	return healthcheck.New(healthcheck.Config{Settings: healthcheck.Settings{MaxConcurrent: most, Timeout: 120 * time.Millisecond}, LoadReports: reports, Clock: core.NewClock(),
		Transport: a, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
}

// However much is asked for, so many probes are under way at most, one to a server, and what is over that is no result.
func TestLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &fakeTransport{after: 50 * time.Millisecond, answer: healthcheck.Response{Result: logic.OK, LoadReport: logic.NoLoadReport}}
		p := prober(a, 3, true)
		var all sync.WaitGroup
		var mu sync.Mutex
		got := map[logic.Result]int{}
		for _, server := range []string{"a", "a", "b", "c", "d", "e"} {
			all.Go(func() {
				r := p.Check(t.Context(), server, server)
				mu.Lock()
				defer mu.Unlock()
				got[r.Result]++
			})
		}
		all.Wait()
		if got[logic.OK] != 3 || got[logic.NotSent] != 3 || len(a.kinds) != 3 {
			t.Errorf("%v, %d asked", got, len(a.kinds))
		}
		if r := p.Check(t.Context(), "gone", nil); r.Result != logic.NotSent {
			t.Errorf("a server that is not there: %v", r.Result)
		}
		p.Configure(healthcheck.Settings{MaxConcurrent: 1, Timeout: 20 * time.Millisecond})
		if r := p.Check(t.Context(), "a", "a"); r.Result != logic.TimedOut || r.Latency != 20*time.Millisecond {
			t.Errorf("%v after %v with a shorter time-out", r.Result, r.Latency)
		}
		if c := p.Stats(); c.OK != 3 || c.NotSent != 4 || c.TimedOut != 1 {
			t.Errorf("%+v", c)
		}
	})
}

// Servers that know no probes are asked a few times, not for ever. Any other answer is no such word.
func TestAbsent(t *testing.T) {
	a := &fakeTransport{answer: healthcheck.Response{Result: logic.Failed, LoadReport: logic.NoLoadReport, Unsupported: true}}
	p := prober(a, 8, false)
	for range 50 {
		p.Check(t.Context(), "a", "a")
	}
	if n := len(a.kinds); n > 10 || !p.Stats().Disabled || a.kinds[0] != healthcheck.HealthRequest {
		t.Errorf("%d probes, %+v", n, p.Stats())
	}
	a = &fakeTransport{answer: healthcheck.Response{Result: logic.Rejected, LoadReport: logic.NoLoadReport}}
	p = prober(a, 8, true)
	for range 50 {
		p.Check(t.Context(), "a", "a")
	}
	if p.Stats().Disabled || p.Stats().Unhealthy != 50 {
		t.Errorf("%+v", p.Stats())
	}
}
