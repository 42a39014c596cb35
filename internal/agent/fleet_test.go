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

// drawFleetDay returns a small fleet: 24 agents before 12 endpoints.
func drawFleetDay(t *testing.T, kind string, seed uint64) *emulator.Scenario {
	t.Helper()
	f := emulator.FleetScenario{Kind: kind, Agents: 24, Nodes: 12}
	if err := f.Check(""); err != nil {
		t.Fatal(err)
	}
	spec := f.Spec(seed)
	spec.Load *= fleetLoad()
	day, err := spec.Draw(seed)
	if err != nil {
		t.Fatal(err)
	}
	return day
}

// longRun reports whether the long forms of tests are wanted.
func longRun() bool { return os.Getenv("RYEWEIR_LONG") != "" }

// fleetLoad is the fraction of a day's load that is run: the short form fits into the time of CI.
func fleetLoad() float64 {
	if longRun() {
		return 1
	}
	return 0.35
}

// Agents of a fleet are restarted and killed while endpoints fail, as six kinds of days say. The rules hold, each request has one
// end, and when all is over no goroutine and no connection is left. RYEWEIR_LONG=1 runs them at full load on five seeds each.
func TestRulesHoldOnFleetDays(t *testing.T) {
	seeds := []uint64{1}
	if longRun() {
		seeds = []uint64{1, 2, 3, 4, 5}
	}
	for kind, least := range map[string]float64{emulator.CalmScenario: 0.9, emulator.RolloutScenario: 0.75, emulator.ThunderingHerdScenario: 0.7, emulator.ZoneOutageScenario: 0.75,
		emulator.PartitionScenario: 0.7, emulator.ChurnScenario: 0.75} {
		for _, seed := range seeds {
			t.Run(kind, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { runFleetDay(t, drawFleetDay(t, kind, seed), least) })
			})
		}
	}
}

// runFleetDay runs a day of a fleet and checks the rules and the least service.
func runFleetDay(t *testing.T, day *emulator.Scenario, minService float64) {
	t.Helper()
	network := link.NewNetwork(day.Seed)
	w, err := emulator.Start(t.Context(), day, emulator.MemoryNetwork{Network: network}, true)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	f := &fleet{simulation: &simulation{World: w, t: t, network: network, operators: operator.Default()}, restarting: make([]bool, len(day.Agents))}
	limits := emulator.Limits{Cores: 1, MemoryMB: 64, Sockets: 544}
	for i := range day.Agents {
		f.start(i, limits)
	}
	for i := range day.Agents {
		f.awaitReady(i)
	}
	w.InjectFaults()
	from := w.Now()
	var faults sync.WaitGroup
	for _, fault := range day.AgentFaults {
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
	for _, a := range day.Agents {
		if n := network.Open(a); n > 0 {
			t.Errorf("%s has ended and has %d connections open", a, n)
		}
	}
}

// fleet is a simulation whose agents are restarted and killed.
type fleet struct {
	*simulation
	mu         sync.Mutex
	restarting []bool
}

// injectFault ends an agent, planned or not, and starts the next one in its place.
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
		f.Referee.AgentKilled(name, from, from+a.Duration+time.Second) // first: callers see the closes as soon as the network makes them
		f.network.Kill(name)
	}
	f.stop[a.Agent]()
	if err := <-f.finished[a.Agent]; err != nil && a.Kind != emulator.AgentKill { // one that is killed has its sockets closed under it
		f.t.Errorf("%s: %v", name, err)
	}
	time.Sleep(a.Duration)
	f.start(a.Agent, limits)
	f.awaitReady(a.Agent)
	f.mu.Lock()
	f.restarting[a.Agent] = false
	f.mu.Unlock()
}
