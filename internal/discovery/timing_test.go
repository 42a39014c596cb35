package discovery

import (
	"testing"

	"ryeweir/internal/testkit"
)

// All agents of a fleet start, or lose discovery, at the same time. For any fleet size their requests are spread over at most half of the
// notification deadline, and no watch is longer than that unless discovery is overloaded. The requests of a small fleet are not spread.
func TestRequestsAreSpreadWithinTheNotificationDeadline(t *testing.T) {
	cached := testkit.EndpointListJSON(41, true, testkit.EndpointJSON("s-1", "127.0.0.1:1", "Ready", 0))
	for _, agents := range []int{1, smallFleet, 20, 48, 300, 2000, 100000} {
		client, _ := newSubscribedClient(t, "127.0.0.1:1", agents, cached)
		large, timing := agents > smallFleet, client.timing
		if (timing.StartSpread > 0) != large || (timing.RetrySpread > 0) != large {
			t.Errorf("%d agents: %+v", agents, timing)
		}
		if timing.StartSpread+requestTimeout > notificationDeadline/2 || timing.RetrySpread > notificationDeadline/2 {
			t.Errorf("%d agents: %+v", agents, timing)
		}
		if timing.MaxWatchTimeout < WatchTimeout || !large && timing.MaxWatchTimeout > WatchTimeout || timing.MaxWatchTimeout > maxWatchTimeout {
			t.Errorf("%d agents: %+v", agents, timing)
		}
		if client.known.version != 41 || client.pacing.timeout != notificationDeadline/2 {
			t.Errorf("%d agents start from version %d with a watch timeout of %v", agents, client.known.version, client.pacing.timeout)
		}
	}
	if MaxRetryInterval > notificationDeadline/2 {
		t.Errorf("MaxRetryInterval is %v, over half of the notification deadline", MaxRetryInterval)
	}
}
