package experiment

import (
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"ryeweir/internal/config"
	"ryeweir/internal/emulator"
	"ryeweir/internal/emulator/referee"
)

// In a small fleet scenario of each kind (calm, rollout, thundering herd, zone outage, partition and churn) the agent must pass the gate.
// Nodes in slow start must get requests, but fewer than overload them.
func TestAgentPassesGateOnEachFleetScenario(t *testing.T) {
	variants := []VariantSpec{{Name: "agent", Kind: AgentKind}, {Name: "late", Kind: DelayedOracle}, {Name: "random", Kind: Random}}
	for _, kind := range []string{emulator.CalmScenario, emulator.RolloutScenario, emulator.ThunderingHerdScenario, emulator.ZoneOutageScenario, emulator.PartitionScenario, emulator.ChurnScenario} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			fleetScenario := emulator.FleetScenario{Kind: kind, Agents: 24, Nodes: 16}
			if err := fleetScenario.Check(""); err != nil {
				t.Fatal(err)
			}
			spec := fleetScenario.Spec(2)
			scenario, err := spec.Draw(2)
			if err != nil {
				t.Fatal(err)
			}
			var outcomes []Outcome
			for _, variant := range variants {
				if variant.Kind == Random && kind != emulator.CalmScenario {
					continue // the gate compares with the random variant in calm scenarios only
				}
				outcomes = append(outcomes, simulate(t, scenario, variant.resolve("agent")))
			}
			for _, row := range gate(outcomes, variants, map[string]bool{kind: kind == emulator.CalmScenario}) {
				if !row.Passed {
					t.Errorf("%+v", row)
				}
			}
			agentOutcome := outcomes[0]
			if agentOutcome.SlowStartPeak > 0.8 || agentOutcome.minNodesUsed() < 0.75 || agentOutcome.Overall < 0.85 {
				t.Errorf("slow start peak %.2f, nodes used %.2f, service %.3f", agentOutcome.SlowStartPeak, agentOutcome.minNodesUsed(), agentOutcome.Overall)
			}
		})
	}
}

// A gate that passes a bad run hides a fault of the agent. It must fail a run that violated a rule, that left a request without an
// outcome, or that served less than half of what the delayed oracle served; in a calm scenario it must demand more.
func TestGateFailsBrokenRulesMissingEndsAndLowService(t *testing.T) {
	variants := []VariantSpec{{Name: "a", Kind: AgentKind}, {Name: "l", Kind: DelayedOracle}, {Name: "r", Kind: Random}}
	judge := func(calm bool, served float64, change func(*referee.Account)) GateRow {
		outcome := Outcome{Scenario: "d", Variant: "a", Seed: 1, Account: referee.Account{Requests: 2, Completed: 1, Rejected: 1}}
		outcome.Overall = served
		if change != nil {
			change(&outcome.Account)
			outcome.Violations = []referee.Violation{{Rule: referee.Lost, Text: "lost"}}
		}
		delayedOracle, random := outcome, outcome
		delayedOracle.Variant, delayedOracle.Overall, random.Variant, random.Overall = "l", 0.8, "r", 0.78
		rows := gate([]Outcome{outcome, delayedOracle, random}, variants, map[string]bool{"d": calm})
		if len(rows) != 1 {
			t.Fatalf("%+v", rows)
		}
		return rows[0]
	}
	for name, tc := range map[string]struct {
		row    GateRow
		passed bool
	}{
		"above half of the delayed oracle's":                      {judge(false, 0.41, nil), true},
		"below half":                                              {judge(false, 0.39, nil), false},
		"calm scenario, below both limits":                        {judge(true, 0.69, nil), false},
		"calm scenario, above the delayed oracle's less a margin": {judge(true, 0.71, nil), true},
		"a rule was violated":                                     {judge(false, 0.9, func(a *referee.Account) { a.AfterDrain = 1 }), false},
		"a request without an outcome":                            {judge(false, 0.9, func(a *referee.Account) { a.Completed = 0 }), false},
	} {
		if tc.row.Passed != tc.passed {
			t.Errorf("%s: %+v", name, tc.row)
		}
	}
}

// A hunt must run the number of random scenarios that it was asked for. The file that it writes for a scenario that did not pass must draw
// the same scenario again, or the failure can't be debugged.
func TestHuntSavesScenariosThatReproduce(t *testing.T) {
	dir := t.TempDir()
	var progress string
	result, err := Hunt(t.Context(), 1591, 2, dir, writer(func(line string) { progress += line }))
	if err != nil || result.Runs != 2 || !strings.Contains(progress, "2 scenarios run, ") {
		t.Fatalf("%+v, %v: %s", result, err, progress)
	}
	failed, err := saveFailedScenario(7, "too little\nbecause", dir)
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(failed.File)
	if err != nil || strings.Contains(string(text), "\nbecause") {
		t.Fatalf("%s, %v", text, err)
	}
	spec := readSpec(t, string(text))
	scenario, err := spec.draw(0, spec.Seed)
	if err != nil {
		t.Fatal(err)
	}
	fleet := randomFleet(7)
	firstSpec := fleet.Spec(7)
	if want, err := firstSpec.Draw(7); err != nil || len(scenario.Plan) != len(want.Plan) || !slices.Equal(scenario.Faults, want.Faults) || !slices.Equal(scenario.AgentFaults, want.AgentFaults) {
		t.Errorf("the file draws a different scenario: %v", err)
	}
}

