package emulator_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ryeweir/internal/config"
	"ryeweir/internal/emulator"
	"ryeweir/internal/emulator/callers"
	"ryeweir/internal/emulator/link"
	"ryeweir/internal/emulator/node"
	"ryeweir/internal/emulator/referee"
)

// misbehavior is the way in which a misbehavingAgent violates a rule.
type misbehavior string

const (
	behaves         misbehavior = "none"
	repeats         misbehavior = "sends a request twice"
	fabricates      misbehavior = "fabricates responses"
	abortsConns     misbehavior = "closes connections without a response"
	neverResponds   misbehavior = "never responds"
	ignoresDraining misbehavior = "sends to a draining node"
	usesOneNode     misbehavior = "sends everything to one node"
)

// misbehavingAgent is a minimal agent that forwards requests to the nodes in turn and, depending on its misbehavior, violates a
// rule on purpose.
type misbehavingAgent struct {
	world       *emulator.World
	requests    atomic.Int64
	misbehavior misbehavior
	client      http.Client
	open        sync.WaitGroup
}

// forward sends a request to the n-th node of the list, modulo its length. The list includes draining nodes.
func (a *misbehavingAgent) forward(r *http.Request, n int) (*http.Response, error) {
	list := a.world.EndpointList(0).Servers
	out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+list[n%len(list)].Addr+r.URL.Path, nil)
	if err != nil {
		return nil, err
	}
	out.Header = r.Header.Clone()
	return a.client.Do(out)
}

func (a *misbehavingAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.open.Add(1)
	defer a.open.Done()
	io.Copy(io.Discard, r.Body) // net/http detects that the client has disconnected only after the body was read
	n := int(a.requests.Add(1))
	if a.misbehavior == usesOneNode {
		n = 0
	}
	resp, err := a.forward(r, n)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		w.WriteHeader(resp.StatusCode)
		return
	}
	switch {
	case a.misbehavior == repeats && r.Method == http.MethodPost && n%20 == 0:
		if again, err := a.forward(r, n+1); err == nil {
			io.Copy(io.Discard, again.Body)
			again.Body.Close()
		}
	case a.misbehavior == fabricates && n%20 == 0:
		body = []byte("fabricated response\n")
	case a.misbehavior == abortsConns && n%20 == 0:
		panic(http.ErrAbortHandler)
	case a.misbehavior == neverResponds && n%20 == 0:
		time.Sleep(3 * time.Second) // longer than the deadline of any class
		panic(http.ErrAbortHandler)
	}
	w.Write(body)
}

// runMisbehaving runs a scenario of 6 s with one misbehavingAgent and returns the referee's account and violations. change may be
// nil; it changes the scenario's spec.
func runMisbehaving(t *testing.T, m misbehavior, change func(*emulator.ScenarioSpec)) (account referee.Account, violations []referee.Violation) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		spec := emulator.DefaultScenario()
		spec.Length, spec.Agents, spec.Load = config.Duration(6*time.Second), 1, 0.3
		if change != nil {
			change(&spec)
		}
		scenario, err := spec.Draw(3)
		if err != nil {
			t.Fatal(err)
		}
		network := link.NewNetwork(3)
		world, err := emulator.Start(t.Context(), scenario, emulator.MemoryNetwork{Network: network}, true)
		if err != nil {
			t.Fatal(err)
		}
		defer world.Close()
		transport := &http.Transport{DialContext: network.Dialer("agent-0"), MaxIdleConnsPerHost: 100}
		agent := &misbehavingAgent{world: world, misbehavior: m, client: http.Client{Transport: transport, Timeout: 5 * time.Second}}
		l, err := network.Listen("agent-0:80")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: agent}
		var goroutines sync.WaitGroup
		goroutines.Go(func() { server.Serve(l) })
		// The rules on draining and slow start hold an agent only to notifications it has received, so it must watch the list.
		ctx, stop := context.WithCancel(t.Context())
		goroutines.Go(func() { watch(ctx, network, world.DiscoveryAddr(0)) })
		client := &callers.Client{Addr: "agent-0:80", Dial: network.Dialer("app")}
		world.InjectFaults()
		world.RunCallers(t.Context(), func(callers.PlannedRequest, []string) (string, *callers.Client, func(referee.Outcome)) {
			return "agent-0", client, func(referee.Outcome) {}
		}, false, nil)
		stop()
		client.Close()
		server.Close()
		agent.open.Wait()
		transport.CloseIdleConnections()
		goroutines.Wait()
		account, violations = world.Referee.Account(), world.Referee.Violations()
	})
	return account, violations
}

