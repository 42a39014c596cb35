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

// startWithOperators runs an agent with an operators' file until the test ends, and returns the URL for its clients and the one for
// its operators.
func startWithOperators(t *testing.T, d *testkit.Discovery, operators operator.File) (clientURL, controlURL string) {
	t.Helper()
	cfg, err := platform.Parse(testkit.ConfigText(d.Addr().String(), "null"), testkit.NoEnv)
	if err != nil {
		t.Fatal(err)
	}
	env := Environment{Clients: testkit.Listen(t), Control: testkit.Listen(t)}
	ctx, stop := context.WithCancel(context.Background())
	finished := make(chan error, 1)
	go func() {
		finished <- Run(ctx, cfg, operators, ReloadConfig{}, env, slog.New(slog.DiscardHandler))
	}()
	t.Cleanup(func() {
		stop()
		if err := <-finished; err != nil {
			t.Error(err)
		}
	})
	return "http://" + env.Clients.Addr().String(), "http://" + env.Control.Addr().String()
}

// readMetrics reads GET /v1/metrics; nil while the agent does not listen yet.
func readMetrics(t *testing.T, controlURL string) map[string]json.RawMessage {
	t.Helper()
	resp, err := http.Get(controlURL + "/v1/metrics")
	if err != nil {
		return nil
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
	return all
}

// An agent over its own memory limit can't carry what it admits. It lowers the fleet's admission level; an agent within its limits
// does not.
func TestOverloadedAgentLowersTheAdmissionLevel(t *testing.T) {
	b := testkit.NewBackend(t, testkit.RespondWith("here"))
	d := testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", b.Addr().String(), "Ready", 0))
	pressed := func(controlURL string) int64 {
		t.Helper()
		var overload struct{ Pressed int64 }
		if data := readMetrics(t, controlURL)["overload"]; data != nil {
			if err := json.Unmarshal(data, &overload); err != nil {
				t.Fatal(err)
			}
		}
		return overload.Pressed
	}
	operators := operator.Default()
	operators.Overload.Enabled = true
	_, idle := startWithOperators(t, d, operators)
	operators.Overload.SelfLimits.Memory = 0.0001
	_, overloaded := startWithOperators(t, d, operators)
	testkit.Eventually(t, "the level is lowered", func() bool { return pressed(overloaded) > 0 })
	if n := pressed(idle); n > 0 {
		t.Errorf("an idle agent lowered the level %d times", n)
	}
}

// listUpstream is an upstream that carries out nothing and passes on each endpoint list that it receives.
type listUpstream struct{ lists chan core.EndpointList }

func (u listUpstream) UpdateEndpoints(list core.EndpointList) (int, int) {
	u.lists <- list
	return len(list.Endpoints), len(list.Endpoints)
}
func (listUpstream) Bind(string) any                            { return nil }
func (listUpstream) Execute(_ context.Context, _ *core.Attempt) {}

// runPeers runs the peers of an agent called "me" with a core, and returns them with the endpoint lists that the core receives.
func runPeers(t *testing.T) (*peers, <-chan core.EndpointList) {
	t.Helper()
	clock := core.NewClock()
	log := slog.New(slog.DiscardHandler)
	p, err := newPeers("me", operator.Peers{Enabled: true, Bind: "127.0.0.1:0", ShareFacts: true}, clock, log)
	if err != nil {
		t.Fatal(err)
	}
	balancer, err := logic.New(logic.Settings{Balancers: 2, MaxAttempts: 1, Classes: []logic.Class{{LatencyObjective: time.Second, Timeout: time.Second}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	lists := make(chan core.EndpointList, 16)
	p.core = core.New(core.Config{Balancer: balancer, Clock: clock, Upstream: listUpstream{lists}, Log: log})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{}, 2)
	go func() {
		p.core.Run(ctx)
		ended <- struct{}{}
	}()
	go func() {
		p.run(ctx)
		ended <- struct{}{}
	}()
	t.Cleanup(func() {
		stop()
		<-ended
		<-ended
	})
	return p, lists
}

// readyEndpoint is an endpoint that started at a time of day, in Unix milliseconds.
func (p *peers) readyEndpoint(id string, startedUnixMilli int64) core.Endpoint {
	return core.Endpoint{
		Endpoint:         logic.Endpoint{ID: id, State: logic.Ready, StartedAt: p.clock.FromUnix(startedUnixMilli)},
		Addr:             "127.0.0.1:1",
		StartedUnixMilli: startedUnixMilli,
	}
}

// statesByID returns the states in a list by endpoint.
func statesByID(list core.EndpointList) map[string]logic.EndpointState {
	states := map[string]logic.EndpointState{}
	for _, endpoint := range list.Endpoints {
		states[endpoint.ID] = endpoint.State
	}
	return states
}

// drainNotice is a notice by a peer that an endpoint's incarnation drains.
func drainNotice(by, endpoint string, started int64) fleetstate.Fact {
	replica := fleetstate.NewReplica(fleetstate.DefaultLimits())
	key := fleetstate.Key{Kind: fleetstate.Notice, Server: endpoint, Started: started, Origin: by}
	fact, _ := replica.Put(time.Now(), key, fleetstate.Draining, by)
	return fact
}

// ownNotice returns the state that this agent's own notices give an endpoint's incarnation; 0 without one.
func (p *peers) ownNotice(endpoint string, started int64) (state int64) {
	for _, fact := range p.Facts() {
		if fact.Server == endpoint && fact.Started == started && fact.Reporter == p.name {
			state = fact.Value
		}
	}
	return state
}

// Two peers are notified that an endpoint drains before this agent's own discovery says so. The core sees the drain at once, and
// goes on seeing it when the own list repeats that the endpoint is ready. A notice by a single peer, of another incarnation, or
// one that would drain most endpoints is not believed.
func TestDrainReportedByPeersOverridesTheOwnList(t *testing.T) {
	p, lists := runPeers(t)
	p.UpdateEndpoints(core.EndpointList{Full: true, Endpoints: []core.Endpoint{p.readyEndpoint("a", 7), p.readyEndpoint("b", 8), p.readyEndpoint("c", 9)}})
	if states := statesByID(<-lists); states["a"] != logic.Ready {
		t.Fatalf("%v", states)
	}
	p.MergeFacts([]fleetstate.Fact{drainNotice("x", "b", 8)}) // of one peer alone: the next list says nothing of b
	fresh := p.MergeFacts([]fleetstate.Fact{drainNotice("x", "a", 6), drainNotice("y", "a", 6), drainNotice("x", "a", 7), drainNotice("y", "a", 7)})
	if len(fresh) != 4 {
		t.Fatalf("new facts: %v", fresh)
	}
	if states := statesByID(<-lists); len(states) != 1 || states["a"] != logic.Draining {
		t.Errorf("after the notices: %v", states)
	}
	p.UpdateEndpoints(core.EndpointList{Endpoints: []core.Endpoint{p.readyEndpoint("a", 7)}})
	if states := statesByID(<-lists); states["a"] != logic.Draining {
		t.Errorf("after the own list: %v", states)
	}
	p.MergeFacts([]fleetstate.Fact{drainNotice("y", "b", 8)}) // with b, two of three would drain
	if states := statesByID(<-lists); states["a"] != logic.Ready {
		t.Errorf("after a notice too many: %v", states)
	}
	if p.stats().DrainedEarly == 0 {
		t.Error("no drain is counted as early")
	}
}

// Peers may receive endpoint lists later than this agent. One that does not know of a restart would take the new process, which is
// in slow start, for the one before: the incarnation before is therefore noticed as removed. A drain is noticed too.
func TestRestartAndDrainInTheOwnListAreNoticed(t *testing.T) {
	p, lists := runPeers(t)
	p.UpdateEndpoints(core.EndpointList{Full: true, Endpoints: []core.Endpoint{p.readyEndpoint("c", 9)}})
	<-lists
	p.UpdateEndpoints(core.EndpointList{Endpoints: []core.Endpoint{p.readyEndpoint("c", 90)}})
	<-lists
	if p.ownNotice("c", 9) != fleetstate.Removed || p.ownNotice("c", 90) != 0 {
		t.Errorf("after a restart: %v", p.Facts())
	}
	draining := p.readyEndpoint("c", 90)
	draining.State = logic.Draining
	p.UpdateEndpoints(core.EndpointList{Endpoints: []core.Endpoint{draining}})
	<-lists
	if p.ownNotice("c", 90) != fleetstate.Draining {
		t.Errorf("after a drain: %v", p.Facts())
	}
}

// A peer sends a suspicion under this agent's name, which this agent does not have. It would count as this agent's own until it
// expires; it is replaced by what this agent says. A malformed fact is refused.
func TestForgedSuspicionIsCorrected(t *testing.T) {
	p, lists := runPeers(t)
	p.UpdateEndpoints(core.EndpointList{Full: true, Endpoints: []core.Endpoint{p.readyEndpoint("b", 8)}})
	<-lists
	forger := fleetstate.NewReplica(fleetstate.DefaultLimits())
	key := fleetstate.Key{Kind: fleetstate.Suspicion, Server: "b", Started: 8, Origin: "me"}
	forged, _ := forger.Put(time.Now().Add(fleetstate.MaxClockSkew/2), key, 9, "me")
	p.MergeFacts([]fleetstate.Fact{forged, {Key: fleetstate.Key{Kind: 77, Server: "a"}}})
	if stats := p.stats(); stats.Facts.Rejected != 1 || stats.ForgedSuspicions != 1 || p.ownNotice("b", 8) != 0 {
		t.Errorf("%+v", stats)
	}
}