// If an emulated fault had no effect, every test that relies on it would pass. Killed and restarted agents, traffic shifts, partitions,
// delayed endpoint lists and retry storms must each change the outcome of a scenario.
func TestFleetFaultsHaveTheirEffect(t *testing.T) {
	second := func(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
	base := func(d *emulator.ScenarioSpec) { d.Agents, d.Length = 12, secondsOf(12) }
	service := func(o Outcome, from, to float64) (n int, served float64) {
		for i, s := range o.Series.Service {
			if at := time.Duration(i) * time.Second; at >= second(from) && at < second(to) && s != nil {
				n, served = n+1, served+*s
			}
		}
		return n, served / max(1, float64(n))
	}
	quiet := simulate(t, drawScenario(t, base), agentVariant)
	killed := simulate(t, drawScenario(t, func(d *emulator.ScenarioSpec) {
		base(d)
		d.Fleet.AgentFaults = []emulator.AgentFaultSpec{{Kind: emulator.AgentKill, Share: 1, From: secondsOf(4), Duration: secondsOf(2)}}
	}), agentVariant)
	if _, s := service(killed, 4, 6); killed.GroundTruth.AgentNotRunning == 0 || s > 0.8 {
		t.Errorf("with all agents down for 2 s, %d connections failed and service was %.2f", killed.GroundTruth.AgentNotRunning, s)
	}
	if _, s := service(killed, 8, 12); s < 0.9 || !killed.Account.RulesHold() {
		t.Errorf("after the agents' restart service is %.2f; %v", s, killed.Violations)
	}
	restarted := simulate(t, drawScenario(t, func(d *emulator.ScenarioSpec) {
		base(d)
		d.Fleet.AgentFaults = []emulator.AgentFaultSpec{{Kind: emulator.AgentRestart, Share: 1, Groups: 4, From: secondsOf(2), To: secondsOf(8), Duration: secondsOf(0.3)}}
	}), agentVariant)
	if restarted.Overall < quiet.Overall-0.05 || !restarted.Account.Balanced() {
		t.Errorf("restarting the agents group by group lowers service by %.3f from %.3f", quiet.Overall-restarted.Overall, quiet.Overall)
	}
	shifted := simulate(t, drawScenario(t, func(d *emulator.ScenarioSpec) {
		base(d)
		d.Fleet.TrafficShifts = []emulator.TrafficShiftSpec{{From: secondsOf(3), To: secondsOf(9), Factor: 2}}
	}), agentVariant)
	if ratio := float64(shifted.Calls) / float64(quiet.Calls); ratio < 1.4 || ratio > 1.6 {
		t.Errorf("twice the traffic for half of the time gives %.2f times the calls", ratio)
	}
	cut := simulate(t, drawScenario(t, func(d *emulator.ScenarioSpec) {
		base(d)
		d.Fleet.Partitions = []emulator.PartitionSpec{{Zone: "kandy", From: secondsOf(4), To: secondsOf(8)}}
	}), agentVariant)
	if cut.Attempts <= quiet.Attempts*0.8 || cut.Latency["all"].P99 <= quiet.Latency["all"].P99 || !cut.Account.RulesHold() {
		t.Errorf("a partitioned zone has no effect: %+v", cut.Account)
	}
	withListDelay := func(by float64) Outcome {
		return simulate(t, drawScenario(t, func(d *emulator.ScenarioSpec) {
			base(d)
			d.Faults = []emulator.FaultSpec{{Kind: "replace", Nodes: 5, From: secondsOf(2), To: secondsOf(2.5)}}
			d.Fleet.ListDelays = []emulator.ListDelaySpec{{From: secondsOf(0), To: secondsOf(12), By: secondsOf(by)}}
		}), agentVariant)
	}
	if prompt, delayed := withListDelay(0), withListDelay(20); delayed.NodesUsed[8] >= prompt.NodesUsed[8] {
		t.Errorf("with the list delayed by 20 s, %.2f of the nodes are used; without delay, %.2f", delayed.NodesUsed[8], prompt.NodesUsed[8])
	}
	storm := simulate(t, drawScenario(t, func(d *emulator.ScenarioSpec) {
		base(d)
		d.Load = 1.3
		d.Fleet.RetryStorms = []emulator.RetryStormSpec{{From: secondsOf(2), To: secondsOf(10), Retries: 9}}
	}), agentVariant)
	if plain := simulate(t, drawScenario(t, func(d *emulator.ScenarioSpec) { base(d); d.Load = 1.3 }), agentVariant); storm.Account.Requests <= plain.Account.Requests {
		t.Errorf("clients that retry nine times send %d requests; clients without a retry storm send %d", storm.Account.Requests, plain.Account.Requests)
	}
}

// A node may be replaced faster than discovery removes entries. The replacement has a different id, so the old entry must still be removed;
// otherwise agents continue to send to the old node.
func TestReplacedNodeIsRemovedFromEndpointList(t *testing.T) {
	scenario := drawScenario(t, func(scenario *emulator.ScenarioSpec) {
		scenario.Discovery.RemovalDelay, scenario.Discovery.AdditionDelay = secondsOf(2), secondsOf(0.2)
		scenario.Faults = []emulator.FaultSpec{{Kind: "replace", Nodes: 3, From: secondsOf(2), To: secondsOf(2.5)}}
	})
	outcome := simulate(t, scenario, agentVariant)
	if outcome.Attempts <= 0.9 || outcome.GroundTruth.ToUnresponsive > outcome.Account.Requests/20 {
		t.Errorf("%+v", outcome.GroundTruth)
	}
}

// secondsOf returns a duration of x seconds.
func secondsOf(x float64) config.Duration { return config.Duration(x * float64(time.Second)) }