// watch watches the endpoint list until the context ends.
func watch(ctx context.Context, network *link.Network, addr string) {
	transport := &http.Transport{DialContext: network.Dialer("agent-0"), DisableKeepAlives: true}
	for version := 0; ctx.Err() == nil; {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/endpoints?since=%d&timeout_ms=1000", addr, version), nil)
		if err != nil {
			return
		}
		resp, err := transport.RoundTrip(req)
		if err != nil {
			return
		}
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		fmt.Sscanf(string(text), `{"version":%d`, &version)
	}
}

// A referee that fails to check a rule would pass every agent. For each rule an agent violates it on purpose, and the referee must
// report the violation with its evidence. For an agent that violates no rule it must report none.
func TestRefereeReportsEachKindOfViolation(t *testing.T) {
	draining := func(spec *emulator.ScenarioSpec) {
		spec.Discovery.RemovalDelay = 0
		spec.Faults = []emulator.FaultSpec{{Kind: string(node.Drain), Names: []string{"node-01"}, From: config.Duration(time.Second), To: config.Duration(4 * time.Second)}}
	}
	slowStart := func(spec *emulator.ScenarioSpec) {
		spec.Load = 0.5
		for i := range spec.Kinds {
			spec.Kinds[i].SlowStart = true
		}
	}
	for _, c := range []struct {
		misbehavior misbehavior
		change      func(*emulator.ScenarioSpec)
		rule        referee.Rule
		count       func(referee.Account) int
		evidence    string
	}{
		{behaves, nil, "", nil, ""},
		{repeats, nil, referee.Duplicate, func(a referee.Account) int { return a.Duplicates }, "was executed on node-"},
		{fabricates, nil, referee.Lost, func(a referee.Account) int { return a.Lost }, "no node produced"},
		{abortsConns, nil, referee.Lost, func(a referee.Account) int { return a.Lost }, "without a response, after forwarding it"},
		{ignoresDraining, draining, referee.AfterDrain, func(a referee.Account) int { return a.AfterDrain }, "after it was notified"},
		{usesOneNode, slowStart, referee.SlowStartOverload, func(a referee.Account) int { return a.SlowStartOverloads }, "node-01 was overloaded in slow start"},
	} {
		t.Run(string(c.misbehavior), func(t *testing.T) {
			account, violations := runMisbehaving(t, c.misbehavior, c.change)
			if !account.Balanced() || account.Requests < 500 {
				t.Errorf("account is not balanced or has fewer than 500 requests: %+v", account)
			}
			if c.rule == "" {
				if !account.RulesHold() || len(violations) > 0 || account.Completed < account.Requests*9/10 {
					t.Errorf("violations, or fewer than 90%% completed, without misbehavior: %+v %v", account, violations)
				}
				return
			}
			if account.RulesHold() || c.count(account) == 0 {
				t.Fatalf("no violation of %s reported: %+v", c.rule, account)
			}
			first := slices.IndexFunc(violations, func(v referee.Violation) bool { return v.Rule == c.rule })
			if first < 0 || !strings.Contains(violations[first].String(), c.evidence) {
				t.Errorf("no violation of %s with the evidence %q: %v", c.rule, c.evidence, violations)
			}
		})
	}
}

// A request that an agent never answers does not violate the rule Lost, but its client is left without a response. The account must
// show that.
func TestRefereeCountsMissingResponsesAsUnanswered(t *testing.T) {
	if account, _ := runMisbehaving(t, neverResponds, nil); account.Unanswered < 20 || !account.RulesHold() || !account.Balanced() {
		t.Errorf("got %+v, want at least 20 unanswered, no violation and a balanced account", account)
	}
}

// Closed-loop callers send fewer requests to a slow service and thereby make it look better than it is. These callers are open-loop:
// a slow service must get as many requests as a quick one.
func TestSlowServiceGetsAsManyRequestsAsQuickOne(t *testing.T) {
	withoutRetries := func(spec *emulator.ScenarioSpec) { spec.Clients.Retries, spec.Clients.ImpatientFraction = 0, 0 }
	delayed := func(spec *emulator.ScenarioSpec) {
		withoutRetries(spec)
		spec.Faults = []emulator.FaultSpec{{Kind: string(node.DelayedResponse), Nodes: 10, To: config.Duration(time.Minute), Size: 0.5}}
	}
	quick, _ := runMisbehaving(t, behaves, withoutRetries)
	slow, _ := runMisbehaving(t, behaves, delayed)
	if quick.Requests != slow.Requests || slow.Completed == 0 {
		t.Errorf("%d requests to a quick service, %d to a slow one, of which %d completed", quick.Requests, slow.Requests, slow.Completed)
	}
}

