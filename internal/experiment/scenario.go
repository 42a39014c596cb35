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

// Variant is a way to route requests to nodes: through the agent's processes, or by a Chooser at the callers.
type Variant struct {
	Name     string
	Command  []string        // of an agent's process; empty if the callers choose nodes themselves
	Chooser  string          // kind of the Chooser; empty for an agent
	Operator string          // of an agent: the path of its operators' file; empty for the defaults
	Limits   emulator.Limits // of an agent's process
}

// RunScenario runs a scenario with a variant on loopback sockets. watch, unless nil, is called with a sample each second. When ctx ends, the
// scenario ends early and RunScenario returns the outcome so far, marked as interrupted. The error names agents whose processes misbehaved.
func RunScenario(ctx context.Context, scenario *emulator.Scenario, variant Variant, watch func(LiveSample)) (outcome Outcome, err error) {
	dir, err := os.MkdirTemp("", "ryeweir-")
	if err != nil {
		return outcome, err
	}
	defer func() {
		if err == nil { // after an error the agents' logs are kept
			os.RemoveAll(dir)
		}
	}()
	operators, err := operator.Load(variant.Operator)
	if err != nil {
		return outcome, err
	}
	sockets := &emulator.LoopbackNetwork{}
	peers, err := peerNetwork(scenario, operators, sockets)
	if err != nil {
		return outcome, err
	}
	world, err := emulator.Start(context.WithoutCancel(ctx), scenario, sockets, true)
	if err != nil {
		return outcome, err
	}
	defer world.Close()
	run := &scenarioRun{world: world, variant: variant, operators: operators, unavailable: make([]bool, len(scenario.Agents)), peers: peers}
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

// peerNetwork assigns the agents and the scenario's byzantine peers addresses in a mesh. It returns nil if gossip is disabled in the
// operators' file.
func peerNetwork(scenario *emulator.Scenario, operators operator.File, sockets *emulator.LoopbackNetwork) (*processrig.Peers, error) {
	if !operators.Peers.Enabled {
		return nil, nil
	}
	sockets.Mesh = link.NewMesh(scenario.Seed)
	hosts := slices.Clone(scenario.Agents)
	for i := range scenario.Spec.Fleet.ByzantinePeers {
		hosts = append(hosts, byzantineName(i))
	}
	peers, err := processrig.NewPeers(sockets.Mesh, hosts)
	if err != nil {
		return nil, errors.Join(err, sockets.Mesh.Close())
	}
	return peers, nil
}

// scenarioRun is the state of a scenario that runs on sockets.
type scenarioRun struct {
	world       *emulator.World
	variant     Variant
	operators   operator.File
	peers       *processrig.Peers
	agents      []*processrig.Process
	cpu         time.Duration
	load        [][]float64
	goodput     []float64
	peerSamples [][]peerSample // by agent
	choosers    []*clientSideChooser

	mu          sync.Mutex
	misbehaving callers.MisbehavingFigures
	faults      []error // errors of injecting faults into agents' processes
	unavailable []bool  // by agent: a fault of its process is in progress
	clients     []*callers.Client
	ended       []referee.CallResult // calls that ended since the last sample
}

// usesAgents reports whether callers send their requests to agents' processes. If not, the callers choose nodes themselves.
func (p *scenarioRun) usesAgents() bool { return len(p.variant.Command) > 0 }

// start starts the agents' processes or creates the choosers, and starts the byzantine peers.
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

// startBackground starts the goroutines that run until ctx ends: byzantine peers, samples, faults of agents' processes and misbehaving
// clients. all counts these goroutines.
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

// result returns the outcome of a run that has ended.
func (p *scenarioRun) result(calls []referee.CallResult, figures callers.Figures, processorWait time.Duration) Outcome {
	scenario := p.world.Scenario
	record := runRecord{
		scenario:   scenario,
		calls:      calls,
		figures:    figures,
		account:    p.world.Referee.Account(),
		violations: p.world.Referee.Violations(),
		nodes:      nodeFigures(p.world.NodeStates()),
		lists:      p.world.DiscoveryFigures().FullLists + p.world.DiscoveryFigures().Watches,
		load:       p.load,
		goodput:    p.goodput,
		events:     p.world.Events(),
	}
	outcome := record.outcome(p.variant.Name, false)
	outcome.ProcessorWait = float64(processorWait.Microseconds()) / 1e3
	if p.peers != nil {
		outcome.Peers = summarizePeers(scenario, p.peerSamples)
	}
	outcome.Admission = summarizeAdmission(scenario, p.peerSamples)
	outcome.Misbehaving = p.misbehaving
	if requests := record.account.Requests; requests > 0 {
		outcome.CPU = float64(p.cpu.Microseconds()) / float64(requests)
	}
	return outcome
}
