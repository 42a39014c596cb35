package discovery

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"ryeweir/internal/core"
	"ryeweir/internal/testkit"
)

// noCache is the JSON of an empty cached list.
const noCache = "null"

// sinkEvent is a call of a Sink: an endpoint list, or a notice that discovery is unavailable.
type sinkEvent struct {
	list        core.EndpointList
	unavailable bool
}

// testSink is a Sink that sends each call to a channel.
type testSink chan sinkEvent

func (s testSink) UpdateEndpoints(list core.EndpointList) { s <- sinkEvent{list: list} }
func (s testSink) DiscoveryUnavailable()                  { s <- sinkEvent{unavailable: true} }

// newClient returns a client in a fleet with this number of agents, and its sink.
func newClient(t *testing.T, addr string, agents int, cached string, log io.Writer) (*Client, testSink) {
	t.Helper()
	return newClientWith(t, Config{Addr: addr, Agents: agents, Clock: core.NewClock(), Log: slog.New(slog.NewTextHandler(log, nil))}, cached)
}

// newSubscribedClient returns a client with SubscriptionRequired for which Subscribe has been called.
func newSubscribedClient(t *testing.T, addr string, agents int, cached string) (*Client, testSink) {
	t.Helper()
	client, sink := newClientWith(t, Config{Addr: addr, Agents: agents, SubscriptionRequired: true, Clock: core.NewClock(), Log: discardLog()}, cached)
	client.Subscribe()
	return client, sink
}

// newClientWith returns a client with cfg, completed with the cached list, the zones, a seed and a sink.
func newClientWith(t *testing.T, cfg Config, cached string) (*Client, testSink) {
	t.Helper()
	sink := make(testSink, 100)
	cfg.CachedList, cfg.Zones, cfg.Seed, cfg.Sink = parseList(t, cached), []string{"edinburgh-dc"}, 1, sink
	return New(cfg), sink
}

func parseList(t *testing.T, text string) EndpointList {
	t.Helper()
	list, err := ParseEndpointList([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return list
}

// run runs the client in the background until the test ends.
func run(t *testing.T, client *Client) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { client.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
}

// nextList waits for the next endpoint list and returns it.
func nextList(t *testing.T, sink testSink) core.EndpointList {
	t.Helper()
	select {
	case got := <-sink:
		if got.unavailable {
			t.Fatal("got DiscoveryUnavailable, want an endpoint list")
		}
		return got.list
	case <-time.After(testkit.WaitTimeout):
		t.Fatal("no endpoint list received in time")
	}
	return core.EndpointList{}
}

func discardLog() *slog.Logger { return slog.New(slog.DiscardHandler) }
