package experiment

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"ryeweir/internal/config/operator"
	"ryeweir/internal/emulator"
	"ryeweir/internal/emulator/backend"
	"ryeweir/internal/emulator/callers"
	"ryeweir/internal/emulator/discovery"
	"ryeweir/internal/emulator/link"
	"ryeweir/internal/emulator/referee"
	"ryeweir/internal/fleetstate/membership"
	"ryeweir/internal/processrig"
)

// Variant is a way to get requests to nodes.
type Variant struct {
	Name     string
	Command  []string // of an agent's process; empty for callers that choose by themselves
	Chooser  string   // the reference arm's name
	Operator string   // of an agent: its operators' file; empty for the defaults
	Limits   emulator.Limits
}

// Live is what a run has come to, for those who watch it.
type Live struct {
	At      time.Duration // since the day began
	Account referee.Account
	Calls   []referee.Call // that ended since the last look
	States  []backend.State
	Marks   []emulator.Mark
}

// RunScenario plays a day with an arm on loopback sockets. watch, where there is one, gets a look each second. When the context
// ends the day ends early, and the outcome so far is returned, marked as interrupted.
func RunScenario(ctx context.Context, day *emulator.Day, arm Variant, watch func(Live)) (o Outcome, err error) {
	dir, err := os.MkdirTemp("", "ryeweir-")
	if err != nil {
		return o, err
	}
	defer func() {
		if err == nil { // else the logs are needed
			os.RemoveAll(dir)
		}
	}()
	ops, err := operator.Load(arm.Operator)
	if err != nil {
		return o, err
	}
	on := &emulator.Loopback{}
	var peers *processrig.Peers
	if ops.Peers.Enabled {
		on.Mesh = link.NewMesh(day.Seed)
		hosts := slices.Clone(day.Agents)
		for i := range day.Spec.Fleet.ByzantinePeers {
			hosts = append(hosts, liarName(i))
		}
		if peers, err = processrig.NewPeers(on.Mesh, hosts); err != nil {
			return o, errors.Join(err, on.Mesh.Close())
		}
	}
	w, err := emulator.Start(context.WithoutCancel(ctx), day, on, true)
	if err != nil {
		return o, err
	}
	defer w.Close()
	p := &play{w: w, arm: arm, away: make([]bool, len(day.Agents)), peers: peers}
	if len(arm.Command) > 0 {
		err = p.startAgents(ctx, dir)
	} else {
		err = p.startChoosers()
	}
	if err != nil {
		return o, errors.Join(err, p.stopAgents())
	}
	liars, err := p.startLiars(ops.Peers)
	if err != nil {
		return o, errors.Join(err, p.stopAgents())
	}
	waits := processrig.ReadWaits()
	w.Play()
	watching, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for _, l := range liars {
		all.Go(func() { l.run(watching) })
	}
	all.Go(func() { p.watch(watching, watch) })
	if peers != nil || ops.Overload.Enabled {
		all.Go(func() { p.look(watching) })
	}
	if len(arm.Command) > 0 {
		for _, t := range day.AgentFaults {
			all.Go(func() { p.befall(watching, t) })
		}
	}
	if rate := day.Spec.Clients.MisbehavingRate; rate > 0 {
		for _, a := range p.agents {
			all.Go(func() { p.rude(callers.RunMisbehaving(watching, w.Net.Dialer(""), a.Addr, rate)) })
		}
	}
	calls, figures := w.Call(ctx, p.route, len(arm.Command) == 0, p.ended)
	starved := processrig.ReadWaits().Since(waits)
	stop()
	all.Wait()
	for _, c := range p.clients {
		c.Close()
	}
	ended := p.stopAgents()
	t := tallied{day: day, calls: calls, figures: figures, account: w.Referee.Account(), kept: w.Referee.Breaches(),
		nodes: nodeFigures(w.States()), lists: w.Discovered().Whole + w.Discovered().Watches, load: p.load, goodput: p.goodput, marks: w.Marks()}
	o = t.sum(arm.Name, false)
	o.ProcessorWait = float64(starved.Microseconds()) / 1e3
	if peers != nil {
		o.Views = views(day, p.sights)
	}
	o.Levels = levels(day, p.sights)
	o.Misbehaving, o.Interrupted = p.rudeness, ctx.Err() != nil
	if n := t.account.Requests; n > 0 {
		o.CPU = float64(p.cpu.Microseconds()) / float64(n)
	}
	return o, errors.Join(ended, w.Err(), errors.Join(p.faults...))
}

