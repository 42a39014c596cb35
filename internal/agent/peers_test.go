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

// startWithOperators runs an agent with an operators' file until the test ends. It returns the URLs for clients and for operators.
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

// readMetrics returns the sections of GET /v1/metrics, or nil if the agent does not listen yet.
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

// An agent that exceeds its own memory limit can't process all that it admits, so it lowers the fleet's admission level. An agent within
// its limits does not.
func TestOverloadedAgentLowersTheAdmissionLevel(t *testing.T) {
	b := testkit.NewBackend(t, testkit.RespondWith("here"))
	d := testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", b.Addr().String(), "Ready", 0))
	selfOverloads := func(controlURL string) int64 {
		t.Helper()
		var overload struct {
			SelfOverloads int64 `json:"Pressed"`
		}
		if data := readMetrics(t, controlURL)["overload"]; data != nil {
			if err := json.Unmarshal(data, &overload); err != nil {
				t.Fatal(err)
			}
		}
		return overload.SelfOverloads
	}
	operators := operator.Default()
	operators.Overload.Enabled = true
	_, idle := startWithOperators(t, d, operators)
	operators.Overload.SelfLimits.Memory = 0.0001
	_, overloaded := startWithOperators(t, d, operators)
	testkit.Eventually(t, "the admission level is lowered", func() bool { return selfOverloads(overloaded) > 0 })
	if n := selfOverloads(idle); n > 0 {
		t.Errorf("an agent within its limits lowered the admission level %d times", n)
	}
}

// listUpstream is an upstream that executes no attempts and sends each endpoint list that it receives on a channel.
type listUpstream struct{ lists chan core.EndpointList }

func (u listUpstream) UpdateEndpoints(list core.EndpointList) (int, int) {
	u.lists <- list
	return len(list.Endpoints), len(list.Endpoints)
}
func (listUpstream) Bind(string) any                            { return nil }
func (listUpstream) Execute(_ context.Context, _ *core.Attempt) {}

// runPeers runs the peers of an agent named "me", and its core, until the test ends. The channel delivers the endpoint lists that the core
// receives.
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

// readyEndpoint returns a ready endpoint with this start time.
func (p *peers) readyEndpoint(id string, startedUnixMilli int64) core.Endpoint {
	return core.Endpoint{
		Endpoint:         logic.Endpoint{ID: id, State: logic.Ready, StartedAt: p.clock.FromUnix(startedUnixMilli)},
		Addr:             "127.0.0.1:1",
		StartedUnixMilli: startedUnixMilli,
	}
}

// statesByID returns the states of the endpoints in a list by their ID.
func statesByID(list core.EndpointList) map[string]logic.EndpointState {
	states := map[string]logic.EndpointState{}
	for _, endpoint := range list.Endpoints {
		states[endpoint.ID] = endpoint.State
	}
	return states
}

// drainNotice returns a notice from a peer that an endpoint is draining.
func drainNotice(reporter, endpoint string, started int64) fleetstate.Fact {
	replica := fleetstate.NewReplica(fleetstate.DefaultLimits())
	key := fleetstate.Key{Kind: fleetstate.Notice, Server: endpoint, Started: started, Origin: reporter}
	fact, _ := replica.Put(time.Now(), key, fleetstate.Draining, reporter)
	return fact
}

// ownNotice returns the state of an endpoint in this agent's own notice, or 0 if there is none.
func (p *peers) ownNotice(endpoint string, started int64) (state int64) {
	for _, fact := range p.Facts() {
		if fact.Server == endpoint && fact.Started == started && fact.Reporter == p.name {
			state = fact.Value
		}
	}
	return state
}

// Two peers report that an endpoint is draining before this agent's own list does. The core must receive the drain at once and keep it
// when the own list repeats that the endpoint is ready. Notices have no effect if they are from a single peer, of another incarnation,
// or if they would drain most endpoints.
func TestDrainReportedByPeersOverridesTheOwnList(t *testing.T) {
	p, lists := runPeers(t)
	p.UpdateEndpoints(core.EndpointList{Full: true, Endpoints: []core.Endpoint{p.readyEndpoint("a", 7), p.readyEndpoint("b", 8), p.readyEndpoint("c", 9)}})
	if states := statesByID(<-lists); states["a"] != logic.Ready {
		t.Fatalf("%v", states)
	}
	p.MergeFacts([]fleetstate.Fact{drainNotice("x", "b", 8)}) // from a single peer: the next list must not contain b
	fresh := p.MergeFacts([]fleetstate.Fact{drainNotice("x", "a", 6), drainNotice("y", "a", 6), drainNotice("x", "a", 7), drainNotice("y", "a", 7)})
	if len(fresh) != 4 {
		t.Fatalf("new facts: %v", fresh)
	}
	if states := statesByID(<-lists); len(states) != 1 || states["a"] != logic.Draining {
		t.Errorf("after the notices: %v", states)
	}
	p.UpdateEndpoints(core.EndpointList{Endpoints: []core.Endpoint{p.readyEndpoint("a", 7)}})
	if states := statesByID(<-lists); states["a"] != logic.Draining {
		t.Errorf("after an update of the own list: %v", states)
	}
	p.MergeFacts([]fleetstate.Fact{drainNotice("y", "b", 8)}) // with b, two of three endpoints would be draining
	if states := statesByID(<-lists); states["a"] != logic.Ready {
		t.Errorf("after notices that would drain most endpoints: %v", states)
	}
	if p.stats().DrainedEarly == 0 {
		t.Error("the drain is not counted as early")
	}
}

// A peer may receive an endpoint list later than this agent. If it does not know of a restart, it takes the new process, which is in
// slow start, for the previous one. This agent therefore sends a notice that the previous incarnation is removed. It also sends one of
// a drain.
func TestPeersAreNotifiedOfRestartsAndDrains(t *testing.T) {
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

// A peer sends a suspicion under this agent's name that this agent never reported. Until it expires, it would count as a report
// of this agent, so this agent must correct it. A malformed fact is rejected.
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
