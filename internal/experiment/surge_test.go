package experiment

import (
	"reflect"
	"testing"
	"time"

	"ryeweir/internal/config"
	"ryeweir/internal/emulator"
)

// surgeScenario draws a scenario of 16 agents and eight nodes with short queues that degrade under overload. From 3 s to 9 s the traffic is
// factor times the nodes' capacity.
func surgeScenario(t *testing.T, factor float64, seed uint64) *emulator.Scenario {
	t.Helper()
	spec := emulator.DefaultScenario()
	spec.Length, spec.Agents, spec.Load = config.Duration(13*time.Second), 16, 0.5
	spec.Kinds = []emulator.KindSpec{{Name: "a", Nodes: 8, Cores: 2, Speed: 0.9, Spread: 0.1, QueuePerCore: 2.6, Degrades: true, ConnCap: 390}}
	spec.Fleet.TrafficShifts = []emulator.TrafficShiftSpec{{From: config.Duration(3 * time.Second), To: config.Duration(9 * time.Second), Factor: 2 * factor}}
	scenario, err := spec.Draw(seed)
	if err != nil {
		t.Fatal(err)
	}
	return scenario
}

// In a surge of 10 times their capacity, nodes without protection degrade and do little useful work. With admission budgets, local to
// each agent or shared by gossip, and in surges of 3 and 10 times the capacity, the nodes must keep their goodput, attempts must stay few,
// the top-priority class must be served first, and service must recover within 2 s. Two equal runs must have equal outcomes.
func TestBudgetsKeepGoodputInSurge(t *testing.T) {
	withOperator := func(operator string) Variant {
		return Variant{Name: operator, Command: agentVariant.Command, Operator: operator}
	}
	localBudgets, sharedBudgets := withOperator("../../deploy/overload.toml"), withOperator("../../deploy/peers.toml")
	if outcome := simulate(t, surgeScenario(t, 10, 3), agentVariant); outcome.Degradations < 4 || outcome.Surge.Goodput > 0.65 {
		t.Errorf("without budgets: %d degradations, %+v: the surge is too mild to show a difference", outcome.Degradations, outcome.Surge)
	}
	for _, factor := range []float64{3, 10} {
		for _, variant := range []Variant{localBudgets, sharedBudgets} {
			degradations, goodput, passedOver, recovered := 0, 0.0, 0.0, 0
			for _, seed := range []uint64{3, 4} {
				outcome := simulate(t, surgeScenario(t, factor, seed), variant)
				t.Logf("%gx %s: %+v, %d degradations, %.2f attempts per request, passed over %.3f", factor, variant.Name, *outcome.Surge, outcome.Degradations, outcome.Attempts, outcome.PassedOver)
				if !outcome.Account.Balanced() || !outcome.Account.RulesHold() || outcome.Attempts > 0.5 || outcome.HealthCheckWork > 0.01 {
					t.Errorf("%gx %s: %+v, %.2f attempts per request, health check work %.4f", factor, variant.Name, outcome.Account, outcome.Attempts, outcome.HealthCheckWork)
				}
				degradations, goodput, passedOver = degradations+outcome.Degradations, goodput+outcome.Surge.Goodput/2, passedOver+outcome.PassedOver/2
				if outcome.Surge.RecoverySeconds >= 0 && outcome.Surge.RecoverySeconds <= 2 {
					recovered++
				}
			}
			if degradations > 3 || goodput < 0.72 || passedOver > 0.15 || recovered == 0 { // degradations: of 8 nodes in each of 2 runs
				t.Errorf("%gx %s: %d degradations, goodput %.3f, passed over %.3f, recovered within 2 s in %d of 2 runs", factor, variant.Name, degradations, goodput, passedOver, recovered)
			}
		}
	}
	if first, second := simulate(t, surgeScenario(t, 3, 3), sharedBudgets), simulate(t, surgeScenario(t, 3, 3), sharedBudgets); !reflect.DeepEqual(first, second) {
		t.Errorf("%+v and %+v", first.Account, second.Account)
	}
}
