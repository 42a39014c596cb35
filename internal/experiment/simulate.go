package experiment

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ryeweir/internal/budget"
	"ryeweir/internal/config/operator"
	"ryeweir/internal/emulator"
	"ryeweir/internal/emulator/callers"
	"ryeweir/internal/emulator/node"
	"ryeweir/internal/emulator/referee"
	"ryeweir/logic"
)

// Simulate plays a day in simulated time: the decision module, or a chooser, on the node models, with delays but without
// sockets. Equal days and arms give equal outcomes.
func Simulate(day *emulator.Day, arm Arm) (Outcome, error) {
	s := &sim{day: day, referee: referee.New(referee.DefaultRules()), rng: rand.New(rand.NewPCG(day.Seed, 0x73696d)),
		waiting: map[ticket]*simAttempt{}, open: map[string]*simTry{}, byID: map[string]*simNode{}}
	for i, spec := range day.Nodes {
		n := &simNode{Node: node.New(spec, day.Seed*1000+uint64(i)), number: i, up: true, wake: -1}
		s.nodes, s.byID[n.ID] = append(s.nodes, n), n
		s.list.entries = append(s.list.entries, s.entry(i, logic.Ready))
	}
	if len(day.Spec.Fleet.Paths)+len(day.Spec.Fleet.ByzantinePeers) > 0 {
		return Outcome{}, errors.New("ways between chosen hosts and liars are played by real processes only")
	}
	for _, t := range day.AgentFaults {
		if t.Survives() || t.WithState {
			return Outcome{}, errors.New("paused and slow agents and those that keep what they learnt are played by real processes only")
		}
	}
	var err error
	if s.ops, err = operator.Load(arm.Operator); err != nil {
		return Outcome{}, err
	}
	for i := range day.Agents {
		a := s.process(i)
		if len(arm.Command) == 0 {
			a.chooser = NewChooser(arm.Chooser, day.Seed+uint64(i))
			if a.chooser == nil {
				return Outcome{}, fmt.Errorf("arm %s: %q is no way to choose", arm.Name, arm.Chooser)
			}
			if (arm.Chooser == Oracle || arm.Chooser == Late) && i > 0 { // of the one who sees all there is only one
				a.chooser = s.agents[0].chooser
			}
		} else if err := s.module(a); err != nil {
			return Outcome{}, err
		}
		s.agents = append(s.agents, a)
	}
	s.sight.on, s.sight.sent = arm.Chooser == Late, make([]float64, len(s.nodes))
	s.truths = make([]Truth, 0, len(s.nodes)) // views point into it
	s.begin()
	s.run()
	if s.err != nil {
		return Outcome{}, s.err
	}
	t := tallied{day: day, calls: s.calls, account: s.referee.Account(), kept: s.referee.Breaches(), lists: s.list.calls, load: s.load, goodput: s.goodput, marks: s.marks}
	for _, n := range s.nodes {
		t.nodes = append(t.nodes, n.past.Add(n.Figures()))
	}
	o := t.sum(arm.Name, true)
	o.Truths, o.Used, o.Busy = &s.truth, s.used, s.busy
	return o, nil
}

// moduleStart is where the module's clock stands when the day begins: 0 means never there.
const moduleStart = time.Second

// answerMargin is how long before its client's deadline an agent ends a request.
const answerMargin = 20 * time.Millisecond

// watchDelay is how long a change takes from the list to an agent that watches, and how soon a failed call is known.
const watchDelay = 10 * time.Millisecond

