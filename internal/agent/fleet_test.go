package agent_test

import (
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ryeweir/internal/config/operator"
	"ryeweir/internal/emulator"
	"ryeweir/internal/emulator/link"
)

// drawFleetScenario draws a scenario with a small fleet: 24 agents and 12 endpoints.
func drawFleetScenario(t *testing.T, kind string, seed uint64) *emulator.Scenario {
	t.Helper()
	f := emulator.FleetScenario{Kind: kind, Agents: 24, Nodes: 12}
	if err := f.Check(""); err != nil {
		t.Fatal(err)
	}
	spec := f.Spec(seed)
	spec.Load *= fleetLoad()
	drawn, err := spec.Draw(seed)
	if err != nil {
		t.Fatal(err)
	}
	return drawn
}

// longRun reports whether the long variants of the tests are requested.
func longRun() bool { return os.Getenv("RYEWEIR_LONG") != "" }

// fleetLoad returns the fraction of a scenario's load that is run. The short variant fits into the time limit of CI.
func fleetLoad() float64 {
	if longRun() {
		return 1
	}
	return 0.35
}

// Agents of a fleet are restarted and killed while endpoints fail, in six kinds of scenarios. The rules must hold and each request must
// have exactly one end. Afterwards no goroutine and no connection may be left. RYEWEIR_LONG=1 runs each kind at full load with five
// seeds.
func TestRulesHoldInFleetScenarios(t *testing.T) {
	seeds := []uint64{1}
	if longRun() {
		seeds = []uint64{1, 2, 3, 4, 5}
	}
	for kind, minService := range map[string]float64{emulator.CalmScenario: 0.9, emulator.RolloutScenario: 0.75, emulator.ThunderingHerdScenario: 0.7, emulator.ZoneOutageScenario: 0.75,
		emulator.PartitionScenario: 0.7, emulator.ChurnScenario: 0.75} {
		for _, seed := range seeds {
			t.Run(kind, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { runFleetScenario(t, drawFleetScenario(t, kind, seed), minService) })
			})
		}
	}
}

// runFleetScenario runs a scenario of a fleet. It checks the rules, the minimum service and that no connection is left.
func runFleetScenario(t *testing.T, drawn *emulator.Scenario, minService float64) {
	t.Helper()
	network := link.NewNetwork(drawn.Seed)
	w, err := emulator.Start(t.Context(), drawn, emulator.MemoryNetwork{Network: network}, true)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	f := &fleet{simulation: &simulation{World: w, t: t, network: network, operators: operator.Default()}, restarting: make([]bool, len(drawn.Agents))}
	limits := emulator.Limits{Cores: 1, MemoryMB: 64, Sockets: 544}
	for i := range drawn.Agents {
		f.start(i, limits)
	}
	for i := range drawn.Agents {
		f.awaitReady(i)
	}
	w.InjectFaults()
	from := w.Now()
	var faults sync.WaitGroup
	for _, fault := range drawn.AgentFaults {
		faults.Go(func() {
			time.Sleep(from + fault.At - w.Now())
			f.injectFault(fault, limits)
		})
	}
	f.calls, _ = w.RunCallers(t.Context(), f.route, false, nil)
	faults.Wait()
	f.shutDown()
	f.checkRules(scenario{minService: minService})
	time.Sleep(2 * emulator.ConnectionIdleTimeout)
	synctest.Wait()
	for _, a := range drawn.Agents {
		if n := network.Open(a); n > 0 {
			t.Errorf("agent %s has ended but %d of its connections are open", a, n)
		}
	}
}

// fleet is a simulation whose agents are restarted or killed.
type fleet struct {
	*simulation
	mu         sync.Mutex
	restarting []bool // by agent; guarded by mu
}

// injectFault shuts down or kills an agent and starts a new process in its place. It does nothing if that is already in progress.
func (f *fleet) injectFault(a emulator.AgentFault, limits emulator.Limits) {
	f.t.Helper()
	f.mu.Lock()
	if f.restarting[a.Agent] {
		f.mu.Unlock()
		return
	}
	f.restarting[a.Agent] = true
	f.mu.Unlock()
	name := f.Scenario.Agents[a.Agent]
	if a.Kind == emulator.AgentKill {
		from := f.Now()
		// The referee is told before Kill, because callers see the closed connections at once.
		f.Referee.AgentKilled(name, from, from+a.Duration+time.Second)
		f.network.Kill(name)
	}
	f.stop[a.Agent]()
	if err := <-f.finished[a.Agent]; err != nil && a.Kind != emulator.AgentKill { // the listener of a killed agent fails
		f.t.Errorf("%s: %v", name, err)
	}
	time.Sleep(a.Duration)
	f.start(a.Agent, limits)
	f.awaitReady(a.Agent)
	f.mu.Lock()
	f.restarting[a.Agent] = false
	f.mu.Unlock()
}
