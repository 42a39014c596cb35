package discovery

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ryeweir/internal/core"
	"ryeweir/internal/testkit"
	"ryeweir/logic"
)

// sink puts what it is told into a channel.
type sink chan any

func (s sink) UpdateEndpoints(l core.EndpointList) { s <- l }
func (s sink) DiscoveryUnavailable()               { s <- "unavailable" }

// follower is a discovery client whose events a test reads. It has the list of an earlier life, and so many agents beside it.
func follower(t *testing.T, url string, agents int, known string, log io.Writer) (*Client, sink) {
	t.Helper()
	return newFollower(t, Config{Addr: url, Agents: agents, Log: slog.New(slog.NewTextHandler(log, nil))}, known)
}

func newFollower(t *testing.T, cfg Config, known string) (*Client, sink) {
	t.Helper()
	l, err := ParseEndpointList([]byte(known))
	if err != nil {
		t.Fatal(err)
	}
	events := make(sink, 100)
	cfg.CachedList, cfg.Zones, cfg.Seed, cfg.Clock, cfg.Sink = l, []string{"edinburgh-dc"}, 1, core.NewClock(), events
	return New(cfg), events
}

// follow runs it until the test ends.
func follow(t *testing.T, d *Client) {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { d.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })
}

func next(t *testing.T, events sink) core.EndpointList {
	t.Helper()
	select {
	case ev := <-events:
		return ev.(core.EndpointList)
	case <-time.After(testkit.Patience):
		t.Fatal("no list came")
	}
	return core.EndpointList{}
}

func TestFollowsChanges(t *testing.T) {
	f := testkit.NewDiscovery(t, 41, testkit.EntryText("s-1", "127.0.0.1:1", "Ready", 0), testkit.EntryText("s-2", "127.0.0.1:2", "Ready", 5))
	d, events := follower(t, f.Addr().String(), 1, "null", io.Discard)
	follow(t, d)
	if l := next(t, events); !l.Full || len(l.Endpoints) != 2 || l.Endpoints[0].Addr != "127.0.0.1:1" || l.Endpoints[1].StartedAt == 0 ||
		l.Endpoints[0].StartedAt != 0 {
		t.Errorf("%+v", l)
	}
	f.Set(43, false, testkit.EntryText("s-1", "127.0.0.1:1", "Terminating", 0))
	if l := next(t, events); l.Full || len(l.Endpoints) != 1 || l.Endpoints[0].State != logic.Draining {
		t.Errorf("%+v", l)
	}
	f.Set(44, false, testkit.EntryText("s-1", "", "Gone", 0))
	if l := next(t, events); l.Full || len(l.Endpoints) != 1 || l.Endpoints[0].State != logic.Removed {
		t.Errorf("%+v", l)
	}
	if wholes, _ := f.Calls(); wholes != 1 {
		t.Errorf("%d calls for the whole list", wholes)
	}
}

// Watches go on back to back: a later call would be a new watch, and what changed meanwhile might be missed.
func TestWatchesGoOn(t *testing.T) {
	t.Parallel()
	f := testkit.NewDiscovery(t, 1, testkit.EntryText("s-1", "127.0.0.1:1", "Ready", 0))
	d, events := follower(t, f.Addr().String(), 1, "null", io.Discard)
	follow(t, d)
	next(t, events)
	testkit.Eventually(t, "a second watch", func() bool { _, n := f.Calls(); return n > 1 })
	if len(events) > 0 {
		t.Error("a watch without news brought some")
	}
}

