package discovery

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ryeweir/internal/testkit"
)

// A list that is older than the known one arrives, in a late response or after a newer list was restored. It is ignored.
func TestOlderListsAreIgnored(t *testing.T) {
	client, sink := newClient(t, testkit.RefusingAddr(t), 1, noCache, io.Discard)
	ready := testkit.EndpointJSON("s-1", "127.0.0.1:1", "Ready", 0)
	for _, step := range []struct {
		text     string
		wantFull bool
		fails    bool
		updates  int
	}{
		{testkit.EndpointListJSON(7, true, ready), true, false, 1},
		{testkit.EndpointListJSON(6, true, ready), true, false, 0},
		{testkit.EndpointListJSON(7, false, ready), false, false, 0},
		{testkit.EndpointListJSON(6, false, ready), false, true, 0},
		{testkit.EndpointListJSON(9, false, ready), true, true, 0},
		{testkit.EndpointListJSON(9, false, ready), false, false, 1},
	} {
		if err := client.apply(parseList(t, step.text), step.wantFull); (err != nil) != step.fails {
			t.Errorf("%s: %v", step.text, err)
		}
		if len(sink) != step.updates {
			t.Errorf("%s: %d updates", step.text, len(sink))
		}
		for len(sink) > 0 {
			<-sink
		}
	}
	if client.known.version != 9 {
		t.Errorf("version %d", client.known.version)
	}
}

// Discovery restarts and numbers its versions from the start. The client requests a full snapshot, because changes since a version of the
// old numbering are meaningless.
func TestLowerVersionNeedsAFullSnapshot(t *testing.T) {
	cached := testkit.EndpointListJSON(41, true, testkit.EndpointJSON("s-1", "127.0.0.1:1", "Ready", 0))
	client, sink := newSubscribedClient(t, "127.0.0.1:1", 12, cached)
	err := client.apply(EndpointList{Version: 7}, false)
	var lower *versionError
	if !errors.As(err, &lower) || lower.known != 41 || lower.received != 7 || client.known.hasVersion() {
		t.Errorf("%v, version %d", err, client.known.version)
	}
	if err := client.apply(EndpointList{Version: 7, Full: true}, true); err != nil || !nextList(t, sink).Full {
		t.Error(err)
	}
}

// Discovery restarts its numbering and responds to a watch with a full snapshot of a lower version. The client must apply such a list
// eventually: if it kept ignoring lower versions, it would never receive an update from the restarted service.
func TestLowerVersionInAFullSnapshotIsApplied(t *testing.T) {
	var restarted atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		since := r.URL.Query().Get("since")
		switch {
		case !restarted.Load() && since == "":
			io.WriteString(w, testkit.EndpointListJSON(41, true, testkit.EndpointJSON("s-1", "127.0.0.1:1", "Ready", 0)))
		case restarted.Load() && since != "3":
			io.WriteString(w, testkit.EndpointListJSON(3, true, testkit.EndpointJSON("s-2", "127.0.0.1:2", "Ready", 0)))
		default:
			time.Sleep(20 * time.Millisecond)
			io.WriteString(w, testkit.EndpointListJSON(41, false))
		}
	}))
	t.Cleanup(server.Close)
	client, sink := newClient(t, strings.TrimPrefix(server.URL, "http://"), 1, noCache, io.Discard)
	run(t, client)
	nextList(t, sink)
	restarted.Store(true)
	if list := nextList(t, sink); !list.Full || len(list.Endpoints) != 1 || list.Endpoints[0].ID != "s-2" {
		t.Errorf("%+v", list)
	}
}

// Discovery is available again after an outage in which the list did not change. The sink is notified once, because the balancer counts
// failed polls and must know that polling works again.
func TestSinkIsNotifiedWhenDiscoveryIsBackWithoutChange(t *testing.T) {
	client, sink := newSubscribedClient(t, "127.0.0.1:1", 1, noCache)
	client.known.version, client.unavailable, client.backoff.failures = 41, true, 3
	if err := client.apply(EndpointList{Version: 41}, false); err != nil || client.unavailable || client.backoff.failures != 0 {
		t.Error(err, client.unavailable, client.backoff.failures)
	}
	if list := nextList(t, sink); list.Full || len(list.Endpoints) != 0 {
		t.Errorf("%+v", list)
	}
	client.apply(EndpointList{Version: 41}, false)
	if len(sink) > 0 {
		t.Error("sink notified twice, want once")
	}
}

// A full snapshot contains malformed entries. The rest of the list is applied, known endpoints with malformed entries are kept, and only
// one of the entries is logged.
func TestMalformedEntryKeepsTheLastKnownState(t *testing.T) {
	var log testkit.LockedBuffer
	client, sink := newClient(t, testkit.RefusingAddr(t), 1, noCache, &log)
	for version, entries := range [][]string{
		{testkit.EndpointJSON("s-1", "127.0.0.1:1", "Ready", 0), testkit.EndpointJSON("s-2", "127.0.0.1:2", "Ready", 0)},
		{testkit.EndpointJSON("s-1", "127.0.0.1:1", "Asleep", 0), testkit.EndpointJSON("s-3", "no address", "Ready", 0), `{"id":9}`, `"x"`,
			testkit.EndpointJSON("s-4", "127.0.0.1:4", "Ready", 0)},
	} {
		if err := client.apply(parseList(t, testkit.EndpointListJSON(version, true, entries...)), true); err != nil {
			t.Fatal(err)
		}
	}
	<-sink
	var ids []string
	for _, endpoint := range nextList(t, sink).Endpoints {
		ids = append(ids, endpoint.ID)
	}
	if got := strings.Join(ids, " "); got != "s-1 s-4" {
		t.Errorf("list contains %q, want \"s-1 s-4\"", got)
	}
	if n := log.Count("malformed"); n != 1 {
		t.Errorf("%d malformed entries logged, want 1", n)
	}
}

// Discovery sends a list over the size limit. The client logs an error that says so, keeps the last list, and applies the next shorter one.
func TestListOverTheLimitIsAnError(t *testing.T) {
	server := testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", "127.0.0.1:1", "Ready", 0))
	var log testkit.LockedBuffer
	client, sink := newClient(t, server.Addr().String(), 1, noCache, &log)
	run(t, client)
	nextList(t, sink)
	entry := testkit.EndpointJSON("s-2", "127.0.0.1:2", "Ready", 0)
	server.Set(2, true, entry, testkit.EndpointJSON(strings.Repeat("s", maxListBytes), "127.0.0.1:3", "Ready", 0))
	want := "discovery at " + server.Addr().String() + ": endpoint list exceeds"
	testkit.Eventually(t, "the error is logged with the address", func() bool { return log.Count(want) > 0 })
	server.Set(3, true, entry)
	if list := nextList(t, sink); len(list.Endpoints) != 1 || list.Endpoints[0].ID != "s-2" {
		t.Errorf("%d endpoints", len(list.Endpoints))
	}
}
