package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"ryeweir/internal/config/operator"
	"ryeweir/internal/emulator"
	"ryeweir/internal/emulator/callers"
	"ryeweir/internal/emulator/node"
	"ryeweir/internal/emulator/referee"
	"ryeweir/logic"
)

// Simulate runs a scenario in simulated time: the decision module (package logic), or a Chooser, sends requests to node models with network
// delays, without sockets. Equal scenarios and variants give equal outcomes. A scenario with faults that need real processes (faults of paths
// between chosen hosts, byzantine peers, paused and throttled agents, agents that restore their state) gives an error.
func Simulate(scenario *emulator.Scenario, variant Variant) (Outcome, error) {
	if err := checkSimulable(scenario); err != nil {
		return Outcome{}, err
	}
	s, err := newSimulation(scenario, variant)
	if err != nil {
		return Outcome{}, err
	}
	s.scheduleEvents()
	s.run()
	if s.err != nil {
		return Outcome{}, s.err
	}
	return s.result(variant.Name), nil
}

// checkSimulable returns an error if a scenario has faults that need real processes.
func checkSimulable(scenario *emulator.Scenario) error {
	var keys []string
	if len(scenario.Spec.Fleet.Paths) > 0 {
		keys = append(keys, "fleet.path (faults of paths between chosen hosts)")
	}
	if len(scenario.Spec.Fleet.ByzantinePeers) > 0 {
		keys = append(keys, "fleet.liar (byzantine peers)")
	}
	if len(keys) > 0 {
		return fmt.Errorf("scenario %q cannot be simulated: faults of %s need real processes, not simulated time", scenario.Spec.Name, strings.Join(keys, " and "))
	}
	for _, fault := range scenario.AgentFaults {
		if fault.Survives() || fault.WithState {
			return fmt.Errorf("scenario %q cannot be simulated: agents that are paused, are throttled or restore their state need real processes, not simulated time", scenario.Spec.Name)
		}
	}
	return nil
}

// newSimulation creates the scenario's nodes and agents.
func newSimulation(scenario *emulator.Scenario, variant Variant) (*simulation, error) {
	sim := &simulation{
		scenario: scenario,
		referee:  referee.New(referee.DefaultRules()),
		rng:      rand.New(rand.NewPCG(scenario.Seed, 0x73696d)),
		waiting:  map[ticket]*simAttempt{},
		open:     map[string]*clientRequest{},
		byID:     map[string]*simNode{},
	}
	for i, spec := range scenario.Nodes {
		n := &simNode{Node: node.New(spec, scenario.Seed*1000+uint64(i)), number: i, up: true, nextAdvance: -1}
		sim.nodes, sim.byID[n.ID] = append(sim.nodes, n), n
		sim.list.entries = append(sim.list.entries, sim.entry(i, logic.Ready))
	}
	var err error
	if sim.operators, err = operator.Load(variant.Operator); err != nil {
		return nil, err
	}
	for i := range scenario.Agents {
		agent := sim.newProcess(i)
		if err := sim.initDecisions(agent, variant); err != nil {
			return nil, err
		}
		sim.agents = append(sim.agents, agent)
	}
	sim.delayed.on, sim.delayed.sent = variant.Chooser == DelayedOracle, make([]float64, len(sim.nodes))
	sim.viewTruths = make([]TrueState, 0, len(sim.nodes)) // with its full capacity: the pointers in views must stay valid
	return sim, nil
}

// initDecisions gives an agent the decision module or the variant's Chooser. An oracle also uses the requests that all agents sent, so that
// all agents share one.
func (s *simulation) initDecisions(agent *simAgent, variant Variant) error {
	if len(variant.Command) > 0 {
		return s.newBalancer(agent)
	}
	if seesAll := variant.Chooser == Oracle || variant.Chooser == DelayedOracle; seesAll && len(s.agents) > 0 {
		agent.chooser = s.agents[0].chooser
		return nil
	}
	agent.chooser = NewChooser(variant.Chooser, s.scenario.Seed+uint64(agent.number))
	if agent.chooser == nil {
		return fmt.Errorf("arm %s: unknown kind %q", variant.Name, variant.Chooser)
	}
	return nil
}

// result returns the outcome of a simulation that has ended.
func (s *simulation) result(variant string) Outcome {
	record := runRecord{
		scenario:   s.scenario,
		calls:      s.calls,
		account:    s.referee.Account(),
		violations: s.referee.Violations(),
		lists:      s.list.calls,
		load:       s.load,
		goodput:    s.goodput,
		events:     s.faultEvents,
	}
	for _, n := range s.nodes {
		record.nodes = append(record.nodes, n.earlierIncarnations.Add(n.Figures()))
	}
	outcome := record.outcome(variant, true)
	outcome.GroundTruth, outcome.NodesUsed, outcome.NodesBusy = &s.groundTruth, s.nodesUsed, s.nodesBusy
	return outcome
}

// moduleStart is the time on the decision module's clock when the scenario begins. It is not 0 because there a time of 0 means never.
const moduleStart = time.Second