type play struct {
	w       *emulator.World
	arm     Variant
	peers   *processrig.Peers
	agents  []*processrig.Process
	cpu     time.Duration
	load    [][]float64
	goodput []float64
	sights  [][]glance // of each agent's peers
	choices []*choices

	mu       sync.Mutex
	rudeness callers.MisbehavingFigures
	faults   []error // what could not be done to agents' processes
	away     []bool  // by agent: killed, ended or paused, and not yet back
	clients  []*callers.Client
	fresh    []referee.Call // that ended since the last look
}

func (p *play) startAgents(ctx context.Context, dir string) error {
	limits := p.arm.Limits
	if limits == (emulator.Limits{}) {
		limits = emulator.DefaultLimits()
	}
	for i := range p.w.Day.Agents {
		a, err := processrig.Start(p.w, i, p.arm.Command, dir, limits, p.peers)
		if err != nil {
			return err
		}
		p.agents = append(p.agents, a)
		p.clients = append(p.clients, &callers.Client{Addr: a.Addr, Dial: p.w.Net.Dialer("")})
	}
	for i, a := range p.agents {
		if err := a.Ready(ctx); err != nil {
			return fmt.Errorf("%s: %w", p.w.Day.Agents[i], err)
		}
	}
	return nil
}

// startLiars lets the day's liars in among the peers, where there are any.
func (p *play) startLiars(set operator.Peers) (out []*liar, err error) {
	if p.peers == nil {
		return nil, nil
	}
	for i, spec := range p.w.Day.Spec.Fleet.ByzantinePeers {
		var at membership.Config
		at.Bind, at.Advertise, at.Seeds = p.peers.Place(len(p.w.Day.Agents) + i)
		l, err := newLiar(p.w, spec, liarName(i), at, set)
		if err != nil {
			return nil, err
		}
		out = append(out, l)
	}
	return out, nil
}

// befall does to an agent's process what the day has for it, at its time: it kills it, ends it in order, pauses it or slows it, and
// after the time away starts the next or lets it go on. A killed agent's requests are nobody's fault; a paused or slow one still
// owes each of its requests an answer.
func (p *play) befall(ctx context.Context, t emulator.AgentFault) {
	if !callers.Sleep(ctx, t.At-p.w.Now()) {
		return
	}
	a, name := p.agents[t.Agent], p.w.Day.Agents[t.Agent]
	p.mu.Lock()
	away := p.away[t.Agent]
	p.away[t.Agent] = true
	p.mu.Unlock()
	if away {
		return // as in simulated time: one that is away is not befallen again
	}
	defer func() {
		p.mu.Lock()
		p.away[t.Agent] = false
		p.mu.Unlock()
	}()
	now := p.w.Now()
	p.w.Note(now, now+t.Away, name, t.Kind)
	var err error
	switch t.Kind {
	case emulator.AgentPause:
		err = a.Pause()
	case emulator.AgentSlow:
		err = a.Slow(ctx, t.RunFraction, t.Away)
	case emulator.AgentKill:
		p.w.Referee.Killed(name, now, now+t.Away)
		a.Kill()
	default:
		err = a.Term()
		now = p.w.Now()
		p.w.Referee.Killed(name, now, now+t.Away) // no process listens until the next one does
	}
	if err == nil && callers.Sleep(ctx, now+t.Away-p.w.Now()) {
		if t.Survives() {
			err = a.Resume()
		} else if err = a.Again(!t.WithState); err == nil {
			err = a.Ready(ctx)
		}
	}
	if err != nil && ctx.Err() == nil { // one that the end of the day finds on its way back is stopped as it is
		p.mu.Lock()
		p.faults = append(p.faults, fmt.Errorf("%s: %w", name, err))
		p.mu.Unlock()
	}
}

func (p *play) stopAgents() error {
	var mu sync.Mutex
	var errs []error
	var all sync.WaitGroup
	for i, a := range p.agents {
		all.Go(func() {
			cpu, err := a.Stop()
			mu.Lock()
			defer mu.Unlock()
			p.cpu += cpu
			if err != nil {
				errs = append(errs, fmt.Errorf("%s: %w", p.w.Day.Agents[i], err))
			}
		})
	}
	all.Wait()
	p.agents = nil
	return errors.Join(errs...)
}

func (p *play) ended(c referee.Call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.fresh) < callers.DefaultMost {
		p.fresh = append(p.fresh, c)
	}
}

