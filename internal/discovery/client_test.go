package discovery

import (
	"io"
	"testing"
	"time"

	"ryeweir/internal/testkit"
	"ryeweir/logic"
)

func TestClientAppliesWatchEvents(t *testing.T) {
	server := testkit.NewDiscovery(t, 41, testkit.EndpointJSON("s-1", "127.0.0.1:1", "Ready", 0), testkit.EndpointJSON("s-2", "127.0.0.1:2", "Ready", 5))
	client, sink := newClient(t, server.Addr().String(), 1, noCache, io.Discard)
	run(t, client)
	if list := nextList(t, sink); !list.Full || len(list.Endpoints) != 2 || list.Endpoints[0].Addr != "127.0.0.1:1" ||
		list.Endpoints[1].StartedAt == 0 || list.Endpoints[0].StartedAt != 0 {
		t.Errorf("%+v", list)
	}
	server.Set(43, false, testkit.EndpointJSON("s-1", "127.0.0.1:1", "Terminating", 0))
	if list := nextList(t, sink); list.Full || len(list.Endpoints) != 1 || list.Endpoints[0].State != logic.Draining {
		t.Errorf("%+v", list)
	}
	server.Set(44, false, testkit.EndpointJSON("s-1", "", "Gone", 0))
	if list := nextList(t, sink); list.Full || len(list.Endpoints) != 1 || list.Endpoints[0].State != logic.Removed {
		t.Errorf("%+v", list)
	}
	if snapshots, _ := server.Calls(); snapshots != 1 {
		t.Errorf("%d requests for a full snapshot", snapshots)
	}
}

// A watch ends without a change. The client starts the next one immediately, so that a change between two watches is not noticed late.
func TestWatchesFollowEachOther(t *testing.T) {
	t.Parallel()
	server := testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", "127.0.0.1:1", "Ready", 0))
	client, sink := newClient(t, server.Addr().String(), 1, noCache, io.Discard)
	run(t, client)
	nextList(t, sink)
	testkit.Eventually(t, "a second watch starts", func() bool { _, n := server.Calls(); return n > 1 })
	if len(sink) > 0 {
		t.Error("a watch without a change updated the list")
	}
}

// Discovery stops responding and later recovers. The last list stays in effect during the outage, the start and the end of the outage are
// logged once each, and the first list afterwards is a full snapshot.
func TestOutageKeepsTheLastListUntilAFullSnapshot(t *testing.T) {
	t.Parallel()
	server := testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", "127.0.0.1:1", "Ready", 0))
	var log testkit.LockedBuffer
	client, sink := newClient(t, server.Addr().String(), 1, noCache, &log)
	run(t, client)
	nextList(t, sink)
	server.SetSilent(true)
	testkit.Eventually(t, "the outage is logged", func() bool { return log.Count("discovery unavailable") == 1 })
	if len(sink) > 0 {
		t.Errorf("the outage changed the list: %+v", <-sink)
	}
	server.Set(5, true, testkit.EndpointJSON("s-2", "127.0.0.1:2", "Ready", 0))
	server.SetSilent(false)
	if list := nextList(t, sink); !list.Full || len(list.Endpoints) != 1 || list.Endpoints[0].ID != "s-2" {
		t.Errorf("%+v", list)
	}
	if log.Count("discovery available again") != 1 {
		t.Error("the end of the outage was not logged exactly once")
	}
}

// A process starts with a cached list, which may contain endpoints that have been removed. The list is used only if discovery does not
// respond at once. Any list that discovery returns later replaces it, whatever its version.
func TestCachedListIsUsedOnlyIfDiscoveryIsSilent(t *testing.T) {
	t.Parallel()
	server := testkit.NewDiscovery(t, 3, testkit.EndpointJSON("s-new", "127.0.0.1:1", "Ready", 0))
	cached := parseList(t, testkit.EndpointListJSON(41, true, testkit.EndpointJSON("s-old", "127.0.0.1:2", "Ready", 0)))
	for name, ids := range map[string][]string{"answers": {"s-new"}, "is silent at first": {"s-old", "s-new"}} {
		client, sink := newClient(t, server.Addr().String(), 1, noCache, io.Discard)
		client.cfg.CachedList = cached
		server.SetSilent(len(ids) > 1)
		run(t, client)
		for _, want := range ids {
			if list := nextList(t, sink); len(list.Endpoints) != 1 || list.Endpoints[0].ID != want {
				t.Errorf("%s: %+v, want %s", name, list, want)
			}
			server.SetSilent(false)
		}
	}
}

