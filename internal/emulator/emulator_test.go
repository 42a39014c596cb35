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

// badAgent is an agent of a few lines that breaks a rule on purpose, or none.
type badAgent struct {
	w      *emulator.World
	turn   atomic.Int64
	vice   string
	client http.Client
	open   sync.WaitGroup
}

// pass sends a request on to a node of the list as it was at the start.
func (a *badAgent) pass(r *http.Request, n int) (*http.Response, error) {
	list := a.w.EndpointList(0).Servers
	out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+list[n%len(list)].Addr+r.URL.Path, nil)
	if err != nil {
		return nil, err
	}
	out.Header = r.Header.Clone()
	return a.client.Do(out)
}

func (a *badAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.open.Add(1)
	defer a.open.Done()
	io.Copy(io.Discard, r.Body) // only then net/http notices that its client leaves
	n := int(a.turn.Add(1))
	if a.vice == "one for all" {
		n = 0
	}
	resp, err := a.pass(r, n)
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
	case a.vice == "repeats" && r.Method == http.MethodPost && n%20 == 0:
		if again, err := a.pass(r, n+1); err == nil {
			io.Copy(io.Discard, again.Body)
			again.Body.Close()
		}
	case a.vice == "makes up" && n%20 == 0:
		body = []byte("all is well\n")
	case a.vice == "cuts off" && n%20 == 0:
		panic(http.ErrAbortHandler)
	case a.vice == "says nothing" && n%20 == 0:
		time.Sleep(3 * time.Second) // longer than anybody waits
		panic(http.ErrAbortHandler)
	}
	w.Write(body)
}

// play plays a day of 6 s with a bad agent.
func play(t *testing.T, vice string, change func(*emulator.ScenarioSpec)) (a referee.Account, breaches []referee.Violation) {
	synctest.Test(t, func(t *testing.T) {
		spec := emulator.DefaultScenario()
		spec.Length, spec.Agents, spec.Load = config.Duration(6*time.Second), 1, 0.3
		if change != nil {
			change(&spec)
		}
		day, err := spec.Draw(3)
		if err != nil {
			t.Fatal(err)
		}
		network := link.NewNetwork(3)
		w, err := emulator.Start(t.Context(), day, emulator.MemoryNetwork{Network: network}, true)
		if err != nil {
			t.Fatal(err)
		}
		defer w.Close()
		transport := &http.Transport{DialContext: network.Dialer("agent-0"), MaxIdleConnsPerHost: 100}
		bad := &badAgent{w: w, vice: vice, client: http.Client{Transport: transport, Timeout: 5 * time.Second}}
		l, err := network.Listen("agent-0:80")
		if err != nil {
			t.Fatal(err)
		}
		srv := &http.Server{Handler: bad}
		var all sync.WaitGroup
		all.Go(func() { srv.Serve(l) })
		// The agent must be told, as one that watches is.
		ctx, stop := context.WithCancel(t.Context())
		all.Go(func() { watch(ctx, network, w.DiscoveryAddr(0)) })
		client := &callers.Client{Addr: "agent-0:80", Dial: network.Dialer("app")}
		w.InjectFaults()
		w.RunCallers(t.Context(), func(callers.PlannedRequest, []string) (string, *callers.Client, func(referee.Outcome)) {
			return "agent-0", client, func(referee.Outcome) {}
		}, false, nil)
		stop()
		client.Close()
		srv.Close()
		bad.open.Wait()
		transport.CloseIdleConnections()
		all.Wait()
		a, breaches = w.Referee.Account(), w.Referee.Violations()
	})
	return a, breaches
}