// Variants of an agent are compared on the same scenario, and a failure is reproduced by its seed. So equal specs and seeds must
// give equal scenarios, and different seeds different ones.
func TestEqualSeedsDrawEqualScenarios(t *testing.T) {
	spec := emulator.DefaultScenario()
	spec.Faults = []emulator.FaultSpec{{Kind: "slow", Nodes: 3, To: config.Duration(time.Second), Size: 3}}
	a, err := spec.Draw(5)
	if err != nil {
		t.Fatal(err)
	}
	b, _ := spec.Draw(5)
	c, _ := spec.Draw(6)
	if !slices.Equal(a.Plan, b.Plan) || !slices.Equal(a.Nodes, b.Nodes) || !slices.Equal(a.Faults, b.Faults) {
		t.Error("equal seeds gave different scenarios")
	}
	if slices.Equal(a.Plan, c.Plan) || len(a.Faults) != 3 {
		t.Errorf("seeds 5 and 6 gave equal plans (%v), or seed 5 gave %d faults instead of 3", slices.Equal(a.Plan, c.Plan), len(a.Faults))
	}
	rate := float64(len(a.Plan)) / a.Length.Seconds()
	if rate < 0.93*a.Rate || rate > 1.07*a.Rate {
		t.Errorf("the plan has %v requests per second, want %v within 7%%", rate, a.Rate)
	}
}

// An invalid scenario is rejected before anything runs, with an error that names the wrong key or explains the conflict.
func TestScenarioCheckNamesWrongKey(t *testing.T) {
	for want, change := range map[string]func(*emulator.ScenarioSpec){
		"length":     func(d *emulator.ScenarioSpec) { d.Length = -1 },
		"agents":     func(d *emulator.ScenarioSpec) { d.Agents = 100000 },
		"kind[1]":    func(d *emulator.ScenarioSpec) { d.Kinds[1].Speed = 0 },
		"class[0]":   func(d *emulator.ScenarioSpec) { d.Classes[0].Deadline = 1 },
		"tenant[2]":  func(d *emulator.ScenarioSpec) { d.Tenants[2].Share = 0 },
		"net.loss":   func(d *emulator.ScenarioSpec) { d.Network.Loss = 2 },
		"clients":    func(d *emulator.ScenarioSpec) { d.Clients.RetryAfterFraction = 2 },
		"trouble[0]": func(d *emulator.ScenarioSpec) { d.Faults = []emulator.FaultSpec{{Kind: "plague", Nodes: 1, To: 1}} },
		"is not a node": func(d *emulator.ScenarioSpec) {
			d.Faults = []emulator.FaultSpec{{Kind: "drain", Names: []string{"x"}, To: 1}}
		},
		"another fault that ends its process": func(d *emulator.ScenarioSpec) {
			d.Faults = []emulator.FaultSpec{{Kind: "drain", Names: []string{"node-01"}, To: 1}, {Kind: "restart", Names: []string{"node-01"}, To: 1}}
		},
		"unknown shape": func(d *emulator.ScenarioSpec) { d.Shape = "zigzag" },
		"outage[0]":     func(d *emulator.ScenarioSpec) { d.Outages = []emulator.OutageSpec{{From: 2, To: 1}} },
	} {
		d := emulator.DefaultScenario()
		change(&d)
		if err := d.Check("day."); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want one that contains %q", err, want)
		}
	}
}

// A mistake in an address must not send load to another machine.
func TestLoopbackDialerRejectsOtherAddresses(t *testing.T) {
	dial := (&emulator.LoopbackNetwork{}).Dialer("")
	for _, addr := range []string{"192.0.2.1:80", "example.org:80", "[2001:db8::1]:80", "nonsense"} {
		if c, err := dial(t.Context(), "tcp", addr); err == nil {
			c.Close()
			t.Errorf("dialing %s succeeded, want an error", addr)
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := dial(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
}
