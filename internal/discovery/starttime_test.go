package discovery

import (
	"sync/atomic"
	"testing"
	"time"

	"ryeweir/internal/core"
	"ryeweir/internal/testkit"
)

// steppedClock is a wall clock that a test can step.
type steppedClock struct{ step atomic.Int64 }

func (s *steppedClock) now() time.Time { return time.Now().Add(time.Duration(s.step.Load())) }

// The wall clock of all machines is stepped, and then an endpoint starts. Its start time must be close to the current time, neither an hour
// ago nor in an hour, and must not change with further steps and lists.
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
				t.Errorf("start time is %v before the endpoint was listed", after-startedAt)
			}
			wall.step.Store(-int64(step))
			server.Set(3, false, entry)
			if again := nextList(t, sink).Endpoints[0].StartedAt; again != startedAt {
				t.Errorf("after another step the start time is %v later", again-startedAt)
			}
		})
	}
	// The agent's clock is an hour ahead of discovery's. A new endpoint in the list must be at most about as old as the time since the last
	// response of discovery, not an hour old.
	t.Run("own clock ahead", func(t *testing.T) {
		clock := core.NewClockWith(func() time.Time { return time.Now().Add(time.Hour) })
		server := testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", "127.0.0.1:1", "Ready", 0))
		client, sink := newClientWith(t, Config{Addr: server.Addr().String(), Agents: 1, Clock: clock, Log: discardLog()}, noCache)
		run(t, client)
		nextList(t, sink)
		server.Set(2, false, testkit.EndpointJSON("s-2", "127.0.0.1:2", "Ready", time.Now().UnixMilli()))
		if age := clock.Now() - nextList(t, sink).Endpoints[0].StartedAt; age > maxListingDelay+notificationDeadline/2 {
			t.Errorf("endpoint is %v old", age)
		}
	})
	// The clock of the endpoint is ahead. A start time in the future is replaced with the current time, so that slow start is not
	// prolonged.
	t.Run("in the future", func(t *testing.T) {
		clock := core.NewClock()
		server := testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", "127.0.0.1:1", "Ready", time.Now().Add(time.Hour).UnixMilli()))
		client, sink := newClientWith(t, Config{Addr: server.Addr().String(), Agents: 1, Clock: clock, Log: discardLog()}, noCache)
		run(t, client)
		if startedAt, now := nextList(t, sink).Endpoints[0].StartedAt, clock.Now(); startedAt > now {
			t.Errorf("endpoint starts in %v", startedAt-now)
		}
	})
}