// watch watches the list.
func watch(ctx context.Context, network *link.Network, at string) {
	transport := &http.Transport{DialContext: network.Dialer("agent-0"), DisableKeepAlives: true}
	for version := 0; ctx.Err() == nil; {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/endpoints?since=%d&timeout_ms=1000", at, version), nil)
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

// The referee finds nothing in an agent that breaks no rule, and each kind of breach in one that does, with evidence.
func TestRefereeCatches(t *testing.T) {
	drain := func(d *emulator.ScenarioSpec) {
		d.Discovery.RemovalDelay = 0
		d.Faults = []emulator.FaultSpec{{Kind: string(node.Drain), Names: []string{"node-01"}, From: config.Duration(time.Second), To: config.Duration(4 * time.Second)}}
	}
	cold := func(d *emulator.ScenarioSpec) {
		d.Load = 0.5
		for i := range d.Kinds {
			d.Kinds[i].SlowStart = true
		}
	}
	for _, c := range []struct {
		vice   string
		day    func(*emulator.ScenarioSpec)
		rule   referee.Rule
		counts func(referee.Account) int
		says   string
	}{
		{"none", nil, "", nil, ""},
		{"repeats", nil, referee.Duplicate, func(a referee.Account) int { return a.Duplicates }, "ran on node-"},
		{"makes up", nil, referee.Lost, func(a referee.Account) int { return a.Lost }, "no node made"},
		{"cuts off", nil, referee.Lost, func(a referee.Account) int { return a.Lost }, "without an answer, after sending it on"},
		{"goes on sending", drain, referee.AfterDrain, func(a referee.Account) int { return a.AfterDrain }, "after it was told"},
		{"one for all", cold, referee.SlowStartOverload, func(a referee.Account) int { return a.SlowStartOverloads }, "node-01 was cold"},
	} {
		t.Run(c.vice, func(t *testing.T) {
			a, breaches := play(t, c.vice, c.day)
			if !a.Balanced() || a.Requests < 500 {
				t.Errorf("%+v", a)
			}
			if c.rule == "" {
				if !a.RulesHold() || len(breaches) > 0 || a.Completed < a.Requests*9/10 {
					t.Errorf("%+v %v", a, breaches)
				}
				return
			}
			if a.RulesHold() || c.counts(a) == 0 {
				t.Fatalf("not caught: %+v", a)
			}
			if i := slices.IndexFunc(breaches, func(b referee.Violation) bool { return b.Rule == c.rule }); i < 0 || !strings.Contains(breaches[i].String(), c.says) {
				t.Errorf("%v", breaches)
			}
		})
	}
}

// One who says nothing has lost nothing by the rules, but leaves its clients without an answer.
func TestRefereeCountsSilence(t *testing.T) {
	if a, _ := play(t, "says nothing", nil); a.Unanswered < 20 || !a.RulesHold() || !a.Balanced() {
		t.Errorf("%+v", a)
	}
}

// Callers don't wait for answers: a slow service is asked as much as a quick one, and its wait counts from when each
// request was to be sent.
func TestOpenLoop(t *testing.T) {
	slow := func(d *emulator.ScenarioSpec) {
		d.Clients.Retries, d.Clients.ImpatientFraction = 0, 0
		d.Faults = []emulator.FaultSpec{{Kind: string(node.DelayedResponse), Nodes: 10, To: config.Duration(time.Minute), Size: 0.5}}
	}
	quick, _ := play(t, "none", func(d *emulator.ScenarioSpec) { d.Clients.Retries, d.Clients.ImpatientFraction = 0, 0 })
	late, _ := play(t, "none", slow)
	if quick.Requests != late.Requests || late.Completed == 0 {
		t.Errorf("%d asked of a quick service, %d of a slow one", quick.Requests, late.Requests)
	}
}

// Equal specs and seeds draw equal days; others don't.
func TestDraw(t *testing.T) {
	spec := emulator.DefaultScenario()
	spec.Faults = []emulator.FaultSpec{{Kind: "slow", Nodes: 3, To: config.Duration(time.Second), Size: 3}}
	a, err := spec.Draw(5)
	if err != nil {
		t.Fatal(err)
	}
	b, _ := spec.Draw(5)
	c, _ := spec.Draw(6)
	if !slices.Equal(a.Plan, b.Plan) || !slices.Equal(a.Nodes, b.Nodes) || !slices.Equal(a.Faults, b.Faults) {
		t.Error("equal seeds drew other days")
	}
	if slices.Equal(a.Plan, c.Plan) || len(a.Faults) != 3 {
		t.Errorf("%d troubles", len(a.Faults))
	}
	got := float64(len(a.Plan)) / a.Length.Seconds()
	if got < 0.93*a.Rate || got > 1.07*a.Rate {
		t.Errorf("%v a second were drawn for a rate of %v", got, a.Rate)
	}
}

func TestDayChecks(t *testing.T) {
	for want, change := range map[string]func(*emulator.ScenarioSpec){
		"length":     func(d *emulator.ScenarioSpec) { d.Length = -1 },
		"agents":     func(d *emulator.ScenarioSpec) { d.Agents = 100000 },
		"kind[1]":    func(d *emulator.ScenarioSpec) { d.Kinds[1].Speed = 0 },
		"class[0]":   func(d *emulator.ScenarioSpec) { d.Classes[0].Deadline = 1 },
		"tenant[2]":  func(d *emulator.ScenarioSpec) { d.Tenants[2].Share = 0 },
		"net.loss":   func(d *emulator.ScenarioSpec) { d.Network.Loss = 2 },
		"clients":    func(d *emulator.ScenarioSpec) { d.Clients.RetryAfterFraction = 2 },
		"trouble[0]": func(d *emulator.ScenarioSpec) { d.Faults = []emulator.FaultSpec{{Kind: "plague", Nodes: 1, To: 1}} },
		"is no node": func(d *emulator.ScenarioSpec) {
			d.Faults = []emulator.FaultSpec{{Kind: "drain", Names: []string{"x"}, To: 1}}
		},
		"ends its life": func(d *emulator.ScenarioSpec) {
			d.Faults = []emulator.FaultSpec{{Kind: "drain", Names: []string{"node-01"}, To: 1}, {Kind: "restart", Names: []string{"node-01"}, To: 1}}
		},
		"unknown shape": func(d *emulator.ScenarioSpec) { d.Shape = "zigzag" },
		"outage[0]":     func(d *emulator.ScenarioSpec) { d.Outages = []emulator.OutageSpec{{From: 2, To: 1}} },
	} {
		d := emulator.DefaultScenario()
		change(&d)
		if err := d.Check("day."); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

// Callers and load never go beyond the machine.
func TestLoopbackOnly(t *testing.T) {
	dial := (&emulator.LoopbackNetwork{}).Dialer("")
	for _, addr := range []string{"192.0.2.1:80", "example.org:80", "[2001:db8::1]:80", "nonsense"} {
		if c, err := dial(t.Context(), "tcp", addr); err == nil {
			c.Close()
			t.Errorf("%s was dialled", addr)
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
