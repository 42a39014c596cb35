package discovery

import (
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"ryeweir/internal/core"
	"ryeweir/internal/testkit"
)

// steppedClock is a time of day that is stepped.
type steppedClock struct{ step atomic.Int64 }

func (s *steppedClock) now() time.Time { return time.Now().Add(time.Duration(s.step.Load())) }

// The time of day of all machines is stepped, and a server starts: it is known to have started just now, neither an hour ago
// nor in an hour, and keeps its start through further steps and lists.
func TestStartsThroughAStepOfTheClock(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour, 3 * time.Second, -3 * time.Second} {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			var wall steppedClock
			clock := core.NewClockWith(wall.now)
			f := testkit.NewDiscovery(t, 1, testkit.EntryText("s-1", "127.0.0.1:1", "Ready", 0))
			events := make(sink, 100)
			d := New(Config{Addr: f.Addr().String(), Agents: 1, Seed: 1, Clock: clock, Sink: events, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
			follow(t, d)
			next(t, events)
			wall.step.Store(int64(step))
			before := clock.Now()
			entry := testkit.EntryText("s-2", "127.0.0.1:2", "Ready", wall.now().UnixMilli())
			f.Set(2, false, entry)
			started := next(t, events).Endpoints[0].StartedAt
			if after := clock.Now(); started < before-10*time.Millisecond || started > after {
				t.Errorf("it started %v before it was listed", after-started)
			}
			wall.step.Store(-int64(step))
			f.Set(3, false, entry)
			if again := next(t, events).Endpoints[0].StartedAt; again != started {
				t.Errorf("after another step it started %v later", again-started)
			}
		})
	}
	// An agent's own clock is an hour ahead of discovery's: a server that is new in the list is as young as the time since discovery
	// was last heard without it, and no hour old.
	t.Run("own clock ahead", func(t *testing.T) {
		clock := core.NewClockWith(func() time.Time { return time.Now().Add(time.Hour) })
		f := testkit.NewDiscovery(t, 1, testkit.EntryText("s-1", "127.0.0.1:1", "Ready", 0))
		events := make(sink, 100)
		d := New(Config{Addr: f.Addr().String(), Agents: 1, Seed: 1, Clock: clock, Sink: events, Log: discard()})
		follow(t, d)
		next(t, events)
		f.Set(2, false, testkit.EntryText("s-2", "127.0.0.1:2", "Ready", time.Now().UnixMilli()))
		if age := clock.Now() - next(t, events).Endpoints[0].StartedAt; age > lateListing+toldAfter/2 {
			t.Errorf("it is %v old", age)
		}
	})
	// One that is in the future, by a clock that is ahead, counts as now: it is in slow start no longer than any other.
	t.Run("in the future", func(t *testing.T) {
		clock := core.NewClock()
		f := testkit.NewDiscovery(t, 1, testkit.EntryText("s-1", "127.0.0.1:1", "Ready", time.Now().Add(time.Hour).UnixMilli()))
		events := make(sink, 100)
		d := New(Config{Addr: f.Addr().String(), Agents: 1, Seed: 1, Clock: clock, Sink: events, Log: discard()})
		follow(t, d)
		if started, now := next(t, events).Endpoints[0].StartedAt, clock.Now(); started > now {
			t.Errorf("it starts in %v", started-now)
		}
	})
}