// deadlineMargin is how long before the client's deadline an agent ends a request, unless a quarter of the remaining time is less.
const deadlineMargin = 20 * time.Millisecond

// watchDelay is how long a change of the endpoint list takes to a watching agent, and how long a failed call or connection takes.
const watchDelay = 10 * time.Millisecond

// simulation is the state of a scenario that runs in simulated time.
type simulation struct {
	scenario     *emulator.Scenario
	referee      *referee.Referee
	rng          *rand.Rand
	now          time.Duration
	events       simEvents
	scheduled    int // events scheduled so far
	nodes        []*simNode
	agents       []*simAgent
	byID         map[string]*simNode // the current incarnations, by id
	list         discoveryModel
	delayed      delayedView
	views        []View // views, viewNodes and viewTruths are buffers that choose reuses
	viewNodes    []*simNode
	viewTruths   []TrueState
	incarnations int // nodes restarted or replaced so far
	lastTicket   uint64
	waiting      map[ticket]*simAttempt    // attempts that nodes hold
	open         map[string]*clientRequest // requests that have not ended or have an attempt in flight, by id
	calls        []referee.CallResult
	load         [][]float64
	goodput      []float64     // see Series
	useful       time.Duration // work for responses that were received, until the last sample
	nodesBusy    []float64     // see Outcome
	nodesUsed    []float64     // see Outcome
	faultEvents  []emulator.Event
	callsLeft    int // calls that have not ended
	groundTruth  GroundTruth
	operators    operator.File
	err          error // of newBalancer for the new process of a restarted agent; Simulate then returns it instead of an outcome
}

// scheduleEvents starts the agents, and schedules the scenario's faults, outages and calls and the first sample.
func (s *simulation) scheduleEvents() {
	for _, agent := range s.agents {
		if agent.balancer != nil {
			s.apply(agent, agent.balancer.Start(s.clock()))
			s.sendFullList(agent, s.list.entries)
			s.startGossip(agent)
		}
	}
	for _, fault := range s.scenario.AgentFaults {
		s.schedule(fault.At, func() { s.faultAgent(fault) })
	}
	for _, n := range s.nodes {
		s.advanceNode(n)
	}
	for _, fault := range s.scenario.Faults {
		s.scheduleFault(fault)
	}
	s.scheduleOutages()
	for _, cut := range s.scenario.Spec.Fleet.Partitions {
		s.schedule(cut.From.D(), func() {
			s.faultEvents = append(s.faultEvents, emulator.Event{At: cut.From.D(), To: cut.To.D(), Node: cut.Zone, Text: "cut off"})
		})
	}
	s.callsLeft = len(s.scenario.Plan)
	for _, planned := range s.scenario.Plan {
		s.schedule(planned.At, func() {
			call := callers.NewCall(planned, s.scenario.Classes[planned.Class], s.scenario.ClientProfileAt(planned.At))
			s.beginAttempt(call, nil)
		})
	}
	s.schedule(sampleInterval, s.sample)
	if s.delayed.on {
		s.recordState()
	}
}

// scheduleOutages schedules the outages of discovery.
func (s *simulation) scheduleOutages() {
	for _, outage := range s.scenario.Spec.Outages {
		s.schedule(outage.From.D(), func() {
			s.list.down = true
			s.faultEvents = append(s.faultEvents, emulator.Event{At: outage.From.D(), To: outage.To.D(), Node: "discovery", Text: "outage"})
			for _, agent := range s.agents {
				s.breakWatch(agent)
			}
		})
		s.schedule(outage.To.D(), func() { s.list.down = false })
	}
}

// sampleInterval is how often the series of an outcome are sampled.
const sampleInterval = time.Second

// minCapacity, in cores, is the minimum divisor for fractions of the capacity: it keeps them finite while no node is up.
const minCapacity = 1e-9

// sample appends one value to each series, and schedules the next sample.
func (s *simulation) sample() {
	inFlight := make([]float64, len(s.nodes))
	listed, nodesUsed := 0, 0
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
				nodesUsed++
			}
		}
		n.offeredBefore, n.workBefore = offered, work
	}
	s.nodesBusy = append(s.nodesBusy, done/max(minCapacity, capacity))
	s.goodput = append(s.goodput, (useful-s.useful).Seconds()/s.scenario.Capacity)
	s.useful = useful
	s.load = append(s.load, inFlight)
	s.nodesUsed = append(s.nodesUsed, float64(nodesUsed)/max(1, float64(listed)))
	if s.now < s.scenario.Length {
		s.schedule(s.now+sampleInterval, s.sample)
	}
}

// maxTail is how long after the end of the scenario a simulation continues at most.
const maxTail = time.Minute

// run handles the events in the order of their times until all calls and requests have ended, or until maxTail after the scenario.
func (s *simulation) run() {
	for len(s.events) > 0 && (s.callsLeft > 0 || len(s.open) > 0) && s.now < s.scenario.Length+maxTail {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
}

// clock returns the current time on the decision module's clock.
func (s *simulation) clock() time.Duration { return s.now + moduleStart }
