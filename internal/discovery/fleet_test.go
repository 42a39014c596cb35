package discovery

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ryeweir/internal/core"
	"ryeweir/internal/emulator/discovery"
	"ryeweir/internal/emulator/link"
	"ryeweir/logic"
)

// notificationLog is a Sink that records the time of the first notification of each state of each endpoint.
type notificationLog struct {
	mu sync.Mutex
	at map[string]time.Time
}

func newNotificationLog() *notificationLog { return &notificationLog{at: map[string]time.Time{}} }

func stateKey(id string, state logic.EndpointState) string { return fmt.Sprint(id, state) }

func (n *notificationLog) DiscoveryUnavailable() {}

func (n *notificationLog) UpdateEndpoints(list core.EndpointList) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, endpoint := range list.Endpoints {
		key := stateKey(endpoint.ID, endpoint.State)
		if _, ok := n.at[key]; !ok {
			n.at[key] = time.Now()
		}
	}
}

func (n *notificationLog) when(id string, state logic.EndpointState) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	at, ok := n.at[stateKey(id, state)]
	return at, ok
}

const discoveryRate = 60 // requests per second that the discovery service of the fleet serves

// testFleet is a fleet of clients of one emulated discovery service, connected in memory.
type testFleet struct {
	t       *testing.T
	server  *discovery.Server
	clients []*notificationLog
	running sync.WaitGroup
}

func startFleet(ctx context.Context, t *testing.T, agents int) *testFleet {
	t.Helper()
	network := link.NewNetwork(1)
	listener, err := network.Listen("discovery:80")
	if err != nil {
		t.Fatal(err)
	}
	fleet := &testFleet{t: t, server: discovery.New(discovery.Config{Rate: discoveryRate}), clients: make([]*notificationLog, agents)}
	for i := range 16 {
		fleet.set(fmt.Sprint("s", i), discovery.Ready)
	}
	fleet.server.Serve(listener, "all")
	cached := parseList(t, `{"version":16,"full":true,"servers":[{"id":"s0","addr":"127.0.0.1:1","zone":"a","state":"Ready","weight":1}]}`)
	for i := range fleet.clients {
		fleet.clients[i] = newNotificationLog()
		client := New(Config{
			Addr:       "discovery:80",
			Agents:     agents,
			CachedList: cached,
			Zones:      []string{"a"},
			Seed:       uint64(i) + 1,
			Clock:      core.NewClock(),
			Sink:       fleet.clients[i],
			Dial: func(ctx context.Context, n, addr string) (net.Conn, error) {
				return network.Dialer("agent")(ctx, n, addr)
			},
			Log: discardLog(),
		})
		fleet.running.Go(func() { client.Run(ctx) })
	}
	return fleet
}

func (f *testFleet) set(id, state string) {
	f.server.Set(discovery.Entry{ID: id, Addr: "127.0.0.1:1", Zone: "a", State: state, Weight: 1}, 0)
}

// lastNotified returns the time from since until the last agent was notified. It fails the test if an agent was not notified.
func (f *testFleet) lastNotified(id string, state logic.EndpointState, since time.Time) (longest time.Duration) {
	f.t.Helper()
	for i, client := range f.clients {
		at, ok := client.when(id, state)
		if !ok {
			f.t.Fatalf("agent %d was not notified of %s", i, stateKey(id, state))
		}
		longest = max(longest, at.Sub(since))
	}
	return longest
}

// checkQuietMinute checks the request rate during a minute without changes: it is bounded for any fleet size, and no request is rejected.
func (f *testFleet) checkQuietMinute() {
	f.t.Helper()
	before := f.server.Figures()
	time.Sleep(time.Minute)
	after := f.server.Figures()
	requests := after.FullLists + after.Watches - before.FullLists - before.Watches
	agents := float64(len(f.clients))
	f.t.Logf("%v agents: %.1f requests per second, %.2f per agent and minute", agents, float64(requests)/60, float64(requests)/agents)
	if requests > max(70, 40*60) || after.Rejected > before.Rejected {
		f.t.Errorf("%d requests in a minute without changes, %d rejected", requests, after.Rejected-before.Rejected)
	}
}

// checkDrain checks that all agents are notified of a drain within 250 ms.
func (f *testFleet) checkDrain() {
	f.t.Helper()
	drainedAt := time.Now()
	f.set("s1", discovery.Terminating)
	time.Sleep(20 * time.Second)
	longest := f.lastNotified("s1", logic.Draining, drainedAt)
	f.t.Logf("the last agent was notified of a drain after %v", longest)
	if longest > 250*time.Millisecond {
		f.t.Errorf("the last agent was notified of the drain after %v", longest)
	}
}

// checkOutage replaces an endpoint during an outage of a minute. It checks how soon after the outage all agents are notified, and how many
// of their requests are rejected until then.
func (f *testFleet) checkOutage() {
	f.t.Helper()
	f.server.SetOutage(true)
	time.Sleep(30 * time.Second)
	f.set("s2", discovery.Removed)
	f.set("s2-new", discovery.Ready)
	time.Sleep(30 * time.Second)
	f.server.SetOutage(false)
	endedAt, before := time.Now(), f.server.Figures()
	time.Sleep(2 * time.Minute)
	rejected := f.server.Figures().Rejected - before.Rejected
	longest := f.lastNotified("s2-new", logic.Ready, endedAt)
	f.t.Logf("the last agent was notified %v after the outage; %d requests were rejected after the outage", longest, rejected)
	// A rejected agent backs off again, for at most MaxRetryInterval. If the fleet has more agents than discovery serves in twice the
	// notification deadline, most requests are retries of rejected agents, so the limits allow for them.
	agents := len(f.clients)
	rounds, maxRejected := time.Duration(2), 2*agents
	if float64(agents) > 2*discoveryRate*notificationDeadline.Seconds() {
		rounds, maxRejected = 3, agents*int(longest/(MaxRetryInterval/2))
	}
	if longest > notificationDeadline+rounds*time.Duration(agents)*time.Second/discoveryRate {
		f.t.Errorf("the last agent was notified %v after the outage", longest)
	}
	if rejected > maxRejected {
		f.t.Errorf("%d requests rejected after the outage", rejected)
	}
}

// Fleets of different sizes share one discovery service that serves 60 requests per second. All agents are notified of a drain at once. After
// an outage of a minute, in which an endpoint is replaced, all agents are notified soon, without a burst of requests that discovery would
// reject.
func TestFleetIsNotifiedInTimeAndSpreadsItsRequests(t *testing.T) {
	sizes := []int{1, 100, 400}
	if os.Getenv("RYEWEIR_LONG") != "" { // takes 30 s with -race
		sizes = append(sizes, 2000)
	}
	for _, agents := range sizes {
		t.Run(fmt.Sprint(agents), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				fleet := startFleet(ctx, t, agents)
				time.Sleep(2 * time.Minute)
				fleet.checkQuietMinute()
				fleet.checkDrain()
				fleet.checkOutage()
				cancel()
				fleet.running.Wait()
				fleet.server.Close()
			})
		})
	}
}
