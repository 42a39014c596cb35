package experiment

import (
	"fmt"
	"testing"
	"time"

	"ryeweir/internal/config"
	"ryeweir/internal/emulator"
)

// Fleets of quiet agents through what breaks at all of them at once, with the real decisions in simulated time: the rules hold, and the
// service does not fall below what was measured less a margin.
func TestFleetDays(t *testing.T) {
	d := func(seconds int) config.Duration { return config.Duration(time.Duration(seconds) * time.Second) }
	for name, c := range map[string]struct {
		change func(*emulator.ScenarioSpec)
		least  float64
	}{
		"all start at once on a full fleet": {func(s *emulator.ScenarioSpec) { s.Agents, s.Load = 100, 0.85 }, 0.9},
		"discovery away for 60 s while nodes are replaced": {func(s *emulator.ScenarioSpec) {
			s.Agents, s.Length = 20, d(75)
			s.Outages = []emulator.OutageSpec{{From: d(5), To: d(65)}}
			s.Faults = []emulator.FaultSpec{{Kind: "replace", Nodes: 3, From: d(10), To: d(13)}}
		}, 0.85},
		"the others' traffic comes and goes": {func(s *emulator.ScenarioSpec) {
			s.Agents, s.AgentSkew, s.Load, s.Shape, s.Swing, s.Period = 20, 20, 0.6, "wave", 0.6, d(6)
		}, 0.9},
		"a quiet fleet beside a dead node": {func(s *emulator.ScenarioSpec) {
			s.Agents, s.Load = 200, 0.4
			s.Faults = []emulator.FaultSpec{{Kind: "vanish", Nodes: 2, From: d(4), To: d(18)}}
		}, 0.9},
		"an overload that would choke all": {func(s *emulator.ScenarioSpec) { s.Agents, s.Load = 4, 1.3 }, 0.8},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			spec := emulator.DefaultScenario()
			spec.Length = d(20)
			c.change(&spec)
			if err := spec.Check("day."); err != nil {
				t.Fatal(err)
			}
			day, err := spec.Draw(3)
			if err != nil {
				t.Fatal(err)
			}
			o, err := Simulate(day, Variant{Name: "agent", Command: []string{"agent"}})
			if err != nil {
				t.Fatal(err)
			}
			if !o.Account.RulesHold() {
				t.Errorf("rules broke: %v", o.Breaches)
			}
			if o.Overall < c.least || o.HealthCheckWork > 0.01 {
				t.Errorf("service %.3f, probes took %.4f of the nodes' work", o.Overall, o.HealthCheckWork)
			}
			if again, err := Simulate(day, Variant{Name: "agent", Command: []string{"agent"}}); err != nil || fmt.Sprint(again.Overall, again.Truths) != fmt.Sprint(o.Overall, o.Truths) {
				t.Errorf("played again: %v, %v", again.Overall, err)
			}
		})
	}
}

// An arm's operators' file counts in simulated time, too, and a play is compared with one before it.
func TestArmsAndAgainst(t *testing.T) {
	text := `name = "probes"
repeats = 3
simulated = true
[[arm]]
name = "with"
kind = "agent"
[[arm]]
name = "without"
kind = "agent"
operator = "../../deploy/experiments/arms/no-probes.toml"
[[day]]
length = "6s"
agents = 10
[[day.trouble]]
kind = "vanish"
nodes = 2
from = "1s"
to = "5s"
`
	first, second := t.TempDir(), t.TempDir()
	f, err := Run(t.Context(), readSpec(t, text), "", first, "", writer(func(string) {}))
	if err != nil || len(f.Rows) != 2 || f.Rows[0].HealthChecks == 0 || f.Rows[1].HealthChecks != 0 {
		t.Fatalf("%+v, %v", f.Rows, err)
	}
	f, err = Run(t.Context(), readSpec(t, text), "", second, first, writer(func(string) {}))
	if err != nil {
		t.Fatal(err)
	}
	same := 0
	for _, d := range f.Differences {
		if d.Baseline == d.Variant+" before" && d.N == 3 && d.Low == 0 && d.High == 0 {
			same++
		}
	}
	if same != 2*len(comparedFigures) {
		t.Errorf("%d of %d figures are the same in an equal play", same, 2*len(comparedFigures))
	}
	if _, err := Run(t.Context(), readSpec(t, text), "", second, t.TempDir(), writer(func(string) {})); err == nil {
		t.Error("compared with a folder that holds no play")
	}
}
