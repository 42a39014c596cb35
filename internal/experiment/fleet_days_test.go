package experiment

import (
	"fmt"
	"testing"
	"time"

	"ryeweir/internal/config"
	"ryeweir/internal/emulator"
)

// Some faults affect all agents of a fleet at once: their simultaneous start, an outage of discovery, a traffic wave, unresponsive nodes,
// an overload. If all agents react in the same way at the same time, they can turn such a fault into an outage. The rules must hold, service
// must stay above a minimum, health checks must take at most 1% of the nodes' capacity, and a second run must give the same outcome.
func TestAgentsKeepRulesAndServiceThroughFleetWideFaults(t *testing.T) {
	seconds := func(n int) config.Duration { return config.Duration(time.Duration(n) * time.Second) }
	for name, tc := range map[string]struct {
		change     func(*emulator.ScenarioSpec)
		minService float64
	}{
		"all agents start at once with little capacity to spare": {func(s *emulator.ScenarioSpec) { s.Agents, s.Load = 100, 0.85 }, 0.9},
		"discovery down for 60 s while nodes are replaced": {func(s *emulator.ScenarioSpec) {
			s.Agents, s.Length = 20, seconds(75)
			s.Outages = []emulator.OutageSpec{{From: seconds(5), To: seconds(65)}}
			s.Faults = []emulator.FaultSpec{{Kind: "replace", Nodes: 3, From: seconds(10), To: seconds(13)}}
		}, 0.85},
		"traffic of most agents in waves": {func(s *emulator.ScenarioSpec) {
			s.Agents, s.AgentSkew, s.Load, s.Shape, s.Swing, s.Period = 20, 20, 0.6, "wave", 0.6, seconds(6)
		}, 0.9},
		"many agents with little traffic and unresponsive nodes": {func(s *emulator.ScenarioSpec) {
			s.Agents, s.Load = 200, 0.4
			s.Faults = []emulator.FaultSpec{{Kind: "vanish", Nodes: 2, From: seconds(4), To: seconds(18)}}
		}, 0.9},
		"overload of all nodes": {func(s *emulator.ScenarioSpec) { s.Agents, s.Load = 4, 1.3 }, 0.8},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			spec := emulator.DefaultScenario()
			spec.Length = seconds(20)
			tc.change(&spec)
			if err := spec.Check("day."); err != nil {
				t.Fatal(err)
			}
			scenario, err := spec.Draw(3)
			if err != nil {
				t.Fatal(err)
			}
			outcome, err := Simulate(scenario, Variant{Name: "agent", Command: []string{"agent"}})
			if err != nil {
				t.Fatal(err)
			}
			if !outcome.Account.RulesHold() {
				t.Errorf("rules violated: %v", outcome.Violations)
			}
			if outcome.Overall < tc.minService || outcome.HealthCheckWork > 0.01 {
				t.Errorf("service %.3f, health checks took %.4f of the nodes' capacity", outcome.Overall, outcome.HealthCheckWork)
			}
			if again, err := Simulate(scenario, Variant{Name: "agent", Command: []string{"agent"}}); err != nil || fmt.Sprint(again.Overall, again.GroundTruth) != fmt.Sprint(outcome.Overall, outcome.GroundTruth) {
				t.Errorf("second run: service %v, error %v", again.Overall, err)
			}
		})
	}
}

// A variant's operators' file must also apply in simulated time: if it disables health checks, the figures have none. A second run of the
// same experiment, compared with the folder of the first, must show no difference in any figure. Comparing with a folder without
// figures.json is an error.
func TestRunsAreComparedWithThoseOfAnEarlierRun(t *testing.T) {
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
	findings, err := Run(t.Context(), readSpec(t, text), "", first, "", writer(func(string) {}))
	if err != nil || len(findings.Rows) != 2 || findings.Rows[0].HealthChecks == 0 || findings.Rows[1].HealthChecks != 0 {
		t.Fatalf("%+v, %v", findings.Rows, err)
	}
	findings, err = Run(t.Context(), readSpec(t, text), "", second, first, writer(func(string) {}))
	if err != nil {
		t.Fatal(err)
	}
	same := 0
	for _, d := range findings.Differences {
		if d.Baseline == d.Variant+" before" && d.N == 3 && d.Low == 0 && d.High == 0 {
			same++
		}
	}
	if same != 2*len(comparedFigures) {
		t.Errorf("%d of %d figures are equal in the second run", same, 2*len(comparedFigures))
	}
	if _, err := Run(t.Context(), readSpec(t, text), "", second, t.TempDir(), writer(func(string) {})); err == nil {
		t.Error("comparing with a folder without figures.json gave no error")
	}
}