// In an outage the last list stands; the silence is noticed, and the first list after it is a whole one.
func TestOutage(t *testing.T) {
	t.Parallel()
	f := testkit.NewDiscovery(t, 1, testkit.EntryText("s-1", "127.0.0.1:1", "Ready", 0))
	var log testkit.LockedBuffer
	d, events := follower(t, f.Addr().String(), 1, "null", &log)
	follow(t, d)
	next(t, events)
	f.Silence(true)
	testkit.Eventually(t, "the silence is noticed", func() bool { return log.Count("out of reach") == 1 })
	if len(events) > 0 {
		t.Errorf("the outage changed the list: %+v", <-events)
	}
	f.Set(5, true, testkit.EntryText("s-2", "127.0.0.1:2", "Ready", 0))
	f.Silence(false)
	if l := next(t, events); !l.Full || len(l.Endpoints) != 1 || l.Endpoints[0].ID != "s-2" {
		t.Errorf("%+v", l)
	}
	if log.Count("discovery is back") != 1 {
		t.Error("its end is not in the log")
	}
}

// An older list than the one held, such as a late answer or an agent restored from a newer one, changes nothing.
func TestVersionsOnlyGoForward(t *testing.T) {
	d, events := follower(t, testkit.Refusing(t), 1, "null", io.Discard)
	takes := func(text string, whole bool) error {
		t.Helper()
		l, err := ParseEndpointList([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		return d.take(l, whole)
	}
	ready := testkit.EntryText("s-1", "127.0.0.1:1", "Ready", 0)
	for _, step := range []struct {
		text   string
		whole  bool
		fails  bool
		events int
	}{
		{testkit.ListText(7, true, ready), true, false, 1},
		{testkit.ListText(6, true, ready), true, false, 0},
		{testkit.ListText(7, false, ready), false, false, 0},
		{testkit.ListText(6, false, ready), false, true, 0},
		{testkit.ListText(9, false, ready), true, true, 0},
		{testkit.ListText(9, false, ready), false, false, 1},
	} {
		if err := takes(step.text, step.whole); (err != nil) != step.fails {
			t.Errorf("%s: %v", step.text, err)
		}
		if len(events) != step.events {
			t.Errorf("%s: %d events", step.text, len(events))
		}
		for len(events) > 0 {
			<-events
		}
	}
	if d.version != 9 {
		t.Errorf("version %d", d.version)
	}
}

// After a restart discovery's list comes before the known one, which may name what has gone; the known one is used
// where discovery does not answer, and any list from discovery is newer then, whatever its version.
func TestKnownListIsTheSecondChoice(t *testing.T) {
	t.Parallel()
	f := testkit.NewDiscovery(t, 3, testkit.EntryText("s-new", "127.0.0.1:1", "Ready", 0))
	known, err := ParseEndpointList([]byte(testkit.ListText(41, true, testkit.EntryText("s-old", "127.0.0.1:2", "Ready", 0))))
	if err != nil {
		t.Fatal(err)
	}
	for name, ids := range map[string][]string{"answers": {"s-new"}, "is silent at first": {"s-old", "s-new"}} {
		d, events := follower(t, f.Addr().String(), 1, "null", io.Discard)
		d.known = known
		f.Silence(len(ids) > 1)
		follow(t, d)
		for _, want := range ids {
			if l := next(t, events); len(l.Endpoints) != 1 || l.Endpoints[0].ID != want {
				t.Errorf("%s: %+v, want %s", name, l, want)
			}
			f.Silence(false)
		}
	}
}

// A malformed entry neither spoils the list nor takes its backend from it, and is logged once.
func TestMalformedEntries(t *testing.T) {
	var log testkit.LockedBuffer
	d, events := follower(t, testkit.Refusing(t), 1, "null", &log)
	for i, entries := range [][]string{
		{testkit.EntryText("s-1", "127.0.0.1:1", "Ready", 0), testkit.EntryText("s-2", "127.0.0.1:2", "Ready", 0)},
		{testkit.EntryText("s-1", "127.0.0.1:1", "Asleep", 0), testkit.EntryText("s-3", "no address", "Ready", 0), `{"id":9}`, `"x"`,
			testkit.EntryText("s-4", "127.0.0.1:4", "Ready", 0)},
	} {
		l, err := ParseEndpointList([]byte(testkit.ListText(i, true, entries...)))
		if err != nil {
			t.Fatal(err)
		}
		if err := d.take(l, true); err != nil {
			t.Fatal(err)
		}
	}
	<-events
	var ids []string
	for _, m := range next(t, events).Endpoints {
		ids = append(ids, m.ID)
	}
	if got := strings.Join(ids, " "); got != "s-1 s-4" {
		t.Errorf("the list is %q", got)
	}
	if n := log.Count("malformed"); n != 1 {
		t.Errorf("%d lines in the log", n)
	}
}

// Where the list must be asked for, the module says when; a failed call is told to it.
func TestAskedDiscovery(t *testing.T) {
	d, events := follower(t, testkit.Refusing(t), 1, "null", io.Discard)
	d.asked = true
	follow(t, d)
	d.Subscribe()
	select {
	case ev := <-events:
		if ev != "unavailable" {
			t.Errorf("%+v", ev)
		}
	case <-time.After(testkit.Patience):
		t.Fatal("the failure was not told")
	}
}

// fleet gives a follower the settings of a fleet of so many agents, and the list of an earlier life.
func fleet(t *testing.T, url string, agents int, known string) (*Client, sink) {
	t.Helper()
	d, events := newFollower(t, Config{Addr: url, Agents: agents, SubscriptionRequired: true, Log: slog.New(slog.DiscardHandler)}, known)
	d.Subscribe()
	return d, events
}

// An agent of a large fleet serves from the known list and asks for what has changed since, not for the whole again. Its
// watches go on at once: what changes just after one counts as told.
func TestLargeFleetAsksForChanges(t *testing.T) {
	f := testkit.NewDiscovery(t, 41, testkit.EntryText("s-1", "127.0.0.1:1", "Ready", 0))
	f.Set(42, false, testkit.EntryText("s-2", "127.0.0.1:2", "Ready", 0))
	d, events := fleet(t, f.Addr().String(), 12, testkit.ListText(41, true, testkit.EntryText("s-1", "127.0.0.1:1", "Ready", 0)))
	d.pace.StartSpread = 0
	follow(t, d)
	if l := next(t, events); !l.Full || l.Endpoints[0].ID != "s-1" {
		t.Errorf("known: %+v", l)
	}
	for i := range 3 {
		if l := next(t, events); l.Full || l.Endpoints[0].ID != "s-2" {
			t.Errorf("change %d: %+v", i, l)
		}
		f.Set(43+i, false, testkit.EntryText("s-2", "127.0.0.1:2", "Ready", int64(i)))
	}
	if wholes, watches := f.Calls(); wholes != 0 || watches < 3 {
		t.Errorf("%d calls for the whole list, %d for changes", wholes, watches)
	}
}

// In a fleet of any size a change is here by the time from which it counts as told: calls at a start and after one that failed are
// spread over less than half of it, and no watch waits for longer than that unless discovery is full. A usual fleet is not spread.
func TestFleetSizes(t *testing.T) {
	for _, agents := range []int{1, usualFleet, 20, 48, 300, 2000, 100000} {
		d, _ := fleet(t, "127.0.0.1:1", agents, testkit.ListText(41, true, testkit.EntryText("s-1", "127.0.0.1:1", "Ready", 0)))
		large := agents > usualFleet
		if p := d.pace; (p.StartSpread > 0) != large || (p.RetrySpread > 0) != large || p.StartSpread+callTimeout > toldAfter/2 || p.RetrySpread > toldAfter/2 ||
			p.MaxWatchTimeout < WatchTimeout || !large && p.MaxWatchTimeout > WatchTimeout || p.MaxWatchTimeout > mostWatch {
			t.Errorf("%d agents: %+v", agents, p)
		}
		if d.version != 41 || d.wait != toldAfter/2 {
			t.Errorf("%d agents begin from version %d with a watch of %v", agents, d.version, d.wait)
		}
	}
	if MaxRetryInterval > toldAfter/2 {
		t.Errorf("a call that failed is made again after %v", MaxRetryInterval)
	}
}

// A discovery that counts anew is asked for the whole list: what has changed since a version of another count says nothing.
func TestCountsAnew(t *testing.T) {
	d, events := fleet(t, "127.0.0.1:1", 12, testkit.ListText(41, true, testkit.EntryText("s-1", "127.0.0.1:1", "Ready", 0)))
	if err := d.take(EndpointList{Version: 7}, false); err == nil || d.version != -1 {
		t.Errorf("%v, version %d", err, d.version)
	}
	if err := d.take(EndpointList{Version: 7, Full: true}, true); err != nil || !next(t, events).Full {
		t.Error(err)
	}
}

// When discovery is back with nothing new, the module must hear of it all the same: it counts the calls that failed.
func TestBackWithoutNews(t *testing.T) {
	d, events := fleet(t, "127.0.0.1:1", 1, "null")
	d.version, d.down, d.fails = 41, true, 3
	if err := d.take(EndpointList{Version: 41}, false); err != nil || d.down || d.fails != 0 {
		t.Error(err, d.down, d.fails)
	}
	if l := next(t, events); l.Full || len(l.Endpoints) != 0 {
		t.Errorf("%+v", l)
	}
	d.take(EndpointList{Version: 41}, false)
	if len(events) > 0 {
		t.Error("told twice")
	}
}

// Where the list is subscribed to, the new discovery is asked without waiting for the module, whose subscription
// was with the old one.
func TestMoveOfAnAskedDiscovery(t *testing.T) {
	f := testkit.NewDiscovery(t, 1, testkit.EntryText("s-1", "127.0.0.1:1", "Ready", 0))
	d, events := follower(t, testkit.Refusing(t), 1, "null", &testkit.LockedBuffer{})
	d.asked = true
	follow(t, d)
	d.SetAddress(f.Addr().String())
	if l := next(t, events); len(l.Endpoints) != 1 {
		t.Errorf("%+v", l)
	}
}

// A list that is too long to be read is an error that says so: what is held stands, and a shorter one ends it.
func TestListTooLong(t *testing.T) {
	f := testkit.NewDiscovery(t, 1, testkit.EntryText("s-1", "127.0.0.1:1", "Ready", 0))
	var log testkit.LockedBuffer
	d, events := follower(t, f.Addr().String(), 1, "null", &log)
	follow(t, d)
	next(t, events)
	entry := testkit.EntryText("s-2", "127.0.0.1:2", "Ready", 0)
	f.Set(2, true, entry, testkit.EntryText(strings.Repeat("s", longestList), "127.0.0.1:3", "Ready", 0))
	testkit.Eventually(t, "the log says why", func() bool { return log.Count("is over") > 0 })
	f.Set(3, true, entry)
	if l := next(t, events); len(l.Endpoints) != 1 || l.Endpoints[0].ID != "s-2" {
		t.Errorf("%d members", len(l.Endpoints))
	}
}

func discard() *slog.Logger { return slog.New(slog.DiscardHandler) }

// A discovery that counts anew may answer a watch with the whole list, of a lower version than the one that is held. The list is
// taken before long: else nothing was ever heard of that discovery again.
func TestCountsAnewWithTheWholeList(t *testing.T) {
	var anew atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		since := r.URL.Query().Get("since")
		switch {
		case !anew.Load() && since == "":
			io.WriteString(w, testkit.ListText(41, true, testkit.EntryText("s-1", "127.0.0.1:1", "Ready", 0)))
		case anew.Load() && since != "3":
			io.WriteString(w, testkit.ListText(3, true, testkit.EntryText("s-2", "127.0.0.1:2", "Ready", 0)))
		default:
			time.Sleep(20 * time.Millisecond)
			io.WriteString(w, testkit.ListText(41, false))
		}
	}))
	t.Cleanup(server.Close)
	d, events := follower(t, strings.TrimPrefix(server.URL, "http://"), 1, "null", io.Discard)
	follow(t, d)
	next(t, events)
	anew.Store(true)
	if l := next(t, events); !l.Full || len(l.Endpoints) != 1 || l.Endpoints[0].ID != "s-2" {
		t.Errorf("%+v", l)
	}
}
