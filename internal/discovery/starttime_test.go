package discovery

import (
	"sync/atomic"
	"testing"
	"time"

	"ryeweir/internal/core"
	"ryeweir/internal/testkit"
)

// steppedClock is a time of day that is stepped.
type steppedClock struct{ step atomic.Int64 }

func (s *steppedClock) now() time.Time { return time.Now().Add(time.Duration(s.step.Load())) }

// The time of day of all machines is stepped, and an endpoint starts. It is known to have started just now, neither an hour ago nor in an
// hour, and its start stays the same through further steps and lists.
func TestStartTimeSurvivesStepsOfTheClock(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour, 3 * time.Second, -3 * time.Second} {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			var wall steppedClock
			clock := core.NewClockWith(wall.now)
			server := testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", "127.0.0.1:1", "Ready", 0))
			client, sink := newClientWith(t, Config{Addr: server.Addr().String(), Agents: 1, Clock: clock, Log: discardLog()}, noCache)
			run(t, client)
			nextList(t, sink)
			wall.step.Store(int64(step))
			before := clock.Now()
			entry := testkit.EndpointJSON("s-2", "127.0.0.1:2", "Ready", wall.now().UnixMilli())
			server.Set(2, false, entry)
			startedAt := nextList(t, sink).Endpoints[0].StartedAt
			if after := clock.Now(); startedAt < before-10*time.Millisecond || startedAt > after {
				t.Errorf("it started %v before it was listed", after-startedAt)
			}
			wall.step.Store(-int64(step))
			server.Set(3, false, entry)
			if again := nextList(t, sink).Endpoints[0].StartedAt; again != startedAt {
				t.Errorf("after another step it started %v later", again-startedAt)
			}
		})
	}
	// The agent's clock is an hour ahead of discovery's. An endpoint that is new in the list is as old as the time since discovery last
	// answered, and not an hour.
	t.Run("own clock ahead", func(t *testing.T) {
		clock := core.NewClockWith(func() time.Time { return time.Now().Add(time.Hour) })
		server := testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", "127.0.0.1:1", "Ready", 0))
		client, sink := newClientWith(t, Config{Addr: server.Addr().String(), Agents: 1, Clock: clock, Log: discardLog()}, noCache)
		run(t, client)
		nextList(t, sink)
		server.Set(2, false, testkit.EndpointJSON("s-2", "127.0.0.1:2", "Ready", time.Now().UnixMilli()))
		if age := clock.Now() - nextList(t, sink).Endpoints[0].StartedAt; age > maxListingDelay+notificationDeadline/2 {
			t.Errorf("it is %v old", age)
		}
	})
	// The endpoint's clock is ahead. A start in the future counts as now, so that its slow start is no longer than any other.
	t.Run("in the future", func(t *testing.T) {
		clock := core.NewClock()
		server := testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", "127.0.0.1:1", "Ready", time.Now().Add(time.Hour).UnixMilli()))
		client, sink := newClientWith(t, Config{Addr: server.Addr().String(), Agents: 1, Clock: clock, Log: discardLog()}, noCache)
		run(t, client)
		if startedAt, now := nextList(t, sink).Endpoints[0].StartedAt, clock.Now(); startedAt > now {
			t.Errorf("it starts in %v", startedAt-now)
		}
	})
}
