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

// fleetDay is a whole fleet's day, small: 24 whole agents before 12 nodes.
func fleetDay(t *testing.T, kind string, seed uint64) *emulator.Day {
	f := emulator.FleetDay{Kind: kind, Agents: 24, Nodes: 12}
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

// longForm reports whether the long forms are asked for.
func longForm() bool { return os.Getenv("RYEWEIR_LONG") != "" }

// fleetLoad is the part of a day's load that is played: the short form is to end within CI's time.
func fleetLoad() float64 {
	if longForm() {
		return 1
	}
	return 0.35
}

// The whole fleet's days with whole agents: fronts, pools and discovery, restarted and killed as the day says. The rules hold, each
// request has one end, and when all is over no goroutine and no connection is left. RYEWEIR_LONG=1 plays them at full load on
// five seeds each.
func TestFleetOfAgents(t *testing.T) {
	seeds := []uint64{1}
	if longForm() {
		seeds = []uint64{1, 2, 3, 4, 5}
	}
	for kind, least := range map[string]float64{emulator.CalmDay: 0.9, emulator.RollDay: 0.75, emulator.HerdDay: 0.7, emulator.ZoneDay: 0.75,
		emulator.SplitDay: 0.7, emulator.JoinDay: 0.75} {
		for _, seed := range seeds {
			t.Run(kind, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { playFleet(t, fleetDay(t, kind, seed), least) })
			})
		}
	}
}

func playFleet(t *testing.T, day *emulator.Day, least float64) {
	network := link.NewNetwork(day.Seed)
	w, err := emulator.Start(t.Context(), day, emulator.Memory{Network: network}, true)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	f := &fleet{stage: &stage{World: w, t: t, network: network, ops: operator.Default()}, away: make([]bool, len(day.Agents))}
	limits := emulator.Limits{Cores: 1, MemoryMB: 64, Sockets: 544}
	for i := range day.Agents {
		f.start(i, limits)
	}
	for i := range day.Agents {
		f.ready(i)
	}
	w.Play()
	from := w.Now()
	var lives sync.WaitGroup
	for _, trouble := range day.AgentFaults {
		lives.Go(func() {
			time.Sleep(from + trouble.At - w.Now())
			f.befall(trouble, limits)
		})
	}
	f.calls, _ = w.Call(t.Context(), f.route, false, nil)
	lives.Wait()
	f.end()
	f.judge(scene{service: least})
	time.Sleep(2 * emulator.IdleLimit)
	synctest.Wait()
	for _, a := range day.Agents {
		if n := network.Open(a); n > 0 {
			t.Errorf("%s is gone and has %d connections open", a, n)
		}
	}
}

// fleet is a stage whose agents come and go.
type fleet struct {
	*stage
	mu   sync.Mutex
	away []bool
}

// befall ends an agent, planned or not, and starts the next in its place.
func (f *fleet) befall(a emulator.AgentFault, limits emulator.Limits) {
	f.mu.Lock()
	if f.away[a.Agent] {
		f.mu.Unlock()
		return
	}
	f.away[a.Agent] = true
	f.mu.Unlock()
	name := f.Day.Agents[a.Agent]
	if a.Kind == emulator.AgentKill {
		from := f.Now()
		f.Referee.Killed(name, from, from+a.Away+time.Second) // first: callers see the closes as soon as the network makes them
		f.network.Kill(name)
	}
	f.stop[a.Agent]()
	if err := <-f.ended[a.Agent]; err != nil && a.Kind != emulator.AgentKill { // one that is killed has its sockets closed under it
		f.t.Errorf("%s: %v", name, err)
	}
	time.Sleep(a.Away)
	f.start(a.Agent, limits)
	f.ready(a.Agent)
	f.mu.Lock()
	f.away[a.Agent] = false
	f.mu.Unlock()
}