type sim struct {
	day     *emulator.Day
	referee *referee.Referee
	rng     *rand.Rand
	now     time.Duration
	events  simEvents
	made    int
	nodes   []*simNode
	agents  []*simAgent
	byID    map[string]*simNode // that live
	list    registry
	sight   sight
	views   []View // of the choice at hand, with what follows
	among   []*simNode
	truths  []Truth
	lives   int
	tickets uint64
	waiting map[ticket]*simAttempt
	open    map[string]*simTry
	calls   []referee.Call
	load    [][]float64
	goodput []float64 // as Series has it
	useful  time.Duration
	busy    []float64 // work done of what the nodes that are up could do at present, a second each
	used    []float64 // share of the listed nodes that something came to, a second each
	marks   []emulator.Mark
	left    int // calls that have not ended
	truth   Truths
	ops     operator.File
	err     error
}

// Truths hold what an agent did against what was true at the time, which only a simulation knows.
type Truths struct {
	Rejected             int `json:"refused"`       // tries refused without having been sent anywhere
	RejectedWithCapacity int `json:"refused_room"`  // of them, while a node of the list that was ready had a core free
	RejectedNearCapacity int `json:"refused_near"`  // of them, while one of those that its agent spreads its requests over had
	RejectedInSlowStart  int `json:"refused_cold"`  // of them, a cold one
	Sent                 int `json:"sent"`          // attempts that came to a node
	SentIntoOverload     int `json:"sent_into_jam"` // of them, to a node that had to turn them away or held work for longer than their aim
	SentDespiteCapacity  int `json:"sent_aside"`    // of these, while another ready node had a core free
	ToDead               int `json:"to_dead"`       // attempts at a node that says nothing
	NotRunning           int `json:"unheard"`       // tries that came while the agent's process was away
}

// idle reports whether a node would begin a request at once.
func (n *simNode) idle() bool {
	return n.up && !n.Silent() && n.Failing() == 0 && n.InFlight() < n.Cores
}

// idleCore reports whether some node that the list has as ready would begin a request at once.
func (s *sim) idleCore() bool {
	return slices.ContainsFunc(s.list.entries, func(e logic.Endpoint) bool {
		n := s.byID[e.ID]
		return e.State == logic.Ready && n != nil && n.idle()
	})
}

// judgeRefusal holds a refusal of what was sent nowhere against what was true.
func (s *sim) judgeRefusal(a *simAgent) {
	s.truth.Rejected++
	if !s.idleCore() {
		return
	}
	s.truth.RejectedWithCapacity++
	near, cold := false, true
	for _, id := range a.balancer.SubsetIDs() {
		if n := s.byID[id]; n != nil && n.idle() && !s.day.CutOff(a.zone, n.Zone, s.now) {
			near, cold = true, cold && n.Warm() < 1
		}
	}
	if near {
		s.truth.RejectedNearCapacity++
		if cold {
			s.truth.RejectedInSlowStart++
		}
	}
}

// judgeSend holds an attempt that has come to a node against what was true there.
func (s *sim) judgeSend(at *simAttempt) {
	n := at.node
	s.truth.Sent++
	if n.Silent() {
		s.truth.ToDead++
		return
	}
	if n.Room() && n.Backlog() <= at.try.journey.Class.LatencyObjective {
		return
	}
	s.truth.SentIntoOverload++
	if s.idleCore() {
		s.truth.SentDespiteCapacity++
	}
}

type ticket struct {
	node   int
	number uint64
}

type simNode struct {
	*node.Node
	number int
	up     bool
	wake   time.Duration // when it is looked at next; below 0 when not
	past   node.Figures
	told   bool // that it toppled
	seen   int  // what had been offered at the latest look
	worked time.Duration
}

// simTry is a try of a client, on its way.
type simTry struct {
	id       string
	agent    *simAgent
	journey  *callers.Journey
	tried    []string
	deadline time.Duration // when its agent stops, or its client where there is none
	ended    bool          // for the client
	sends    int
	out      int
}

type simAttempt struct {
	try    *simTry
	number int
	node   *simNode
	life   *node.Node
	id     string // of the node's life
	sent   time.Duration
	over   bool
	ticket ticket
}

// simEvents is a heap by time, then by the order of making.
type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}
type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = simEvent{}
	*e = (*e)[:last]
	return x
}