// rude adds up what rude clients got.
func (p *play) rude(f callers.MisbehavingFigures) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rudeness.Clients += f.Clients
	p.rudeness.Served += f.Served
	p.rudeness.Ignored += f.Ignored
}

// watch notes the nodes' load each second, and shows what has come of the day.
func (p *play) watch(ctx context.Context, show func(Live)) {
	began := time.Now()
	last, done := began, time.Duration(0)
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		states := p.w.States()
		row := make([]float64, len(states))
		for i, s := range states {
			row[i] = float64(s.InFlight)
		}
		p.load = append(p.load, row)
		useful, now := time.Duration(0), time.Now()
		for _, s := range states {
			useful += s.Figures.Work - s.Figures.Wasted
		}
		p.goodput = append(p.goodput, (useful-done).Seconds()/(p.w.Day.Capacity*now.Sub(last).Seconds()))
		last, done = now, useful
		p.mu.Lock()
		fresh := p.fresh
		p.fresh = nil
		p.mu.Unlock()
		if show != nil {
			show(Live{At: time.Since(began), Account: p.w.Referee.Account(), Calls: fresh, States: states, Marks: p.w.Marks()})
		}
	}
}

func (p *play) route(c callers.Planned, tried []string) (string, *callers.Client, func(referee.End)) {
	if p.choices != nil {
		return p.choices[c.Agent].route(c, tried)
	}
	return p.w.Day.Agents[c.Agent], p.clients[c.Agent], func(referee.End) {}
}

// choices are those of the callers beside one agent's place, who choose nodes by themselves.
type choices struct {
	p       *play
	agent   int
	sees    bool // the true state
	mu      *sync.Mutex
	chooser Chooser
	clients map[string]*callers.Client // by address
	own     map[string]int             // in flight, by id
	addrs   []string
	views   []View
	looked  time.Time
}

// lookEvery is how often the list, and for the oracle the true state, is looked at anew.
const lookEvery = 50 * time.Millisecond

func (p *play) startChoosers() error {
	var mu sync.Mutex // of the one who sees all there is only one
	all := NewChooser(p.arm.Chooser, p.w.Day.Seed)
	for i := range p.w.Day.Agents {
		chooser := all
		if p.arm.Chooser != Oracle {
			chooser = NewChooser(p.arm.Chooser, p.w.Day.Seed+uint64(i))
		}
		c := &choices{p: p, agent: i, sees: p.arm.Chooser == Oracle, chooser: chooser, mu: &mu,
			clients: map[string]*callers.Client{}, own: map[string]int{}}
		if c.chooser == nil {
			return fmt.Errorf("arm %s: %q is no way to choose", p.arm.Name, p.arm.Chooser)
		}
		p.choices = append(p.choices, c)
	}
	return nil
}

func (c *choices) route(planned callers.Planned, tried []string) (string, *callers.Client, func(referee.End)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sees || time.Since(c.looked) > lookEvery {
		c.look()
	}
	for i := range c.views {
		c.views[i].Own = c.own[c.views[i].ID]
	}
	i := c.chooser.Choose(c.views, planned, tried)
	if i < 0 {
		return "", nil, nil
	}
	id, addr := c.views[i].ID, c.addrs[i]
	client := c.clients[addr]
	if client == nil {
		client = &callers.Client{Addr: addr, Dial: c.p.w.Net.Dialer("")}
		c.clients[addr] = client
		c.p.mu.Lock()
		c.p.clients = append(c.p.clients, client)
		c.p.mu.Unlock()
	}
	c.own[id]++
	return id, client, func(referee.End) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.own[id]--
	}
}

// look reads the list, which is late, and the true state, which is not.
func (c *choices) look() {
	truth := map[string]*Truth{}
	if c.sees {
		for _, s := range c.p.w.States() {
			if s.Up {
				truth[s.ID] = &Truth{Capacity: s.Capacity, Cores: s.Cores, Backlog: s.Backlog, Room: s.Room, Failing: s.Failing}
			}
		}
	}
	c.addrs, c.views, c.looked = c.addrs[:0], c.views[:0], time.Now()
	for _, e := range c.p.w.Known(c.agent).Servers {
		if t := truth[e.ID]; t != nil {
			t.Away = c.p.w.Day.LinkTo(c.p.w.Day.AgentZone(c.agent), e.Zone).Delay
		}
		if e.State == discovery.Ready {
			c.addrs = append(c.addrs, e.Addr)
			c.views = append(c.views, View{ID: e.ID, True: truth[e.ID]})
		}
	}
}
