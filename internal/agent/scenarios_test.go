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

// simulation is an emulated world with its agents. Its scenarios run real agents in memory and in fake time: connections,
// discovery, endpoints and clients behave as the emulator has it, and minutes pass in a moment.
type simulation struct {
	*emulator.World
	t         *testing.T
	network   *link.Network
	addrs     []string
	clients   []*callers.Client
	stop      []context.CancelFunc
	finished  []chan error
	calls     []referee.CallResult
	operators operator.File
}

// scenario is a day of the emulator, what happens beside its clients, and what must have come of it.
type scenario struct {
	changeDay       func(*emulator.ScenarioSpec)
	beside          func(*simulation)             // beside the callers; may be nil
	minService      float64                       // the least
	verify          func(*testing.T, *simulation) // beyond the rules; may be nil
	changeLimits    func(*emulator.Limits)        // may be nil
	changeOperators func(*operator.File)          // what operators changed; may be nil
}

// baseDay is the day that scenarios change.
func baseDay() emulator.ScenarioSpec {
	d := emulator.DefaultScenario()
	d.Load, d.Length = 0.35, config.Duration(12*time.Second)
	for i := range d.Kinds {
		d.Kinds[i].Nodes = 2 + i
	}
	return d
}

// seconds is a duration of x seconds.
func seconds(x float64) config.Duration { return config.Duration(x * float64(time.Second)) }

// run runs a scenario. The rules must hold in each, and every request must have exactly one end.
func (sc scenario) run(t *testing.T) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		spec := baseDay()
		if sc.changeDay != nil {
			sc.changeDay(&spec)
		}
		if err := spec.Check(""); err != nil {
			t.Fatal(err)
		}
		day, err := spec.Draw(7)
		if err != nil {
			t.Fatal(err)
		}
		network := link.NewNetwork(7)
		ctx := t.Context()
		w, err := emulator.Start(ctx, day, emulator.MemoryNetwork{Network: network}, true)
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
		for i := range day.Agents {
			s.start(i, limits)
		}
		for i := range day.Agents {
			s.awaitReady(i)
		}
		w.InjectFaults()
		done := make(chan struct{})
		go func() {
			defer close(done)
			if sc.beside != nil {
				sc.beside(s)
			}
		}()
		s.calls, _ = w.RunCallers(ctx, s.route, false, nil)
		<-done
		s.shutDown()
		s.checkRules(sc)
	})
}

// shutDown disconnects the clients and ends the agents in order.
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

// checkRules checks the referee's account and the least service of a scenario.
func (s *simulation) checkRules(sc scenario) {
	s.t.Helper()
	a := s.Referee.Account()
	for _, b := range s.Referee.Violations() {
		s.t.Error(b)
	}
	if !a.RulesHold() || !a.Balanced() || a.UnknownRequests > 0 || s.Err() != nil {
		s.t.Errorf("the account %+v, %v", a, s.Err())
	}
	service := referee.MeasureService(s.calls, time.Second, len(s.Scenario.Classes), len(s.Scenario.Tenants))
	s.t.Logf("service %.3f worst %.3f classes %.3f of %d calls; %+v", service.Overall, service.WorstWindow, service.ByClass, len(s.calls), a)
	if service.Overall < sc.minService {
		s.t.Errorf("service is %.3f, under %.3f", service.Overall, sc.minService)
	}
	if sc.verify != nil {
		sc.verify(s.t, s)
	}
}

// start starts an agent's process.
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

// get sends a request to an agent and returns the status, or 0.
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

// route sends a planned call to its agent.
func (s *simulation) route(p callers.PlannedRequest, _ []string) (string, *callers.Client, func(referee.Outcome)) {
	return s.Scenario.Agents[p.Agent], s.clients[p.Agent], func(referee.Outcome) {}
}

// fault is a fault of some endpoints between two times, in seconds.
func fault(kind node.FaultKind, nodes int, from, to, size float64) emulator.FaultSpec {
	return emulator.FaultSpec{Kind: string(kind), Nodes: nodes, From: seconds(from), To: seconds(to), Size: size}
}

// withFaults adds faults to a day.
func withFaults(faults ...emulator.FaultSpec) func(*emulator.ScenarioSpec) {
	return func(d *emulator.ScenarioSpec) { d.Faults = append(d.Faults, faults...) }
}

