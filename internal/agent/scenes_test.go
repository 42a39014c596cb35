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

// Scenes play the whole real agent in a world in memory and in fake time: sockets, discovery, nodes and callers behave as
// the emulator has it, and minutes pass in a moment.

// stage is a world with its agents, as a scene sees it.
type stage struct {
	*emulator.World
	t       *testing.T
	network *link.Network
	addrs   []string
	clients []*callers.Client
	stop    []context.CancelFunc
	ended   []chan error
	calls   []referee.Call
	ops     operator.File
}

// scene is a day with something to do beside it and what must have come of it.
type scene struct {
	day     func(*emulator.DaySpec)
	during  func(*stage)             // beside the callers; may be nil
	service float64                  // the least
	verify  func(*testing.T, *stage) // beyond the rules; may be nil
	limits  func(*emulator.Limits)   // may be nil
	ops     func(*operator.File)     // what operators changed; may be nil
}

func usualDay() emulator.DaySpec {
	d := emulator.DefaultDay()
	d.Load, d.Length = 0.35, config.Duration(12*time.Second)
	for i := range d.Kinds {
		d.Kinds[i].Nodes = 2 + i
	}
	return d
}

func sec(x float64) config.Duration { return config.Duration(x * float64(time.Second)) }

// play plays a scene. The rules must hold in each, and every request must have exactly one end.
func (sc scene) play(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		spec := usualDay()
		if sc.day != nil {
			sc.day(&spec)
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
		w, err := emulator.Start(ctx, day, emulator.Memory{Network: network}, true)
		if err != nil {
			t.Fatal(err)
		}
		defer w.Close()
		s := &stage{World: w, t: t, network: network, ops: operator.Default()}
		if sc.ops != nil {
			sc.ops(&s.ops)
		}
		limits := emulator.DefaultLimits()
		if sc.limits != nil {
			sc.limits(&limits)
		}
		for i := range day.Agents {
			s.start(i, limits)
		}
		for i := range day.Agents {
			s.ready(i)
		}
		w.Play()
		done := make(chan struct{})
		go func() {
			defer close(done)
			if sc.during != nil {
				sc.during(s)
			}
		}()
		s.calls, _ = w.Call(ctx, s.route, false, nil)
		<-done
		s.end()
		s.judge(sc)
	})
}

// end lets the clients leave and the agents end in order.
func (s *stage) end() {
	for _, c := range s.clients {
		c.Close()
	}
	for i, stop := range s.stop {
		stop()
		if err := <-s.ended[i]; err != nil {
			s.t.Errorf("agent %d: %v", i, err)
		}
	}
}

func (s *stage) judge(sc scene) {
	a := s.Referee.Account()
	for _, b := range s.Referee.Breaches() {
		s.t.Error(b)
	}
	if !a.Held() || !a.Balanced() || a.UnknownRequests > 0 || s.Err() != nil {
		s.t.Errorf("the account %+v, %v", a, s.Err())
	}
	service := referee.Serve(s.calls, time.Second, len(s.Day.Classes), len(s.Day.Tenants))
	s.t.Logf("service %.3f worst %.3f classes %.3f of %d calls; %+v", service.Whole, service.WorstWindow, service.ByClass, len(s.calls), a)
	if service.Whole < sc.service {
		s.t.Errorf("service is %.3f, under %.3f", service.Whole, sc.service)
	}
	if sc.verify != nil {
		sc.verify(s.t, s)
	}
}

// start starts an agent's process.
func (s *stage) start(i int, limits emulator.Limits) {
	name := s.Day.Agents[i]
	l, err := s.network.Listen(name + ":8081")
	if err != nil {
		s.t.Fatal(err)
	}
	control, err := s.network.Listen(name + ":9000")
	if err != nil {
		s.t.Fatal(err)
	}
	known := s.Known(i)
	text, err := s.Day.AgentConfig(i, "127.0.0.1:8081", "127.0.0.1:9000", s.Discovery(i), limits, &known)
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
		ended <- agent.Run(ctx, cfg, s.ops, agent.ReloadConfig{}, agent.Environment{Clients: l, Control: control, Dial: s.network.Dialer(name)}, log)
	}()
	if i == len(s.addrs) {
		s.addrs, s.stop, s.ended = append(s.addrs, ""), append(s.stop, nil), append(s.ended, nil)
		s.clients = append(s.clients, &callers.Client{Addr: name + ":8081", Dial: s.network.Dialer("app-" + name)})
	}
	s.addrs[i], s.stop[i], s.ended[i] = name+":8081", stop, ended
}

// get makes a call to an agent and returns the status, or 0.
func (s *stage) get(addr, path string) int {
	client := http.Client{Transport: &http.Transport{DialContext: s.network.Dialer("operator"), DisableKeepAlives: true}, Timeout: time.Second}
	resp, err := client.Get("http://" + addr + path)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode
}