func (s *sim) at(t time.Duration, do func()) {
	s.made++
	heap.Push(&s.events, simEvent{max(t, s.now), s.made, do})
}

// begin books what the day brings: lists, troubles, callers.
func (s *sim) begin() {
	for _, a := range s.agents {
		if a.balancer != nil {
			s.do(a, a.balancer.Start(s.clock()))
			s.tellList(a, s.list.entries)
			s.talk(a)
		}
	}
	for _, t := range s.day.AgentFaults {
		s.at(t.At, func() { s.befallAgent(t) })
	}
	for _, n := range s.nodes {
		s.rouse(n)
	}
	for _, p := range s.day.Faults {
		s.befall(p)
	}
	for _, o := range s.day.Spec.Outages {
		s.at(o.From.D(), func() {
			s.list.down = true
			s.marks = append(s.marks, emulator.Mark{At: o.From.D(), To: o.To.D(), Node: "discovery", Text: "outage"})
			for _, a := range s.agents {
				s.lost(a)
			}
		})
		s.at(o.To.D(), func() { s.list.down = false })
	}
	for _, c := range s.day.Spec.Fleet.Cuts {
		s.at(c.From.D(), func() {
			s.marks = append(s.marks, emulator.Mark{At: c.From.D(), To: c.To.D(), Node: c.Zone, Text: "cut off"})
		})
	}
	s.left = len(s.day.Plan)
	for _, p := range s.day.Plan {
		s.at(p.At, func() {
			j := callers.NewJourney(p, s.day.Classes[p.Class], s.day.ClientsAt(p.At))
			s.try(j, nil)
		})
	}
	var look func()
	look = func() {
		row, listed, used := make([]float64, len(s.nodes)), 0, 0
		done, could := 0.0, 0.0
		useful := time.Duration(0)
		for i, n := range s.nodes {
			row[i] = float64(n.InFlight())
			offered, work := n.Figures().Offered, n.Figures().Work
			useful += work + n.past.Work - n.Figures().Wasted - n.past.Wasted
			if n.up {
				listed++
				done, could = done+(work-n.worked).Seconds(), could+n.Capacity()
				if offered > n.seen {
					used++
				}
			}
			n.seen, n.worked = offered, work
		}
		s.busy = append(s.busy, done/max(1e-9, could))
		s.goodput = append(s.goodput, (useful-s.useful).Seconds()/s.day.Capacity)
		s.useful = useful
		s.load = append(s.load, row)
		s.used = append(s.used, float64(used)/max(1, float64(listed)))
		if s.now < s.day.Length {
			s.at(s.now+time.Second, look)
		}
	}
	s.at(time.Second, look)
	if s.sight.on {
		s.watchTruth()
	}
}

// longestTail is how long after the last call a simulation goes on at most.
const longestTail = time.Minute

