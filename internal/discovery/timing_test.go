package discovery

import (
	"testing"

	"ryeweir/internal/testkit"
)

// All agents of a fleet start, or lose discovery, at once. In a fleet of any size their requests are spread over less than half of the
// notification deadline, and no watch is longer than that unless discovery is overloaded. A small fleet is not spread.
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
			t.Errorf("%d agents begin from version %d with a watch of %v", agents, client.known.version, client.pacing.timeout)
		}
	}
	if MaxRetryInterval > notificationDeadline/2 {
		t.Errorf("a failed request is made again after %v", MaxRetryInterval)
	}
}