// ready waits until an agent takes clients.
func (s *stage) ready(i int) {
	for range 1000 {
		if s.get(s.addrs[i], "/ready") == http.StatusOK {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.t.Fatalf("agent %d is not ready in 20 s", i)
}

func (s *stage) route(p callers.Planned, _ []string) (string, *callers.Client, func(referee.End)) {
	return s.Day.Agents[p.Agent], s.clients[p.Agent], func(referee.End) {}
}

func trouble(kind node.Kind, nodes int, from, to, size float64) emulator.FaultSpec {
	return emulator.FaultSpec{Kind: string(kind), Nodes: nodes, From: sec(from), To: sec(to), Size: size}
}

// add puts troubles into a day.
func add(troubles ...emulator.FaultSpec) func(*emulator.DaySpec) {
	return func(d *emulator.DaySpec) { d.Faults = append(d.Faults, troubles...) }
}

func TestScenes(t *testing.T) {
	flap := trouble(node.Flap, 2, 2, 9, 0)
	flap.On, flap.Off = sec(0.7), sec(0.9)
	neighbour := trouble(node.Neighbour, 3, 2, 10, 0.7)
	neighbour.On, neighbour.Off = sec(2), sec(1.5)
	bad := link.Conditions{Delay: 150 * time.Millisecond, Jitter: 20 * time.Millisecond, Loss: 0.1, Resend: 50 * time.Millisecond}
	for name, sc := range map[string]scene{
		"quiet":                    {service: 0.97},
		"a slow node":              {day: add(trouble(node.Slow, 1, 2, 10, 8)), service: 0.85},
		"fast errors":              {day: add(trouble(node.FastFail, 1, 2, 10, 0.9)), service: 0.85},
		"a neighbour":              {day: add(neighbour), service: 0.8},
		"a node vanishes":          {day: add(trouble(node.Vanish, 1, 3, 9, 0)), service: 0.85},
		"resets":                   {day: add(trouble(node.ResetConn, 5, 2, 10, 0.1)), service: 0.8, verify: effects},
		"idle closes":              {day: add(trouble(node.IdleClose, 5, 1, 12, 1)), service: 0.95, verify: effects},
		"spoilt answers":           {day: add(trouble(node.Spoil, 5, 2, 10, 0.1)), service: 0.8, verify: effects},
		"oversized answers":        {day: add(trouble(node.Oversize, 5, 2, 10, 0.1)), service: 0.8, verify: effects},
		"late answers":             {day: add(trouble(node.LateAnswers, 2, 2, 8, 1)), service: 0.6},
		"flapping":                 {day: add(flap), service: 0.75},
		"a drain":                  {day: add(trouble(node.Drain, 2, 3, 8, 0)), service: 0.9},
		"a restart":                {day: add(trouble(node.Restart, 1, 3, 5, 0)), service: 0.9},
		"a replacement":            {day: add(trouble(node.Replace, 2, 3, 4, 0)), service: 0.85},
		"a rolling restart":        {day: add(trouble(node.Restart, 1, 1, 3, 0), trouble(node.Restart, 1, 4, 6, 0), trouble(node.Restart, 1, 7, 9, 0)), service: 0.8},
		"troubles that overlap":    {day: add(trouble(node.Slow, 1, 2, 10, 5), trouble(node.FastFail, 1, 4, 9, 0.8), trouble(node.Drain, 1, 5, 8, 0)), service: 0.6},
		"overload":                 {day: func(d *emulator.DaySpec) { d.Load, d.Length = 2.2, sec(6) }, service: 0.25, verify: refusedAtOnce},
		"a burst":                  {day: func(d *emulator.DaySpec) { d.Shape, d.Swing, d.Period = "burst", 3, sec(4) }, service: 0.6},
		"all cold":                 {day: func(d *emulator.DaySpec) { coldNodes(d); d.Load = 0.2 }, service: 0.3},
		"rude and slow callers":    {day: func(d *emulator.DaySpec) { d.Clients.Slow = 0.2 }, during: rude, service: 0.7},
		"large answers":            {day: func(d *emulator.DaySpec) { d.Answer, d.Load, d.Agents, d.Length = 300<<10, 0.1, 1, sec(6) }, service: 0.9},
		"large requests":           {day: func(d *emulator.DaySpec) { d.Body, d.Load, d.Agents = 200<<10, 0.1, 1 }, service: 0.9},
		"discovery is down":        {day: outage(2, 9), service: 0.95},
		"a death no list tells":    {day: func(d *emulator.DaySpec) { outage(2, 9)(d); add(trouble(node.Restart, 1, 3, 11, 0))(d) }, service: 0.85},
		"discovery is slow":        {day: func(d *emulator.DaySpec) { d.List.Rate = 3; add(trouble(node.Drain, 1, 3, 8, 0))(d) }, service: 0.9},
		"nothing reaches a node":   {during: func(s *stage) { s.oneWay(true) }, service: 0.85},
		"no answer comes back":     {during: func(s *stage) { s.oneWay(false) }, service: 0.85, verify: effects},
		"all connections break":    {during: breaks, service: 0.85, verify: effects},
		"lossy links to nodes":     {day: func(d *emulator.DaySpec) { d.Net.Loss = 0.02 }, service: 0.5, verify: effects},
		"callers on poor links":    {day: func(d *emulator.DaySpec) { d.Load = 0.1 }, during: func(s *stage) { s.clientsOn(bad) }, verify: effects},
		"operators drain an agent": {during: operatorDrain, service: 0.9},
		"an agent ends":            {during: ends, verify: ended},
		"an agent is killed":       {during: killed, service: 0.6},
		"few descriptors":          {limits: func(l *emulator.Limits) { l.Sockets = 128 }, service: 0.9},
		"a tenth of the memory":    {day: func(d *emulator.DaySpec) { d.Answer, d.Load, d.Length = 200<<10, 0.1, sec(6) }, limits: func(l *emulator.Limits) { l.MemoryMB = 20 }, service: 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sc.play(t)
		})
	}
}

// effects: what may not run twice has not, though attempts broke off; and something did break.
func effects(t *testing.T, s *stage) {
	if a := s.Referee.Account(); a.Effects == 0 || a.Duplicates > 0 || a.Completed == 0 {
		t.Errorf("%+v", a)
	}
}

// refusedAtOnce: what has no room is told so, rather than left without an answer.
func refusedAtOnce(t *testing.T, s *stage) {
	if a := s.Referee.Account(); a.Rejected < a.Requests/10 || a.Unanswered > a.Requests/10 {
		t.Errorf("%+v", a)
	}
}

func coldNodes(d *emulator.DaySpec) {
	for i := range d.Kinds {
		d.Kinds[i].SlowStart = true
	}
}

func outage(from, to float64) func(*emulator.DaySpec) {
	return func(d *emulator.DaySpec) { d.Outages = []emulator.OutageSpec{{From: sec(from), To: sec(to)}} }
}

// rude lets clients come that send no requests.
func rude(s *stage) {
	ctx, stop := context.WithTimeout(context.Background(), 8*time.Second)
	defer stop()
	f := callers.RunMisbehaving(ctx, s.network.Dialer("stranger"), s.addrs[0], 40)
	if f.Clients < 100 || f.Served > 0 || f.Ignored > 0 {
		s.t.Errorf("rude clients: %+v", f)
	}
}

// oneWay cuts one direction between the agents and a node for some seconds.
func (s *stage) oneWay(forth bool) {
	time.Sleep(2 * time.Second)
	for _, cut := range []bool{true, false} {
		for _, a := range s.Day.Agents {
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

// breaks resets all connections between agents and nodes, three times.
func breaks(s *stage) {
	for range 3 {
		time.Sleep(2 * time.Second)
		for _, a := range s.Day.Agents {
			for _, n := range s.Day.Nodes {
				s.network.ResetBetween(a, n.ID)
			}
		}
	}
}

func (s *stage) clientsOn(c link.Conditions) {
	for _, a := range s.Day.Agents {
		s.network.Both("app-"+a, a, c)
	}
}

// operator makes a call at an agent's second address.
func (s *stage) operator(agent int, path string) int {
	client := http.Client{Transport: &http.Transport{DialContext: s.network.Dialer("operator"), DisableKeepAlives: true}, Timeout: time.Second}
	resp, err := client.Post("http://"+s.Day.Agents[agent]+":9000"+path, "", nil)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// operatorDrain drains an agent for some seconds: it says that it is not ready and serves those who come all the same.
func operatorDrain(s *stage) {
	time.Sleep(2 * time.Second)
	if code := s.operator(0, "/v1/agent/drain"); code/100 != 2 {
		s.t.Errorf("drain: %d", code)
	}
	if code := s.get(s.addrs[0], "/ready"); code/100 == 2 {
		s.t.Errorf("ready says %d in a drain", code)
	}
	time.Sleep(3 * time.Second)
	if code := s.operator(0, "/v1/agent/activate"); code/100 != 2 {
		s.t.Errorf("activate: %d", code)
	}
	if code := s.get(s.addrs[0], "/ready"); code != http.StatusOK {
		s.t.Errorf("ready says %d after the drain", code)
	}
}

// ends lets an agent end in order, as SIGTERM does, while its callers go on.
func ends(s *stage) {
	time.Sleep(4 * time.Second)
	s.stop[0]()
}

// ended: what the agent had taken was answered; what came later found nobody.
func ended(t *testing.T, s *stage) {
	if a := s.Referee.Account(); a.Failed == 0 || a.Unanswered > 20 {
		t.Errorf("%+v", a)
	}
}

// killed lets an agent vanish with its connections and start anew.
func killed(s *stage) {
	time.Sleep(4 * time.Second)
	from := s.Now()
	s.Referee.Killed(s.Day.Agents[0], from, from+50*time.Millisecond) // first: callers see the closes as soon as the network makes them
	s.network.Kill(s.Day.Agents[0])
	s.stop[0]()
	<-s.ended[0]
	s.start(0, emulator.DefaultLimits())
	s.ready(0)
}
