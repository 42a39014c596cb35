package agent_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"ryeweir/internal/agent"
	"ryeweir/internal/config"
	"ryeweir/internal/config/operator"
	"ryeweir/internal/config/platform"
	"ryeweir/internal/emulator"
	"ryeweir/internal/emulator/callers"
	"ryeweir/internal/emulator/link"
	"ryeweir/internal/emulator/node"
	"ryeweir/internal/emulator/referee"
)

// simulation is a run of real agents against emulated clients, endpoints and discovery. It uses an in-memory network and the fake time of
// synctest, so that minutes of emulated time take little real time.
type simulation struct {
	*emulator.World
	t         *testing.T
	network   *link.Network
	addrs     []string // by agent, like clients, stop and finished
	clients   []*callers.Client
	stop      []context.CancelFunc
	finished  []chan error         // receives the result of agent.Run
	calls     []referee.CallResult // of all callers, when they have ended
	operators operator.File        // of every agent
}

// scenario describes one run: its differences from the base scenario, what happens during the run, and what must hold afterwards.
type scenario struct {
	changeSpec      func(*emulator.ScenarioSpec)
	during          func(*simulation)             // runs concurrently with the callers; may be nil
	minService      float64                       // minimum fraction of service
	verify          func(*testing.T, *simulation) // checks conditions of this scenario that checkRules does not check; may be nil
	changeLimits    func(*emulator.Limits)        // may be nil
	changeOperators func(*operator.File)          // may be nil
}

// baseSpec returns the emulator's spec of the base scenario, which each scenario modifies.
func baseSpec() emulator.ScenarioSpec {
	d := emulator.DefaultScenario()
	d.Load, d.Length = 0.35, config.Duration(12*time.Second)
	for i := range d.Kinds {
		d.Kinds[i].Nodes = 2 + i
	}
	return d
}

// seconds returns a duration of x seconds.
func seconds(x float64) config.Duration { return config.Duration(x * float64(time.Second)) }

// run runs a scenario. The rules must hold, every request must have exactly one end, and the conditions of the scenario must be met.
func (sc scenario) run(t *testing.T) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		spec := baseSpec()
		if sc.changeSpec != nil {
			sc.changeSpec(&spec)
		}
		if err := spec.Check(""); err != nil {
			t.Fatal(err)
		}
		drawn, err := spec.Draw(7)
		if err != nil {
			t.Fatal(err)
		}
		network := link.NewNetwork(7)
		ctx := t.Context()
		w, err := emulator.Start(ctx, drawn, emulator.MemoryNetwork{Network: network}, true)
		if err != nil {
			t.Fatal(err)
		}
		defer w.Close()
		s := &simulation{World: w, t: t, network: network, operators: operator.Default()}
		if sc.changeOperators != nil {
			sc.changeOperators(&s.operators)
		}
		limits := emulator.DefaultLimits()
		if sc.changeLimits != nil {
			sc.changeLimits(&limits)
		}
		for i := range drawn.Agents {
			s.start(i, limits)
		}
		for i := range drawn.Agents {
			s.awaitReady(i)
		}
		w.InjectFaults()
		done := make(chan struct{})
		go func() {
			defer close(done)
			if sc.during != nil {
				sc.during(s)
			}
		}()
		s.calls, _ = w.RunCallers(ctx, s.route, false, nil)
		<-done
		s.shutDown()
		s.checkRules(sc)
	})
}

// shutDown disconnects the clients and shuts down the agents one after the other.
func (s *simulation) shutDown() {
	s.t.Helper()
	for _, c := range s.clients {
		c.Close()
	}
	for i, stop := range s.stop {
		stop()
		if err := <-s.finished[i]; err != nil {
			s.t.Errorf("agent %d: %v", i, err)
		}
	}
}

