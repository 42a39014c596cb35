package experiment

import (
	"reflect"
	"testing"
	"time"

	"ryeweir/internal/config"
	"ryeweir/internal/emulator"
)

// surgeDay is a day of 16 agents and eight nodes with short queues that degrade under overload. From 3 s to 9 s the traffic is
// factor times the nodes' capacity.
func surgeDay(t *testing.T, factor float64, seed uint64) *emulator.Scenario {
	t.Helper()
	spec := emulator.DefaultScenario()
	spec.Length, spec.Agents, spec.Load = config.Duration(13*time.Second), 16, 0.5
	spec.Kinds = []emulator.KindSpec{{Name: "a", Nodes: 8, Cores: 2, Speed: 0.9, Spread: 0.1, QueuePerCore: 2.6, Degrades: true, ConnCap: 390}}
	spec.Fleet.TrafficShifts = []emulator.TrafficShiftSpec{{From: config.Duration(3 * time.Second), To: config.Duration(9 * time.Second), Factor: 2 * factor}}
	day, err := spec.Draw(seed)
	if err != nil {
		t.Fatal(err)
	}
	return day
}

// In a surge of 3 or 10 times their capacity, nodes without protection degrade and do little useful work. With the fleet's
// budgets, each agent's own or shared by gossip, the nodes keep their goodput, few attempts are made, the top-priority class goes
// first, and service recovers soon. Two equal runs are equal.
func TestBudgetsKeepGoodputInSurge(t *testing.T) {
	withOperator := func(operator string) Variant {
		return Variant{Name: operator, Command: agentVariant.Command, Operator: operator}
	}
	localBudgets, sharedBudgets := withOperator("../../deploy/overload.toml"), withOperator("../../deploy/peers.toml")
	if outcome := simulate(t, surgeDay(t, 10, 3), agentVariant); outcome.Degradations < 4 || outcome.Surge.Goodput > 0.65 {
		t.Errorf("without budgets: %d chokes, %+v: the day is too mild to show a difference", outcome.Degradations, outcome.Surge)
	}
	for _, factor := range []float64{3, 10} {
		for _, variant := range []Variant{localBudgets, sharedBudgets} {
			chokes, goodput, passedOver, recovered := 0, 0.0, 0.0, 0
			for _, seed := range []uint64{3, 4} {
				outcome := simulate(t, surgeDay(t, factor, seed), variant)
				t.Logf("%gx %s: %+v, %d chokes, %.2f attempts a request, passed over %.3f", factor, variant.Name, *outcome.Surge, outcome.Degradations, outcome.Attempts, outcome.PassedOver)
				if !outcome.Account.Balanced() || !outcome.Account.RulesHold() || outcome.Attempts > 0.5 || outcome.HealthCheckWork > 0.01 {
					t.Errorf("%gx %s: %+v, %.2f attempts a request, health check work %.4f", factor, variant.Name, outcome.Account, outcome.Attempts, outcome.HealthCheckWork)
				}
				chokes, goodput, passedOver = chokes+outcome.Degradations, goodput+outcome.Surge.Goodput/2, passedOver+outcome.PassedOver/2
				if outcome.Surge.RecoverySeconds >= 0 && outcome.Surge.RecoverySeconds <= 2 {
					recovered++
				}
			}
			if chokes > 3 || goodput < 0.72 || passedOver > 0.15 || recovered == 0 { // of 16 nodes
				t.Errorf("%gx %s: %d chokes, goodput %.3f, passed over %.3f, recovered within 2 s in %d of 2", factor, variant.Name, chokes, goodput, passedOver, recovered)
			}
		}
	}
	if first, second := simulate(t, surgeDay(t, 3, 3), sharedBudgets), simulate(t, surgeDay(t, 3, 3), sharedBudgets); !reflect.DeepEqual(first, second) {
		t.Errorf("%+v and %+v", first.Account, second.Account)
	}
}
