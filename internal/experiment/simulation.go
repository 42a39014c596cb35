package experiment

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"ryeweir/internal/config/operator"
	"ryeweir/internal/emulator"
	"ryeweir/internal/emulator/callers"
	"ryeweir/internal/emulator/node"
	"ryeweir/internal/emulator/referee"
	"ryeweir/logic"
)

// Simulate runs a day in simulated time: the decision module, or a chooser, on the node models, with delays but without sockets.
// Equal days and variants give equal outcomes. What only real processes can do (shaped paths, pauses, kept state) is an error.
func Simulate(day *emulator.Scenario, variant Variant) (Outcome, error) {
	if err := checkSimulable(day); err != nil {
		return Outcome{}, err
	}
	s, err := newSimulation(day, variant)
	if err != nil {
		return Outcome{}, err
	}
	s.scheduleDay()
	s.run()
	if s.err != nil {
		return Outcome{}, s.err
	}
	return s.result(variant.Name), nil
}

// checkSimulable says what of a day only real processes can run.
func checkSimulable(day *emulator.Scenario) error {
	if len(day.Spec.Fleet.Paths)+len(day.Spec.Fleet.ByzantinePeers) > 0 {
		return errors.New("ways between chosen hosts and liars are played by real processes only")
	}
	for _, fault := range day.AgentFaults {
		if fault.Survives() || fault.WithState {
			return errors.New("paused and slow agents and those that keep what they learnt are played by real processes only")
		}
	}
	return nil
}

// newSimulation places the day's nodes and agents.
func newSimulation(day *emulator.Scenario, variant Variant) (*simulation, error) {
	sim := &simulation{
		day:     day,
		referee: referee.New(referee.DefaultRules()),
		rng:     rand.New(rand.NewPCG(day.Seed, 0x73696d)),
		waiting: map[ticket]*simAttempt{},
		open:    map[string]*clientRequest{},
		byID:    map[string]*simNode{},
	}
	for i, spec := range day.Nodes {
		n := &simNode{Node: node.New(spec, day.Seed*1000+uint64(i)), number: i, up: true, nextAdvance: -1}
		sim.nodes, sim.byID[n.ID] = append(sim.nodes, n), n
		sim.list.entries = append(sim.list.entries, sim.entry(i, logic.Ready))
	}
	var err error
	if sim.operators, err = operator.Load(variant.Operator); err != nil {
		return nil, err
	}
	for i := range day.Agents {
		agent := sim.newProcess(i)
		if err := sim.equip(agent, variant); err != nil {
			return nil, err
		}
		sim.agents = append(sim.agents, agent)
	}
	sim.delayed.on, sim.delayed.sent = variant.Chooser == DelayedOracle, make([]float64, len(sim.nodes))
	sim.viewTruths = make([]Truth, 0, len(sim.nodes)) // views point into it
	return sim, nil
}

// equip gives an agent the decision module, or the variant's chooser. Choosers that see the true state see all agents' sends, so that
// one serves for all.
func (s *simulation) equip(agent *simAgent, variant Variant) error {
	if len(variant.Command) > 0 {
		return s.newBalancer(agent)
	}
	if seesAll := variant.Chooser == Oracle || variant.Chooser == DelayedOracle; seesAll && len(s.agents) > 0 {
		agent.chooser = s.agents[0].chooser
		return nil
	}
	agent.chooser = NewChooser(variant.Chooser, s.day.Seed+uint64(agent.number))
	if agent.chooser == nil {
		return fmt.Errorf("arm %s: %q is no way to choose", variant.Name, variant.Chooser)
	}
	return nil
}

// result sums up a simulation that has ended.
func (s *simulation) result(variant string) Outcome {
	t := runRecord{
		day:        s.day,
		calls:      s.calls,
		account:    s.referee.Account(),
		violations: s.referee.Violations(),
		lists:      s.list.calls,
		load:       s.load,
		goodput:    s.goodput,
		marks:      s.marks,
	}
	for _, n := range s.nodes {
		t.nodes = append(t.nodes, n.earlierIncarnations.Add(n.Figures()))
	}
	outcome := t.outcome(variant, true)
	outcome.GroundTruth, outcome.NodesUsed, outcome.NodesBusy = &s.truths, s.used, s.busy
	return outcome
}

// moduleStart is where the module's clock stands when the day begins: 0 means never there.
const moduleStart = time.Second

// deadlineMargin is how long before its client's deadline an agent ends a request.
const deadlineMargin = 20 * time.Millisecond

// watchDelay is how long a change takes from the list to an agent that watches, and how soon a failed call is known.
const watchDelay = 10 * time.Millisecond