// Endpoints, networks, discovery, clients and agents fail in one way at a time, or in several. In each scenario the rules hold,
// every request has exactly one end, and enough of them are served.
func TestRulesHoldInScenarios(t *testing.T) {
	flap := fault(node.Flap, 2, 2, 9, 0)
	flap.On, flap.Off = seconds(0.7), seconds(0.9)
	neighbour := fault(node.NoisyNeighbor, 3, 2, 10, 0.7)
	neighbour.On, neighbour.Off = seconds(2), seconds(1.5)
	bad := link.Conditions{Delay: 150 * time.Millisecond, Jitter: 20 * time.Millisecond, Loss: 0.1, Resend: 50 * time.Millisecond}
	for name, sc := range map[string]scenario{
		"quiet":                        {minService: 0.97},
		"a slow endpoint":              {changeDay: withFaults(fault(node.Slow, 1, 2, 10, 8)), minService: 0.85},
		"fast errors":                  {changeDay: withFaults(fault(node.FastFail, 1, 2, 10, 0.9)), minService: 0.85},
		"a neighbour":                  {changeDay: withFaults(neighbour), minService: 0.8},
		"an endpoint vanishes":         {changeDay: withFaults(fault(node.Blackhole, 1, 3, 9, 0)), minService: 0.85},
		"resets":                       {changeDay: withFaults(fault(node.ResetConn, 5, 2, 10, 0.1)), minService: 0.8, verify: checkNoDuplicates},
		"idle closes":                  {changeDay: withFaults(fault(node.IdleClose, 5, 1, 12, 1)), minService: 0.95, verify: checkNoDuplicates},
		"corrupt answers":              {changeDay: withFaults(fault(node.MalformedResponse, 5, 2, 10, 0.1)), minService: 0.8, verify: checkNoDuplicates},
		"oversized answers":            {changeDay: withFaults(fault(node.OversizedResponse, 5, 2, 10, 0.1)), minService: 0.8, verify: checkNoDuplicates},
		"late answers":                 {changeDay: withFaults(fault(node.DelayedResponse, 2, 2, 8, 1)), minService: 0.6},
		"flapping":                     {changeDay: withFaults(flap), minService: 0.75},
		"a drain":                      {changeDay: withFaults(fault(node.Drain, 2, 3, 8, 0)), minService: 0.9},
		"a restart":                    {changeDay: withFaults(fault(node.Restart, 1, 3, 5, 0)), minService: 0.9},
		"a replacement":                {changeDay: withFaults(fault(node.Replace, 2, 3, 4, 0)), minService: 0.85},
		"a rolling restart":            {changeDay: withFaults(fault(node.Restart, 1, 1, 3, 0), fault(node.Restart, 1, 4, 6, 0), fault(node.Restart, 1, 7, 9, 0)), minService: 0.8},
		"overlapping faults":           {changeDay: withFaults(fault(node.Slow, 1, 2, 10, 5), fault(node.FastFail, 1, 4, 9, 0.8), fault(node.Drain, 1, 5, 8, 0)), minService: 0.6},
		"overload":                     {changeDay: func(d *emulator.ScenarioSpec) { d.Load, d.Length = 2.2, seconds(6) }, minService: 0.25, verify: checkPromptRejections},
		"a burst":                      {changeDay: func(d *emulator.ScenarioSpec) { d.Shape, d.Swing, d.Period = "burst", 3, seconds(4) }, minService: 0.6},
		"all in slow start":            {changeDay: func(d *emulator.ScenarioSpec) { startAllInSlowStart(d); d.Load = 0.2 }, minService: 0.3},
		"misbehaving and slow clients": {changeDay: func(d *emulator.ScenarioSpec) { d.Clients.SlowFraction = 0.2 }, beside: addMisbehavingClients, minService: 0.7},
		"large answers": {changeDay: func(d *emulator.ScenarioSpec) {
			d.ResponseBytes, d.Load, d.Agents, d.Length = 300<<10, 0.1, 1, seconds(6)
		}, minService: 0.9},
		"large requests":    {changeDay: func(d *emulator.ScenarioSpec) { d.RequestBytes, d.Load, d.Agents = 200<<10, 0.1, 1 }, minService: 0.9},
		"discovery is down": {changeDay: withDiscoveryOutage(2, 9), minService: 0.95},
		"a restart that no list reports": {changeDay: func(d *emulator.ScenarioSpec) {
			withDiscoveryOutage(2, 9)(d)
			withFaults(fault(node.Restart, 1, 3, 11, 0))(d)
		}, minService: 0.85},
		"discovery is slow":           {changeDay: func(d *emulator.ScenarioSpec) { d.Discovery.Rate = 3; withFaults(fault(node.Drain, 1, 3, 8, 0))(d) }, minService: 0.9},
		"nothing reaches an endpoint": {beside: func(s *simulation) { s.partitionOneWay(true) }, minService: 0.85},
		"no answer comes back":        {beside: func(s *simulation) { s.partitionOneWay(false) }, minService: 0.85, verify: checkNoDuplicates},
		"all connections break":       {beside: resetAllConnections, minService: 0.85, verify: checkNoDuplicates},
		"lossy links to endpoints":    {changeDay: func(d *emulator.ScenarioSpec) { d.Network.Loss = 0.02 }, minService: 0.5, verify: checkNoDuplicates},
		"clients on poor links":       {changeDay: func(d *emulator.ScenarioSpec) { d.Load = 0.1 }, beside: func(s *simulation) { s.setClientLinks(bad) }, verify: checkNoDuplicates},
		"operators drain an agent":    {beside: drainByOperator, minService: 0.9},
		"an agent ends":               {beside: shutDownFirstAgent, verify: checkFirstAgentEnded},
		"an agent is killed":          {beside: killFirstAgent, minService: 0.6},
		"few descriptors":             {changeLimits: func(l *emulator.Limits) { l.Sockets = 128 }, minService: 0.9},
		"little memory":               {changeDay: func(d *emulator.ScenarioSpec) { d.ResponseBytes, d.Load, d.Length = 200<<10, 0.1, seconds(6) }, changeLimits: func(l *emulator.Limits) { l.MemoryMB = 20 }, minService: 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sc.run(t)
		})
	}
}

