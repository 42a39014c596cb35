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

// noCache is an empty cached list.
const noCache = "null"

// sinkEvent is one call of a sink: an endpoint list, or discovery is unavailable.
type sinkEvent struct {
	list        core.EndpointList
	unavailable bool
}

// testSink puts what it is notified of into a channel.
type testSink chan sinkEvent

func (s testSink) UpdateEndpoints(list core.EndpointList) { s <- sinkEvent{list: list} }
func (s testSink) DiscoveryUnavailable()                  { s <- sinkEvent{unavailable: true} }

// newClient returns a client in a fleet of so many agents, and its sink.
func newClient(t *testing.T, addr string, agents int, cached string, log io.Writer) (*Client, testSink) {
	t.Helper()
	return newClientWith(t, Config{Addr: addr, Agents: agents, Clock: core.NewClock(), Log: slog.New(slog.NewTextHandler(log, nil))}, cached)
}

// newSubscribedClient returns a client that must subscribe and has done so.
func newSubscribedClient(t *testing.T, addr string, agents int, cached string) (*Client, testSink) {
	t.Helper()
	client, sink := newClientWith(t, Config{Addr: addr, Agents: agents, SubscriptionRequired: true, Clock: core.NewClock(), Log: discardLog()}, cached)
	client.Subscribe()
	return client, sink
}

// newClientWith returns a client with the rest of its configuration filled in.
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

// run runs the client until the test ends.
func run(t *testing.T, client *Client) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { client.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
}

// nextList waits for the next endpoint list.
func nextList(t *testing.T, sink testSink) core.EndpointList {
	t.Helper()
	select {
	case got := <-sink:
		if got.unavailable {
			t.Fatal("discovery is unavailable where a list was expected")
		}
		return got.list
	case <-time.After(testkit.WaitTimeout):
		t.Fatal("no list came")
	}
	return core.EndpointList{}
}

func discardLog() *slog.Logger { return slog.New(slog.DiscardHandler) }