type simulation struct {
	day          *emulator.Scenario
	referee      *referee.Referee
	rng          *rand.Rand
	now          time.Duration
	events       simEvents
	scheduled    int
	nodes        []*simNode
	agents       []*simAgent
	byID         map[string]*simNode // that live
	list         discoveryModel
	delayed      delayedView
	views        []View // of the choice at hand, with what follows
	viewNodes    []*simNode
	viewTruths   []Truth
	incarnations int
	lastTicket   uint64
	waiting      map[ticket]*simAttempt
	open         map[string]*clientRequest
	calls        []referee.CallResult
	load         [][]float64
	goodput      []float64 // as Series has it
	useful       time.Duration
	busy         []float64 // work done of what the nodes that are up could do at present, a second each
	used         []float64 // share of the listed nodes that something came to, a second each
	marks        []emulator.Event
	callsLeft    int // calls that have not ended
	truths       GroundTruth
	operators    operator.File
	err          error
}

// scheduleDay schedules the day's events: agents, faults, outages, calls, and a sample of all nodes each second.
func (s *simulation) scheduleDay() {
	for _, agent := range s.agents {
		if agent.balancer != nil {
			s.apply(agent, agent.balancer.Start(s.clock()))
			s.sendFullList(agent, s.list.entries)
			s.startGossip(agent)
		}
	}
	for _, fault := range s.day.AgentFaults {
		s.schedule(fault.At, func() { s.faultAgent(fault) })
	}
	for _, n := range s.nodes {
		s.advanceNode(n)
	}
	for _, fault := range s.day.Faults {
		s.scheduleFault(fault)
	}
	s.scheduleOutages()
	for _, cut := range s.day.Spec.Fleet.Partitions {
		s.schedule(cut.From.D(), func() {
			s.marks = append(s.marks, emulator.Event{At: cut.From.D(), To: cut.To.D(), Node: cut.Zone, Text: "cut off"})
		})
	}
	s.callsLeft = len(s.day.Plan)
	for _, planned := range s.day.Plan {
		s.schedule(planned.At, func() {
			journey := callers.NewCall(planned, s.day.Classes[planned.Class], s.day.ClientProfileAt(planned.At))
			s.beginAttempt(journey, nil)
		})
	}
	s.schedule(sampleInterval, s.sample)
	if s.delayed.on {
		s.recordState()
	}
}

// scheduleOutages schedules the times in which discovery is down.
func (s *simulation) scheduleOutages() {
	for _, outage := range s.day.Spec.Outages {
		s.schedule(outage.From.D(), func() {
			s.list.down = true
			s.marks = append(s.marks, emulator.Event{At: outage.From.D(), To: outage.To.D(), Node: "discovery", Text: "outage"})
			for _, agent := range s.agents {
				s.breakWatch(agent)
			}
		})
		s.schedule(outage.To.D(), func() { s.list.down = false })
	}
}

// sampleInterval is how often the series of an outcome are sampled.
const sampleInterval = time.Second

// minCapacity keeps a share of the capacity finite while no node is up, in cores.
const minCapacity = 1e-9

// sample appends one point to each series, and schedules the next.
func (s *simulation) sample() {
	inFlight := make([]float64, len(s.nodes))
	listed, used := 0, 0
	done, capacity := 0.0, 0.0
	useful := time.Duration(0)
	for i, n := range s.nodes {
		inFlight[i] = float64(n.InFlight())
		offered, work := n.Figures().Offered, n.Figures().Work
		useful += work + n.earlierIncarnations.Work - n.Figures().Wasted - n.earlierIncarnations.Wasted
		if n.up {
			listed++
			done, capacity = done+(work-n.workBefore).Seconds(), capacity+n.Capacity()
			if offered > n.offeredBefore {
				used++
			}
		}
		n.offeredBefore, n.workBefore = offered, work
	}
	s.busy = append(s.busy, done/max(minCapacity, capacity))
	s.goodput = append(s.goodput, (useful-s.useful).Seconds()/s.day.Capacity)
	s.useful = useful
	s.load = append(s.load, inFlight)
	s.used = append(s.used, float64(used)/max(1, float64(listed)))
	if s.now < s.day.Length {
		s.schedule(s.now+sampleInterval, s.sample)
	}
}

// maxTail is how long after the last call a simulation goes on at most.
const maxTail = time.Minute

// run handles events in order of time until all calls have ended, or maxTail after the day.
func (s *simulation) run() {
	for len(s.events) > 0 && (s.callsLeft > 0 || len(s.open) > 0) && s.now < s.day.Length+maxTail {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
}

// clock is the time on the decision module's clock.
func (s *simulation) clock() time.Duration { return s.now + moduleStart }
