package agent

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"ryeweir/internal/config/operator"
	"ryeweir/internal/config/platform"
	"ryeweir/internal/core"
	"ryeweir/internal/fleetstate"
	"ryeweir/internal/testkit"
	"ryeweir/logic"
)

// startAs runs an agent with an operators' file, and returns where its operators reach it.
func startAs(t *testing.T, d *testkit.Discovery, ops operator.File) (control string) {
	t.Helper()
	cfg, err := platform.Parse(testkit.ConfigText(d.Addr().String(), "null"), testkit.NoEnv)
	if err != nil {
		t.Fatal(err)
	}
	clients, operators := testkit.Listen(t), testkit.Listen(t)
	ctx, stop := context.WithCancel(context.Background())
	finished := make(chan error, 1)
	go func() {
		finished <- Run(ctx, cfg, ops, ReloadConfig{}, Environment{Clients: clients, Control: operators}, slog.New(slog.DiscardHandler))
	}()
	t.Cleanup(func() {
		stop()
		if err := <-finished; err != nil {
			t.Error(err)
		}
	})
	return "http://" + operators.Addr().String()
}

// figure reads one of the operators' figures.
func figure[T any](t *testing.T, control, name string) (out T) {
	t.Helper()
	resp, err := http.Get(control + "/v1/metrics")
	if err != nil {
		return out // not up yet
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	all := map[string]json.RawMessage{}
	if err := json.Unmarshal(text, &all); err != nil {
		t.Fatal(err)
	}
	if all[name] != nil {
		if err := json.Unmarshal(all[name], &out); err != nil {
			t.Fatal(err)
		}
	}
	return out
}

// An agent that is over its own limits takes the fleet's level down; one that is not does not.
func TestOwnLoadPressesTheLevel(t *testing.T) {
	b := testkit.NewBackend(t, testkit.Says("here"))
	d := testkit.NewDiscovery(t, 1, testkit.EntryText("s-1", b.Addr().String(), "Ready", 0))
	type figures struct{ Pressed int64 }
	ops := operator.Default()
	ops.Overload.Enabled = true
	idle := startAs(t, d, ops)
	ops.Overload.SelfLimits.Memory = 0.0001
	over := startAs(t, d, ops)
	testkit.Eventually(t, "the level is pressed", func() bool { return figure[figures](t, over, "overload").Pressed > 0 })
	if n := figure[figures](t, idle, "overload").Pressed; n > 0 {
		t.Errorf("pressed %d times while idle", n)
	}
}

// carrier is an upstream that carries nothing and notes the state of each server that it is told of.
type carrier struct{ told chan core.EndpointList }

func (c carrier) UpdateEndpoints(l core.EndpointList) (int, int) {
	c.told <- l
	return len(l.Endpoints), len(l.Endpoints)
}
func (carrier) Bind(string) any                            { return nil }
func (carrier) Execute(_ context.Context, _ *core.Attempt) {}

// talking is the peers' side of an agent with a core that carries nothing.
func talking(t *testing.T) (*peers, chan core.EndpointList) {
	t.Helper()
	clock := core.NewClock()
	p, err := newPeers("me", operator.Peers{Enabled: true, Bind: "127.0.0.1:0", ShareFacts: true}, clock, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	balancer, err := logic.New(logic.Settings{Balancers: 2, MaxAttempts: 1, Classes: []logic.Class{{LatencyObjective: time.Second, Timeout: time.Second}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	told := make(chan core.EndpointList, 16)
	p.core = core.New(core.Config{Balancer: balancer, Clock: clock, Upstream: carrier{told}, OnEndpointCounts: func(int, int) {}, Log: slog.New(slog.DiscardHandler)})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{}, 2)
	go func() { p.core.Run(ctx); ended <- struct{}{} }()
	go func() { p.run(ctx); ended <- struct{}{} }()
	t.Cleanup(func() { stop(); <-ended; <-ended })
	return p, told
}

// ready is a server that started at a time of day, in milliseconds.
func (p *peers) ready(id string, started int64) core.Endpoint {
	return core.Endpoint{Endpoint: logic.Endpoint{ID: id, State: logic.Ready, StartedAt: p.clock.FromUnix(started)}, Addr: "127.0.0.1:1", StartedUnixMilli: started}
}

func states(l core.EndpointList) map[string]logic.EndpointState {
	out := map[string]logic.EndpointState{}
	for _, m := range l.Endpoints {
		out[m.ID] = m.State
	}
	return out
}

// A drain that a peer was told of goes to the core at once, as a change of the own list; a notice of another life of the
// server, or of all servers at once, changes nothing; what this agent is told itself it tells its peers.
func TestPeersWordGoesBeforeTheOwnList(t *testing.T) {
	p, told := talking(t)
	p.UpdateEndpoints(core.EndpointList{Full: true, Endpoints: []core.Endpoint{p.ready("a", 7), p.ready("b", 8), p.ready("c", 9)}})
	if s := states(<-told); s["a"] != logic.Ready {
		t.Fatalf("%v", s)
	}
	notice := func(by, server string, life int64) fleetstate.Fact {
		other := fleetstate.NewReplica(fleetstate.DefaultLimits())
		f, _ := other.Put(time.Now(), fleetstate.Key{Kind: fleetstate.Notice, Server: server, Started: life, Origin: by}, fleetstate.Draining, by)
		return f
	}
	p.MergeFacts([]fleetstate.Fact{notice("x", "b", 8)}) // of one agent alone: what the core is told next says nothing of b
	if fresh := p.MergeFacts([]fleetstate.Fact{notice("x", "a", 6), notice("y", "a", 6), notice("x", "a", 7), notice("y", "a", 7)}); len(fresh) != 4 {
		t.Fatalf("told on: %v", fresh)
	}
	if s := states(<-told); len(s) != 1 || s["a"] != logic.Draining {
		t.Errorf("told of %v", s)
	}
	// The own list says again that it is ready, and it is held back all the same.
	p.UpdateEndpoints(core.EndpointList{Endpoints: []core.Endpoint{p.ready("a", 7)}})
	if s := states(<-told); s["a"] != logic.Draining {
		t.Errorf("told of %v", s)
	}
	// With b there would be two of three out: nobody is believed any more.
	p.MergeFacts([]fleetstate.Fact{notice("y", "b", 8)})
	if s := states(<-told); s["a"] != logic.Ready {
		t.Errorf("told of %v", s)
	}
	// A server that was started anew: whoever is not told would take the cold process for the one before.
	p.UpdateEndpoints(core.EndpointList{Endpoints: []core.Endpoint{p.ready("c", 90)}})
	<-told
	says := func(server string, life int64) (value int64) {
		for _, f := range p.Facts() {
			if f.Server == server && f.Started == life && f.Reporter == "me" {
				value = f.Value
			}
		}
		return value
	}
	if says("c", 9) != fleetstate.Removed || says("c", 90) != 0 {
		t.Errorf("of a restart is told %v", p.Facts())
	}
	draining := p.ready("c", 90)
	draining.State = logic.Draining
	p.UpdateEndpoints(core.EndpointList{Endpoints: []core.Endpoint{draining}})
	<-told
	if says("c", 90) != fleetstate.Draining {
		t.Errorf("what the own list says is not told: %v", p.Facts())
	}
	// What comes in this agent's name and is not so is taken back.
	forged := fleetstate.NewReplica(fleetstate.DefaultLimits())
	lie, _ := forged.Put(time.Now().Add(fleetstate.MaxClockSkew/2), fleetstate.Key{Kind: fleetstate.Suspicion, Server: "b", Started: 8, Origin: "me"}, 9, "me")
	p.MergeFacts([]fleetstate.Fact{lie, {Key: fleetstate.Key{Kind: 77, Server: "a"}}})
	if f := p.figures().(peerFigures); f.Facts.Rejected != 1 || f.HeldBack == 0 || f.Forged != 1 || says("b", 8) != 0 {
		t.Errorf("%+v", f)
	}
}
