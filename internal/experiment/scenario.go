package experiment

import (
	"context"
	"errors"
	"os"
	"slices"
	"sync"
	"time"

	"ryeweir/internal/config/operator"
	"ryeweir/internal/emulator"
	"ryeweir/internal/emulator/callers"
	"ryeweir/internal/emulator/link"
	"ryeweir/internal/emulator/referee"
	"ryeweir/internal/processrig"
)

// Variant is a way to route requests to nodes: the agent's processes, or a client-side chooser.
type Variant struct {
	Name     string
	Command  []string // of an agent's process; empty for callers that choose by themselves
	Chooser  string   // kind of the reference variant; empty for an agent
	Operator string   // of an agent: its operators' file; empty for the defaults
	Limits   emulator.Limits
}

// RunScenario runs a day with a variant on loopback sockets. watch, where it is not nil, gets a sample each second. When the context ends the
// day ends early, and the outcome so far is returned, marked as interrupted. The error names agents whose processes misbehaved.
func RunScenario(ctx context.Context, day *emulator.Scenario, variant Variant, watch func(LiveSample)) (outcome Outcome, err error) {
	dir, err := os.MkdirTemp("", "ryeweir-")
	if err != nil {
		return outcome, err
	}
	defer func() {
		if err == nil { // else the logs are needed
			os.RemoveAll(dir)
		}
	}()
	operators, err := operator.Load(variant.Operator)
	if err != nil {
		return outcome, err
	}
	sockets := &emulator.LoopbackNetwork{}
	peers, err := peerNetwork(day, operators, sockets)
	if err != nil {
		return outcome, err
	}
	world, err := emulator.Start(context.WithoutCancel(ctx), day, sockets, true)
	if err != nil {
		return outcome, err
	}
	defer world.Close()
	run := &scenarioRun{world: world, variant: variant, operators: operators, away: make([]bool, len(day.Agents)), peers: peers}
	byzantine, err := run.start(ctx, dir)
	if err != nil {
		return outcome, errors.Join(err, run.stopAgents())
	}
	waits := processrig.ReadSchedulerWaits()
	world.InjectFaults()
	background, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	run.startBackground(background, &all, byzantine, watch)
	calls, figures := world.RunCallers(ctx, run.route, !run.usesAgents(), run.callEnded)
	processorWait := processrig.ReadSchedulerWaits().MeanSince(waits)
	stop()
	all.Wait()
	for _, client := range run.clients {
		client.Close()
	}
	stopped := run.stopAgents()
	outcome = run.result(calls, figures, processorWait)
	outcome.Interrupted = ctx.Err() != nil
	return outcome, errors.Join(stopped, world.Err(), errors.Join(run.faults...))
}

// peerNetwork gives the agents, and the day's byzantine peers, addresses in a mesh where the operators' file has agents gossip; nil where
// it does not.
func peerNetwork(day *emulator.Scenario, operators operator.File, sockets *emulator.LoopbackNetwork) (*processrig.Peers, error) {
	if !operators.Peers.Enabled {
		return nil, nil
	}
	sockets.Mesh = link.NewMesh(day.Seed)
	hosts := slices.Clone(day.Agents)
	for i := range day.Spec.Fleet.ByzantinePeers {
		hosts = append(hosts, byzantineName(i))
	}
	peers, err := processrig.NewPeers(sockets.Mesh, hosts)
	if err != nil {
		return nil, errors.Join(err, sockets.Mesh.Close())
	}
	return peers, nil
}

// scenarioRun is a day on sockets while it runs.
type scenarioRun struct {
	world     *emulator.World
	variant   Variant
	operators operator.File
	peers     *processrig.Peers
	agents    []*processrig.Process
	cpu       time.Duration
	load      [][]float64
	goodput   []float64
	peerViews [][]peerView // of each agent's peers
	choosers  []*clientSideChoosers

	mu          sync.Mutex
	misbehaving callers.MisbehavingFigures
	faults      []error // what could not be done to agents' processes
	away        []bool  // by agent: killed, ended or paused, and not yet back
	clients     []*callers.Client
	ended       []referee.CallResult // that ended since the last sample
}

// usesAgents reports whether agents' processes stand between callers and nodes; else the callers choose nodes by themselves.
func (p *scenarioRun) usesAgents() bool { return len(p.variant.Command) > 0 }

// start starts the agents or the choosers, and the byzantine peers.
func (p *scenarioRun) start(ctx context.Context, dir string) ([]*byzantinePeer, error) {
	if !p.usesAgents() {
		if err := p.startChoosers(); err != nil {
			return nil, err
		}
	} else if err := p.startAgents(ctx, dir); err != nil {
		return nil, err
	}
	return p.startByzantinePeers(p.operators.Peers)
}

// startBackground starts what goes on beside the calls until the context ends: byzantine peers, samples, faults of agents' processes and
// misbehaving clients.
func (p *scenarioRun) startBackground(ctx context.Context, all *sync.WaitGroup, byzantine []*byzantinePeer, watch func(LiveSample)) {
	for _, peer := range byzantine {
		all.Go(func() { peer.run(ctx) })
	}
	all.Go(func() { p.watch(ctx, watch) })
	if p.peers != nil || p.operators.Overload.Enabled {
		all.Go(func() { p.samplePeers(ctx) })
	}
	if p.usesAgents() {
		for _, fault := range p.world.Scenario.AgentFaults {
			all.Go(func() { p.faultAgent(ctx, fault) })
		}
	}
	if rate := p.world.Scenario.Spec.Clients.MisbehavingRate; rate > 0 {
		for _, agent := range p.agents {
			all.Go(func() { p.addMisbehaving(callers.RunMisbehaving(ctx, p.world.Network.Dialer(""), agent.Addr, rate)) })
		}
	}
}

// result sums up a run that has ended.
func (p *scenarioRun) result(calls []referee.CallResult, figures callers.Figures, processorWait time.Duration) Outcome {
	day := p.world.Scenario
	t := runRecord{
		day:        day,
		calls:      calls,
		figures:    figures,
		account:    p.world.Referee.Account(),
		violations: p.world.Referee.Violations(),
		nodes:      nodeFigures(p.world.NodeStates()),
		lists:      p.world.DiscoveryFigures().FullLists + p.world.DiscoveryFigures().Watches,
		load:       p.load,
		goodput:    p.goodput,
		marks:      p.world.Events(),
	}
	outcome := t.outcome(p.variant.Name, false)
	outcome.ProcessorWait = float64(processorWait.Microseconds()) / 1e3
	if p.peers != nil {
		outcome.Peers = summarizeViews(day, p.peerViews)
	}
	outcome.Admission = summarizeLevels(day, p.peerViews)
	outcome.Misbehaving = p.misbehaving
	if requests := t.account.Requests; requests > 0 {
		outcome.CPU = float64(p.cpu.Microseconds()) / float64(requests)
	}
	return outcome
}