// checkRules checks the referee's account and the conditions of a scenario.
func (s *simulation) checkRules(sc scenario) {
	s.t.Helper()
	a := s.Referee.Account()
	for _, violation := range s.Referee.Violations() {
		s.t.Error(violation)
	}
	if !a.RulesHold() || !a.Balanced() || a.UnknownRequests > 0 || s.Err() != nil {
		s.t.Errorf("rules violated or account not balanced: %+v, %v", a, s.Err())
	}
	service := referee.MeasureService(s.calls, time.Second, len(s.Scenario.Classes), len(s.Scenario.Tenants))
	s.t.Logf("service %.3f worst %.3f classes %.3f of %d calls; %+v", service.Overall, service.WorstWindow, service.ByClass, len(s.calls), a)
	if service.Overall < sc.minService {
		s.t.Errorf("service is %.3f, below the minimum of %.3f", service.Overall, sc.minService)
	}
	if sc.verify != nil {
		sc.verify(s.t, s)
	}
}

// start starts a process of an agent: the first one, or one after the previous has ended.
func (s *simulation) start(i int, limits emulator.Limits) {
	s.t.Helper()
	name := s.Scenario.Agents[i]
	l, err := s.network.Listen(name + ":8081")
	if err != nil {
		s.t.Fatal(err)
	}
	control, err := s.network.Listen(name + ":9000")
	if err != nil {
		s.t.Fatal(err)
	}
	known := s.EndpointList(i)
	text, err := s.Scenario.AgentConfig(i, "127.0.0.1:8081", "127.0.0.1:9000", s.DiscoveryAddr(i), limits, &known)
	if err != nil {
		s.t.Fatal(err)
	}
	cfg, err := platform.Check("config.json", text)
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	log := slog.New(slog.DiscardHandler)
	if os.Getenv("SCENE_LOG") != "" {
		log = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	go func() {
		ended <- agent.Run(ctx, cfg, s.operators, agent.ReloadConfig{}, agent.Environment{Clients: l, Control: control, Dial: s.network.Dialer(name)}, log)
	}()
	if i == len(s.addrs) {
		s.addrs, s.stop, s.finished = append(s.addrs, ""), append(s.stop, nil), append(s.finished, nil)
		s.clients = append(s.clients, &callers.Client{Addr: name + ":8081", Dial: s.network.Dialer("app-" + name)})
	}
	s.addrs[i], s.stop[i], s.finished[i] = name+":8081", stop, ended
}

// get sends a GET request to an agent and returns the status of the answer, or 0 if there is none.
func (s *simulation) get(addr, path string) int {
	client := http.Client{Transport: &http.Transport{DialContext: s.network.Dialer("operator"), DisableKeepAlives: true}, Timeout: time.Second}
	resp, err := client.Get("http://" + addr + path)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode
}

// awaitReady waits until an agent is ready.
func (s *simulation) awaitReady(i int) {
	s.t.Helper()
	for range 1000 {
		if s.get(s.addrs[i], "/ready") == http.StatusOK {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.t.Fatalf("agent %d is not ready in 20 s", i)
}

// route assigns a planned request to its agent and to the client of that agent.
func (s *simulation) route(p callers.PlannedRequest, _ []string) (string, *callers.Client, func(referee.Outcome)) {
	return s.Scenario.Agents[p.Agent], s.clients[p.Agent], func(referee.Outcome) {}
}

// fault returns the spec of a fault of some endpoints between two times, in seconds.
func fault(kind node.FaultKind, nodes int, from, to, size float64) emulator.FaultSpec {
	return emulator.FaultSpec{Kind: string(kind), Nodes: nodes, From: seconds(from), To: seconds(to), Size: size}
}

// withFaults returns a function that adds faults to a spec.
func withFaults(faults ...emulator.FaultSpec) func(*emulator.ScenarioSpec) {
	return func(d *emulator.ScenarioSpec) { d.Faults = append(d.Faults, faults...) }
}

// Endpoints, networks, discovery, clients and agents fail, in one way at a time or in several. In each scenario the rules must hold, every
// request must have exactly one end, and the minimum service must be reached.
func TestRulesHoldInScenarios(t *testing.T) {
	flap := fault(node.Flap, 2, 2, 9, 0)
	flap.On, flap.Off = seconds(0.7), seconds(0.9)
	noisyNeighbor := fault(node.NoisyNeighbor, 3, 2, 10, 0.7)
	noisyNeighbor.On, noisyNeighbor.Off = seconds(2), seconds(1.5)
	poorLink := link.Conditions{Delay: 150 * time.Millisecond, Jitter: 20 * time.Millisecond, Loss: 0.1, Resend: 50 * time.Millisecond}
	for name, sc := range map[string]scenario{
		"quiet":                        {minService: 0.97},
		"a slow endpoint":              {changeSpec: withFaults(fault(node.Slow, 1, 2, 10, 8)), minService: 0.85},
		"fast errors":                  {changeSpec: withFaults(fault(node.FastFail, 1, 2, 10, 0.9)), minService: 0.85},
		"noisy neighbor":               {changeSpec: withFaults(noisyNeighbor), minService: 0.8},
		"an endpoint vanishes":         {changeSpec: withFaults(fault(node.Blackhole, 1, 3, 9, 0)), minService: 0.85},
		"resets":                       {changeSpec: withFaults(fault(node.ResetConn, 5, 2, 10, 0.1)), minService: 0.8, verify: checkNoDuplicates},
		"idle closes":                  {changeSpec: withFaults(fault(node.IdleClose, 5, 1, 12, 1)), minService: 0.95, verify: checkNoDuplicates},
		"corrupt responses":            {changeSpec: withFaults(fault(node.MalformedResponse, 5, 2, 10, 0.1)), minService: 0.8, verify: checkNoDuplicates},
		"oversized responses":          {changeSpec: withFaults(fault(node.OversizedResponse, 5, 2, 10, 0.1)), minService: 0.8, verify: checkNoDuplicates},
		"late responses":               {changeSpec: withFaults(fault(node.DelayedResponse, 2, 2, 8, 1)), minService: 0.6},
		"flapping":                     {changeSpec: withFaults(flap), minService: 0.75},
		"a drain":                      {changeSpec: withFaults(fault(node.Drain, 2, 3, 8, 0)), minService: 0.9},
		"a restart":                    {changeSpec: withFaults(fault(node.Restart, 1, 3, 5, 0)), minService: 0.9},
		"a replacement":                {changeSpec: withFaults(fault(node.Replace, 2, 3, 4, 0)), minService: 0.85},
		"a rolling restart":            {changeSpec: withFaults(fault(node.Restart, 1, 1, 3, 0), fault(node.Restart, 1, 4, 6, 0), fault(node.Restart, 1, 7, 9, 0)), minService: 0.8},
		"overlapping faults":           {changeSpec: withFaults(fault(node.Slow, 1, 2, 10, 5), fault(node.FastFail, 1, 4, 9, 0.8), fault(node.Drain, 1, 5, 8, 0)), minService: 0.6},
		"overload":                     {changeSpec: func(d *emulator.ScenarioSpec) { d.Load, d.Length = 2.2, seconds(6) }, minService: 0.25, verify: checkPromptRejections},
		"a burst":                      {changeSpec: func(d *emulator.ScenarioSpec) { d.Shape, d.Swing, d.Period = "burst", 3, seconds(4) }, minService: 0.6},
		"all in slow start":            {changeSpec: func(d *emulator.ScenarioSpec) { startAllInSlowStart(d); d.Load = 0.2 }, minService: 0.3},
		"misbehaving and slow clients": {changeSpec: func(d *emulator.ScenarioSpec) { d.Clients.SlowFraction = 0.2 }, during: addMisbehavingClients, minService: 0.7},
		"large responses": {changeSpec: func(d *emulator.ScenarioSpec) {
			d.ResponseBytes, d.Load, d.Agents, d.Length = 300<<10, 0.1, 1, seconds(6)
		}, minService: 0.9},
		"large requests":    {changeSpec: func(d *emulator.ScenarioSpec) { d.RequestBytes, d.Load, d.Agents = 200<<10, 0.1, 1 }, minService: 0.9},
		"discovery is down": {changeSpec: withDiscoveryOutage(2, 9), minService: 0.95},
		"a restart that no list reports": {changeSpec: func(d *emulator.ScenarioSpec) {
			withDiscoveryOutage(2, 9)(d)
			withFaults(fault(node.Restart, 1, 3, 11, 0))(d)
		}, minService: 0.85},
		"discovery is slow":              {changeSpec: func(d *emulator.ScenarioSpec) { d.Discovery.Rate = 3; withFaults(fault(node.Drain, 1, 3, 8, 0))(d) }, minService: 0.9},
		"no request reaches an endpoint": {during: func(s *simulation) { s.partitionOneWay(true) }, minService: 0.85},
		"no response comes back":         {during: func(s *simulation) { s.partitionOneWay(false) }, minService: 0.85, verify: checkNoDuplicates},
		"all connections break":          {during: resetAllConnections, minService: 0.85, verify: checkNoDuplicates},
		"lossy links to endpoints":       {changeSpec: func(d *emulator.ScenarioSpec) { d.Network.Loss = 0.02 }, minService: 0.5, verify: checkNoDuplicates},
		"clients on poor links":          {changeSpec: func(d *emulator.ScenarioSpec) { d.Load = 0.1 }, during: func(s *simulation) { s.setClientLinks(poorLink) }, verify: checkNoDuplicates},
		"operators drain an agent":       {during: drainByOperator, minService: 0.9},
		"an agent shuts down":            {during: shutDownFirstAgent, verify: checkFirstAgentEnded},
		"an agent is killed":             {during: killFirstAgent, minService: 0.6},
		"few descriptors":                {changeLimits: func(l *emulator.Limits) { l.Sockets = 128 }, minService: 0.9},
		"little memory":                  {changeSpec: func(d *emulator.ScenarioSpec) { d.ResponseBytes, d.Load, d.Length = 200<<10, 0.1, seconds(6) }, changeLimits: func(l *emulator.Limits) { l.MemoryMB = 20 }, minService: 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sc.run(t)
		})
	}
}

// checkNoDuplicates checks that no non-idempotent request has run twice, and that requests were completed.
func checkNoDuplicates(t *testing.T, s *simulation) {
	t.Helper()
	if a := s.Referee.Account(); a.Effects == 0 || a.Duplicates > 0 || a.Completed == 0 {
		t.Errorf("%+v", a)
	}
}

// checkPromptRejections checks that requests for which there is no capacity are rejected and not left without an answer.
func checkPromptRejections(t *testing.T, s *simulation) {
	t.Helper()
	if a := s.Referee.Account(); a.Rejected < a.Requests/10 || a.Unanswered > a.Requests/10 {
		t.Errorf("%+v", a)
	}
}

// startAllInSlowStart makes all endpoints start in slow start.
func startAllInSlowStart(d *emulator.ScenarioSpec) {
	for i := range d.Kinds {
		d.Kinds[i].SlowStart = true
	}
}

// withDiscoveryOutage returns a function that makes discovery unavailable between two times, in seconds.
func withDiscoveryOutage(from, to float64) func(*emulator.ScenarioSpec) {
	return func(d *emulator.ScenarioSpec) {
		d.Outages = []emulator.OutageSpec{{From: seconds(from), To: seconds(to)}}
	}
}

// addMisbehavingClients runs clients that connect to the first agent and send no valid requests.
func addMisbehavingClients(s *simulation) {
	ctx, stop := context.WithTimeout(context.Background(), 8*time.Second)
	defer stop()
	f := callers.RunMisbehaving(ctx, s.network.Dialer("stranger"), s.addrs[0], 40)
	if f.Clients < 100 || f.Served > 0 || f.Ignored > 0 {
		s.t.Errorf("misbehaving clients: %+v", f)
	}
}

// partitionOneWay cuts the network between the agents and an endpoint in one direction, for 5 s.
func (s *simulation) partitionOneWay(toEndpoint bool) {
	time.Sleep(2 * time.Second)
	for _, cut := range []bool{true, false} {
		for _, a := range s.Scenario.Agents {
			c := link.Conditions{Delay: time.Millisecond, Cut: cut}
			if toEndpoint {
				s.network.Set(a, "node-01", c)
			} else {
				s.network.Set("node-01", a, c)
			}
		}
		time.Sleep(5 * time.Second)
	}
}

// resetAllConnections resets all connections between agents and endpoints three times, every 2 s.
func resetAllConnections(s *simulation) {
	for range 3 {
		time.Sleep(2 * time.Second)
		for _, a := range s.Scenario.Agents {
			for _, n := range s.Scenario.Nodes {
				s.network.ResetBetween(a, n.ID)
			}
		}
	}
}

// setClientLinks sets the network conditions between clients and agents, in both directions.
func (s *simulation) setClientLinks(c link.Conditions) {
	for _, a := range s.Scenario.Agents {
		s.network.SetBoth("app-"+a, a, c)
	}
}

// callOperator sends a POST request to an agent's operators' address and returns the status of the answer, or 0 if there is none.
func (s *simulation) callOperator(agent int, path string) int {
	client := http.Client{Transport: &http.Transport{DialContext: s.network.Dialer("operator"), DisableKeepAlives: true}, Timeout: time.Second}
	resp, err := client.Post("http://"+s.Scenario.Agents[agent]+":9000"+path, "", nil)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// drainByOperator drains an agent for 3 s, as operators do. The agent reports that it is not ready but still serves clients.
func drainByOperator(s *simulation) {
	time.Sleep(2 * time.Second)
	if code := s.callOperator(0, "/v1/agent/drain"); code/100 != 2 {
		s.t.Errorf("drain: status %d", code)
	}
	if code := s.get(s.addrs[0], "/ready"); code/100 == 2 {
		s.t.Errorf("/ready returns %d during a drain", code)
	}
	time.Sleep(3 * time.Second)
	if code := s.callOperator(0, "/v1/agent/activate"); code/100 != 2 {
		s.t.Errorf("activate: status %d", code)
	}
	if code := s.get(s.addrs[0], "/ready"); code != http.StatusOK {
		s.t.Errorf("/ready returns %d after the drain", code)
	}
}

// shutDownFirstAgent shuts down an agent, as SIGTERM does, while its clients continue to send requests.
func shutDownFirstAgent(s *simulation) {
	time.Sleep(4 * time.Second)
	s.stop[0]()
}

// checkFirstAgentEnded checks that the agent answered the requests that it had accepted, and that later requests failed.
func checkFirstAgentEnded(t *testing.T, s *simulation) {
	t.Helper()
	if a := s.Referee.Account(); a.Failed == 0 || a.Unanswered > 20 {
		t.Errorf("%+v", a)
	}
}

// killFirstAgent kills an agent together with its connections, and starts a new process of it.
func killFirstAgent(s *simulation) {
	time.Sleep(4 * time.Second)
	from := s.Now()
	// The referee is told before Kill, because callers see the closed connections at once.
	s.Referee.AgentKilled(s.Scenario.Agents[0], from, from+50*time.Millisecond)
	s.network.Kill(s.Scenario.Agents[0])
	s.stop[0]()
	<-s.finished[0]
	s.start(0, emulator.DefaultLimits())
	s.awaitReady(0)
}
