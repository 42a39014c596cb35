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

// asker answers after a time, or when it is given up.
type asker struct {
	after  time.Duration
	answer healthcheck.Answer

	mu    sync.Mutex
	kinds []healthcheck.Kind
}

func (a *asker) Ask(ctx context.Context, _ any, kind healthcheck.Kind, until time.Time) healthcheck.Answer {
	a.mu.Lock()
	a.kinds = append(a.kinds, kind)
	a.mu.Unlock()
	select {
	case <-time.After(a.after):
		return a.answer
	case <-ctx.Done():
		return healthcheck.Answer{Result: logic.TimedOut, Report: logic.NoLoadReport}
	}
}

func prober(a healthcheck.Asker, most int, reports bool) *healthcheck.Prober {
	return healthcheck.New(healthcheck.Config{Settings: healthcheck.Settings{Most: most, Timeout: 120 * time.Millisecond}, Reports: reports, Clock: core.NewClock(),
		Asker: a, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
}

// However much is asked for, so many probes are under way at most, one to a server, and what is over that is no result.
func TestLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &asker{after: 50 * time.Millisecond, answer: healthcheck.Answer{Result: logic.OK, Report: logic.NoLoadReport}}
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
		p.Configure(healthcheck.Settings{Most: 1, Timeout: 20 * time.Millisecond})
		if r := p.Check(t.Context(), "a", "a"); r.Result != logic.TimedOut || r.Latency != 20*time.Millisecond {
			t.Errorf("%v after %v with a shorter time-out", r.Result, r.Latency)
		}
		if c := p.Counts(); c.OK != 3 || c.Unmade != 4 || c.TimedOut != 1 {
			t.Errorf("%+v", c)
		}
	})
}

// Servers that know no probes are asked a few times, not for ever. Any other answer is no such word.
func TestAbsent(t *testing.T) {
	a := &asker{answer: healthcheck.Answer{Result: logic.Failed, Report: logic.NoLoadReport, Absent: true}}
	p := prober(a, 8, false)
	for range 50 {
		p.Check(t.Context(), "a", "a")
	}
	if n := len(a.kinds); n > 10 || !p.Counts().Off || a.kinds[0] != healthcheck.Health {
		t.Errorf("%d probes, %+v", n, p.Counts())
	}
	a = &asker{answer: healthcheck.Answer{Result: logic.Rejected, Report: logic.NoLoadReport}}
	p = prober(a, 8, true)
	for range 50 {
		p.Check(t.Context(), "a", "a")
	}
	if p.Counts().Off || p.Counts().Unwell != 50 {
		t.Errorf("%+v", p.Counts())
	}
}