// checkNoDuplicates checks that what must not run twice has not, though something did run.
func checkNoDuplicates(t *testing.T, s *simulation) {
	t.Helper()
	if a := s.Referee.Account(); a.Effects == 0 || a.Duplicates > 0 || a.Completed == 0 {
		t.Errorf("%+v", a)
	}
}

// checkPromptRejections checks that requests for which there is no capacity are rejected, rather than left without an answer.
func checkPromptRejections(t *testing.T, s *simulation) {
	t.Helper()
	if a := s.Referee.Account(); a.Rejected < a.Requests/10 || a.Unanswered > a.Requests/10 {
		t.Errorf("%+v", a)
	}
}

// startAllInSlowStart makes all endpoints begin in slow start.
func startAllInSlowStart(d *emulator.ScenarioSpec) {
	for i := range d.Kinds {
		d.Kinds[i].SlowStart = true
	}
}

// withDiscoveryOutage makes discovery unavailable between two times, in seconds.
func withDiscoveryOutage(from, to float64) func(*emulator.ScenarioSpec) {
	return func(d *emulator.ScenarioSpec) {
		d.Outages = []emulator.OutageSpec{{From: seconds(from), To: seconds(to)}}
	}
}

// addMisbehavingClients adds clients that connect and send no valid requests.
func addMisbehavingClients(s *simulation) {
	ctx, stop := context.WithTimeout(context.Background(), 8*time.Second)
	defer stop()
	f := callers.RunMisbehaving(ctx, s.network.Dialer("stranger"), s.addrs[0], 40)
	if f.Clients < 100 || f.Served > 0 || f.Ignored > 0 {
		s.t.Errorf("misbehaving clients: %+v", f)
	}
}

// partitionOneWay cuts one direction between the agents and an endpoint for some seconds.
func (s *simulation) partitionOneWay(forth bool) {
	time.Sleep(2 * time.Second)
	for _, cut := range []bool{true, false} {
		for _, a := range s.Scenario.Agents {
			c := link.Conditions{Delay: time.Millisecond, Cut: cut}
			if forth {
				s.network.Set(a, "node-01", c)
			} else {
				s.network.Set("node-01", a, c)
			}
		}
		time.Sleep(5 * time.Second)
	}
}

// resetAllConnections resets all connections between agents and endpoints, three times.
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

// setClientLinks sets the conditions between clients and agents.
func (s *simulation) setClientLinks(c link.Conditions) {
	for _, a := range s.Scenario.Agents {
		s.network.SetBoth("app-"+a, a, c)
	}
}

// callOperator sends a request to the operators' address and returns the status.
func (s *simulation) callOperator(agent int, path string) int {
	client := http.Client{Transport: &http.Transport{DialContext: s.network.Dialer("operator"), DisableKeepAlives: true}, Timeout: time.Second}
	resp, err := client.Post("http://"+s.Scenario.Agents[agent]+":9000"+path, "", nil)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// drainByOperator drains an agent for some seconds: it reports not ready and serves clients all the same.
func drainByOperator(s *simulation) {
	time.Sleep(2 * time.Second)
	if code := s.callOperator(0, "/v1/agent/drain"); code/100 != 2 {
		s.t.Errorf("drain: %d", code)
	}
	if code := s.get(s.addrs[0], "/ready"); code/100 == 2 {
		s.t.Errorf("ready says %d in a drain", code)
	}
	time.Sleep(3 * time.Second)
	if code := s.callOperator(0, "/v1/agent/activate"); code/100 != 2 {
		s.t.Errorf("activate: %d", code)
	}
	if code := s.get(s.addrs[0], "/ready"); code != http.StatusOK {
		s.t.Errorf("ready says %d after the drain", code)
	}
}

// shutDownFirstAgent ends an agent in order, as SIGTERM does, while its clients go on.
func shutDownFirstAgent(s *simulation) {
	time.Sleep(4 * time.Second)
	s.stop[0]()
}

// checkFirstAgentEnded checks that what the agent had accepted was answered; later requests found no agent.
func checkFirstAgentEnded(t *testing.T, s *simulation) {
	t.Helper()
	if a := s.Referee.Account(); a.Failed == 0 || a.Unanswered > 20 {
		t.Errorf("%+v", a)
	}
}

// killFirstAgent kills an agent with its connections and starts it again.
func killFirstAgent(s *simulation) {
	time.Sleep(4 * time.Second)
	from := s.Now()
	s.Referee.AgentKilled(s.Scenario.Agents[0], from, from+50*time.Millisecond) // first: callers see the closes as soon as the network makes them
	s.network.Kill(s.Scenario.Agents[0])
	s.stop[0]()
	<-s.finished[0]
	s.start(0, emulator.DefaultLimits())
	s.awaitReady(0)
}