func (s *sim) run() {
	for len(s.events) > 0 && (s.left > 0 || len(s.open) > 0) && s.now < s.day.Length+longestTail {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
}

func (s *sim) clock() time.Duration { return s.now + moduleStart }

// Discovery.

func (s *sim) entry(i int, state logic.EndpointState) logic.Endpoint {
	spec := s.nodes[i].Spec
	e := logic.Endpoint{ID: spec.ID, State: state, Zone: slices.Index(s.day.Spec.Zones, spec.Zone), Cell: i / 8, Weight: 1}
	if spec.Started >= 0 {
		e.StartedAt = spec.Started + moduleStart
	}
	return e
}

// Troubles.

func (s *sim) befall(p emulator.Placed) {
	list := s.day.Spec.List
	n := s.nodes[p.Node]
	name := n.ID
	s.at(p.From, func() {
		s.marks = append(s.marks, emulator.Mark{At: p.From, To: p.To, Node: name, Text: string(p.Kind)})
		switch p.Kind {
		case node.Drain:
			n.AddFault(p.Fault)
			s.change(list.Notice.D(), s.entry(p.Node, logic.Draining))
		case node.Restart, node.Replace:
			s.kill(n)
			if p.Kind == node.Replace || list.Notice.D() < p.To-p.From+list.Add.D() {
				s.change(list.Notice.D(), s.entry(p.Node, logic.Removed))
			}
		default:
			n.AddFault(p.Fault)
			s.rouse(n)
		}
	})
	s.at(p.To, func() {
		switch p.Kind {
		case node.Drain:
			s.kill(n)
			s.change(list.Notice.D(), s.entry(p.Node, logic.Removed))
		case node.Restart, node.Replace:
			spec := n.Spec
			s.lives++
			if p.Kind == node.Replace {
				spec.ID = fmt.Sprintf("%s-%d", spec.ID, s.lives)
			}
			spec.Started = s.now
			n.past = n.past.Add(n.Figures())
			delete(s.byID, n.ID)
			n.Node, n.up, n.told, n.seen, n.worked = node.New(spec, s.day.Seed*1000+uint64(len(s.nodes)+n.number)), true, false, 0, 0
			s.byID[n.ID] = n
			n.Advance(s.now)
			s.rouse(n)
			s.change(list.Add.D(), s.entry(p.Node, logic.Ready))
		}
	})
}

// kill ends a node's process: what it had is reset.
func (s *sim) kill(n *simNode) {
	n.up = false
	var had []*simAttempt
	for _, t := range s.waiting {
		if t.node == n {
			had = append(had, t)
		}
	}
	slices.SortFunc(had, func(a, b *simAttempt) int { return int(a.ticket.number) - int(b.ticket.number) })
	for _, t := range had {
		s.back(t, logic.Reset, 0)
	}
	for _, a := range s.agents {
		delete(a.conns, n.number)
	}
}

// Nodes.

// rouse looks at a node, and books the next look.
func (s *sim) rouse(n *simNode) {
	s.settle(n)
	next := n.Next()
	if n.wake >= 0 && n.wake <= next && n.wake > s.now {
		return
	}
	n.wake = next
	life := n.Node
	s.at(next, func() {
		if n.Node == life && n.wake == s.now {
			n.wake = -1
			s.rouse(n)
		}
	})
}

// settle lets a node's time pass and hands out what ended.
func (s *sim) settle(n *simNode) {
	done := n.Advance(s.now)
	for _, number := range n.Began() {
		if t := s.waiting[ticket{n.number, number}]; t != nil {
			s.referee.Began(t.try.id, n.ID, s.now)
		}
	}
	if n.Overloaded() && !n.told {
		n.told = true
		if n.Blame() {
			s.referee.SlowStartOverloaded(n.ID, s.now)
		}
	}
	for _, d := range done {
		t := s.waiting[ticket{n.number, d.Ticket}]
		if t == nil {
			continue
		}
		delete(s.waiting, t.ticket)
		late := max(0, d.At-s.now)
		switch {
		case n.Silent():
		case d.Expired:
			s.back(t, logic.Rejected, late)
		case !d.OK:
			s.back(t, logic.Failed, late)
		case d.Form != node.Whole:
			s.back(t, logic.Reset, late)
		default:
			s.referee.Made(t.try.id, d.Ticket)
			s.back(t, logic.OK, late)
		}
	}
}

func (s *sim) oneWay(a *simAgent, n *simNode) time.Duration {
	c := s.day.LinkTo(a.zone, n.Zone)
	d := c.Delay
	if c.Jitter > 0 {
		d += time.Duration(s.rng.Int64N(int64(c.Jitter)))
	}
	return d
}

// Callers.

// try begins a client's next try, or ends its journey.
func (s *sim) try(j *callers.Journey, tried []string) {
	wait, leaves := j.Attempt(s.now)
	if wait == 0 {
		s.finish(j)
		return
	}
	a := s.agents[j.Agent]
	if a.away { // nobody listens: the client learns it at once
		s.truth.NotRunning++
		s.unheard(j, tried)
		return
	}
	t := &simTry{id: callers.ID(s.day.Seed, j.Number, j.Attempts), agent: a, journey: j, tried: tried, deadline: s.now + wait}
	ask := referee.Request{ID: t.id, Agent: s.day.Agents[j.Agent], NonIdempotent: j.Class.NonIdempotent, At: s.now, Class: j.Class.Name}
	if a.balancer == nil {
		ask.Agent = ""
	}
	s.referee.RequestSent(ask)
	s.open[t.id] = t
	s.at(s.now+leaves, func() { s.leave(t) })
	if a.balancer == nil {
		s.choose(t)
		return
	}
	t.deadline -= min(answerMargin, wait/4)
	if a.budget != nil {
		a.budget.SetLatencyOverload(s.clock(), a.balancer.OverloadLevel())
		if v := a.budget.Admit(s.clock(), a.order.Priority(s.clock(), j.Planned.Class, j.Tenant)); !v.Admit {
			s.judgeRefusal(a)
			s.answer(t, referee.Refused, 0, v.RetryAfter)
			return
		}
	}
	s.tell(a, logic.Request{ID: t.id, Class: j.Planned.Class, Tenant: j.Tenant, Key: j.Key, Deadline: t.deadline + moduleStart})
}

func (s *sim) finish(j *callers.Journey) {
	s.left--
	s.calls = append(s.calls, j.Result())
}

// leave is a client's end of waiting.
func (s *sim) leave(t *simTry) {
	if t.ended {
		return
	}
	s.answer(t, referee.Nothing, 0, 0)
	if t.agent.balancer != nil {
		s.tell(t.agent, logic.ClientDisconnected{Request: t.id})
	} else {
		for _, at := range s.attempts(t) {
			s.giveUp(at)
		}
	}
}

func (s *sim) attempts(t *simTry) (out []*simAttempt) {
	for _, at := range s.waiting {
		if at.try == t {
			out = append(out, at)
		}
	}
	return out
}

// answer gives a try its end, and lets the journey go on.
func (s *sim) answer(t *simTry, end referee.End, sum uint64, comeBack time.Duration) {
	if t.ended {
		return
	}
	t.ended = true
	s.referee.Ended(t.id, end, sum, s.now)
	s.forget(t)
	next, over := t.journey.Ended(s.now, end, comeBack)
	if over {
		s.finish(t.journey)
		return
	}
	s.at(next, func() { s.try(t.journey, t.tried) })
}

func (s *sim) forget(t *simTry) {
	if t.ended && t.out == 0 {
		delete(s.open, t.id)
	}
}

// choose sends a try where its chooser says.
func (s *sim) choose(t *simTry) {
	a := t.agent
	views, among, truths := s.views[:0], s.among[:0], s.truths[:0]
	for _, e := range s.list.entries {
		n := s.byID[e.ID]
		if e.State != logic.Ready || n == nil {
			continue
		}
		v := View{ID: n.ID, Own: a.busy[n.number]}
		if n.up && !s.day.CutOff(a.zone, n.Zone, s.now) {
			truths = append(truths, s.truthOf(n))
			v.True = &truths[len(truths)-1]
			v.True.Away = s.day.LinkTo(a.zone, n.Zone).Delay
		}
		views, among = append(views, v), append(among, n)
	}
	s.views, s.among = views, among
	i := a.chooser.Choose(views, t.journey.Planned, t.tried)
	if i < 0 {
		s.answer(t, referee.Unsent, 0, 0)
		return
	}
	t.tried = append(t.tried, views[i].ID)
	s.sight.sent[among[i].number] += t.journey.Work.Seconds()
	s.send(t, among[i], 0)
}

// The module.

func (s *sim) tell(a *simAgent, ev logic.Event) {
	if !a.gone {
		s.do(a, a.balancer.Handle(s.clock(), ev))
	}
}

// do carries out the module's actions as the real agent does.
func (s *sim) do(a *simAgent, actions []logic.Action) {
	for _, act := range slices.Clone(actions) {
		t := s.open[act.Request]
		switch act.Kind {
		case logic.Send:
			if t == nil {
				continue
			}
			to := s.byID[act.Endpoint]
			if a.budget != nil && t.sends > 0 && !a.budget.AllowRetry(s.clock()) {
				n := t.sends
				t.sends++
				t.out++
				s.at(s.now, func() { s.outcome(&simAttempt{try: t, number: n, id: act.Endpoint, sent: s.now}, logic.NotSent) })
				continue
			}
			if to == nil { // a life that is over
				n := t.sends
				t.sends++
				t.out++
				s.at(s.now+watchDelay, func() { s.outcome(&simAttempt{try: t, number: n, id: act.Endpoint, sent: s.now}, logic.ConnectFailed) })
				continue
			}
			s.send(t, to, act.Delay)
		case logic.Reject:
			if t != nil {
				if t.sends == 0 {
					s.judgeRefusal(a)
				}
				s.answer(t, referee.Refused, 0, act.Delay)
			}
		case logic.Fail:
			if t != nil {
				s.answer(t, referee.Failed, 0, 0)
			}
		case logic.SetTimer:
			s.at(s.now+act.Delay, func() { s.tell(a, logic.TimerFired{Token: act.Token}) })
		case logic.HealthCheck:
			s.probe(a, act.Endpoint)
		case logic.Subscribe:
			s.subscribe(a)
		}
	}
}

// probe asks a node for its load, over a connection that is there or a new one.
func (s *sim) probe(a *simAgent, id string) {
	began := s.now
	told := func(r logic.Result, report logic.LoadReport) {
		s.tell(a, logic.HealthChecked{Endpoint: id, Result: r, Latency: s.now - began, LoadReport: report})
	}
	if a.budget != nil && !a.budget.AllowHealthCheck() {
		s.at(s.now, func() { told(logic.NotSent, logic.NoLoadReport) })
		return
	}
	n := s.byID[id]
	if n == nil || !n.up {
		s.at(s.now+watchDelay, func() { told(logic.ConnectFailed, logic.NoLoadReport) })
		return
	}
	life := n.Node
	way := s.oneWay(a, n)
	s.at(s.now+way, func() {
		switch {
		case n.Node != life || !n.up || n.Silent() || s.day.CutOff(a.zone, n.Zone, s.now):
			s.at(began+emulator.ProbeTimeout, func() { told(logic.TimedOut, logic.NoLoadReport) })
			return
		case !n.Probe(s.now):
			s.at(s.now+way, func() { told(logic.Rejected, logic.NoLoadReport) })
			return
		}
		report := logic.NoLoadReport
		if l, ok := n.Load(); ok {
			report.RequestRate, report.Utilization = l.Rate, l.Util
		}
		s.at(s.now+way, func() { told(logic.OK, report) })
	})
}

// send sends an attempt on its way, over a connection that is free or a new one.
func (s *sim) send(t *simTry, n *simNode, after time.Duration) {
	a := t.agent
	at := &simAttempt{try: t, number: t.sends, node: n, life: n.Node, id: n.ID, sent: s.now}
	t.sends++
	t.out++
	a.busy[n.number]++
	until := t.deadline
	if after > 0 {
		until = min(until, s.now+after)
	}
	s.at(until, func() { s.giveUp(at) })
	way := s.oneWay(a, n)
	fresh := a.busy[n.number] > a.conns[n.number]
	switch {
	case !n.up:
		s.at(s.now+2*way, func() { s.outcome(at, logic.ConnectFailed) })
		return
	case fresh && (n.Silent() || s.day.CutOff(a.zone, n.Zone, s.now)):
		s.at(s.now+emulator.ConnectTimeout, func() { s.outcome(at, logic.ConnectFailed) })
		return
	}
	arrive := s.now + way
	if fresh {
		arrive += 2 * way
		s.at(s.now+way, func() {
			if n.Node == at.life && n.up && n.Connect(s.now) == node.Admitted {
				a.conns[n.number]++
			}
		})
	}
	s.at(arrive, func() { s.arrive(at) })
}

func (s *sim) arrive(at *simAttempt) {
	t, n := at.try, at.node
	if at.over || t.agent.gone || s.day.CutOff(t.agent.zone, n.Zone, s.now) {
		return
	}
	if !n.up || n.Node != at.life {
		s.back(at, logic.Reset, 0)
		return
	}
	s.referee.Came(t.id, n.ID, s.now)
	s.judgeSend(at)
	s.tickets++
	at.ticket = ticket{n.number, s.tickets}
	s.waiting[at.ticket] = at
	verdict, ran := n.Offer(s.now, node.Work{Ticket: s.tickets, Key: t.journey.Key, Cost: t.journey.Work, Until: t.deadline,
		Unnotified: !t.agent.toldOf(n)})
	if ran {
		s.referee.Began(t.id, n.ID, s.now)
	}
	s.rouse(n)
	result := map[node.Verdict]logic.Result{node.Rejected: logic.Rejected, node.FailedFast: logic.Failed, node.Broken: logic.Reset}
	if r, ok := result[verdict]; ok {
		delete(s.waiting, at.ticket)
		s.back(at, r, 0)
	}
}

// back sends an attempt's end on its way to the agent.
func (s *sim) back(at *simAttempt, r logic.Result, late time.Duration) {
	delete(s.waiting, at.ticket)
	if s.day.CutOff(at.try.agent.zone, at.node.Zone, s.now) {
		return // nothing comes of it: the agent gives up by itself
	}
	s.at(s.now+late+s.oneWay(at.try.agent, at.node), func() { s.outcome(at, r) })
}

// giveUp stops waiting for an attempt.
func (s *sim) giveUp(at *simAttempt) {
	if at.over {
		return
	}
	if s.waiting[at.ticket] == at {
		delete(s.waiting, at.ticket)
		if at.node.Node == at.life {
			at.node.Cancel(s.now, at.ticket.number)
			s.rouse(at.node)
		}
	}
	// A connection that is given up is closed.
	if c := at.try.agent.conns; c[at.node.number] > 0 {
		c[at.node.number]--
		if at.node.Node == at.life && at.node.up {
			at.node.Disconnect(s.now)
		}
	}
	s.outcome(at, logic.TimedOut)
}

func (s *sim) outcome(at *simAttempt, r logic.Result) {
	if at.over {
		return
	}
	at.over = true
	t := at.try
	t.out--
	if at.node != nil {
		t.agent.busy[at.node.number]--
	}
	if t.agent.gone {
		s.forget(t)
		return
	}
	if t.agent.balancer == nil {
		ends := map[logic.Result]referee.End{logic.OK: referee.Served, logic.Rejected: referee.Refused, logic.ConnectFailed: referee.Unsent}
		end, ok := ends[r]
		if !ok {
			end = referee.Failed
		}
		s.answer(t, end, at.ticket.number, 0)
		s.forget(t)
		return
	}
	if r == logic.OK {
		s.answer(t, referee.Served, at.ticket.number, 0)
	}
	if b := t.agent.budget; b != nil && r != logic.NotSent {
		b.AttemptEnded(s.clock(), budget.Outcome{Overloaded: r == logic.Rejected || r == logic.TimedOut, SentAt: at.sent + moduleStart})
	}
	s.tell(t.agent, logic.Outcome{Request: t.id, Attempt: at.number, Endpoint: at.id, Result: r, Latency: s.now - at.sent, Closed: t.ended, LoadReport: logic.NoLoadReport})
	s.forget(t)
}