// A subscription fails. The sink is notified, because the balancer decides when to poll again.
func TestSinkIsNotifiedOfAFailedSubscription(t *testing.T) {
	client, sink := newClient(t, testkit.RefusingAddr(t), 1, noCache, io.Discard)
	client.cfg.SubscriptionRequired = true
	run(t, client)
	client.Subscribe()
	select {
	case got := <-sink:
		if !got.unavailable {
			t.Errorf("%+v", got)
		}
	case <-time.After(testkit.WaitTimeout):
		t.Fatal("the sink was not notified")
	}
}

// An agent of a large fleet starts with a cached list. It uses that list and watches from its version on instead of requesting a full
// snapshot. Each watch starts immediately after the previous one, so that no change is received late.
func TestLargeFleetStartsFromTheCachedVersion(t *testing.T) {
	server := testkit.NewDiscovery(t, 41, testkit.EndpointJSON("s-1", "127.0.0.1:1", "Ready", 0))
	server.Set(42, false, testkit.EndpointJSON("s-2", "127.0.0.1:2", "Ready", 0))
	cached := testkit.EndpointListJSON(41, true, testkit.EndpointJSON("s-1", "127.0.0.1:1", "Ready", 0))
	client, sink := newSubscribedClient(t, server.Addr().String(), 12, cached)
	client.timing.StartSpread = 0
	run(t, client)
	if list := nextList(t, sink); !list.Full || list.Endpoints[0].ID != "s-1" {
		t.Errorf("cached: %+v", list)
	}
	for i := range 3 {
		if list := nextList(t, sink); list.Full || list.Endpoints[0].ID != "s-2" {
			t.Errorf("change %d: %+v", i, list)
		}
		server.Set(43+i, false, testkit.EndpointJSON("s-2", "127.0.0.1:2", "Ready", int64(i)))
	}
	if snapshots, watches := server.Calls(); snapshots != 0 || watches < 3 {
		t.Errorf("%d requests for a full snapshot, %d watches", snapshots, watches)
	}
}

// The address of discovery changes while the balancer is backing off from the old one. The new address is polled without another call of
// Subscribe.
func TestNewAddressIsPolledWithoutASubscription(t *testing.T) {
	server := testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", "127.0.0.1:1", "Ready", 0))
	client, sink := newClient(t, testkit.RefusingAddr(t), 1, noCache, io.Discard)
	client.cfg.SubscriptionRequired = true
	run(t, client)
	client.SetAddress(server.Addr().String())
	if list := nextList(t, sink); len(list.Endpoints) != 1 {
		t.Errorf("%+v", list)
	}
}

// A reload keeps the address of discovery, or changes it and changes it back immediately. The subscription must stay active, because nothing
// else would start polling again.
func TestReloadWithTheSameAddressKeepsTheSubscription(t *testing.T) {
	for name, reload := range map[string]func(client *Client, addr string){
		"the same address": func(client *Client, addr string) { client.SetAddress(addr) },
		"changed and changed back": func(client *Client, addr string) {
			client.SetAddress("127.0.0.1:1")
			client.SetAddress(addr)
		},
		"many in a row": func(client *Client, addr string) {
			for range 20 {
				client.SetAddress(addr)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", "127.0.0.1:1", "Ready", 0))
			client, sink := newSubscribedClient(t, server.Addr().String(), 1, noCache)
			run(t, client)
			nextList(t, sink)
			testkit.Eventually(t, "a watch is open", func() bool { _, watches := server.Calls(); return watches > 0 })
			reload(client, server.Addr().String())
			time.Sleep(50 * time.Millisecond) // long enough for the old session to end
			server.Set(2, false, testkit.EndpointJSON("s-1", "127.0.0.1:1", "Terminating", 0))
			select {
			case <-sink:
			case <-time.After(notificationDeadline):
				t.Fatal("the change was never received")
			}
		})
	}
}
