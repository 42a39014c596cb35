package experiment

import (
	"reflect"
	"testing"
	"time"

	"ryeweir/internal/config"
	"ryeweir/internal/emulator"
)

// surgeDay is one of eight nodes with short queues that choke, in front of which sixteen agents meet a surge of so many times
// what they can do.
func surgeDay(t *testing.T, times float64, seed uint64) *emulator.Scenario {
	t.Helper()
	spec := emulator.DefaultScenario()
	spec.Length, spec.Agents, spec.Load = config.Duration(13*time.Second), 16, 0.5
	spec.Kinds = []emulator.KindSpec{{Name: "a", Nodes: 8, Cores: 2, Speed: 0.9, Spread: 0.1, QueuePerCore: 2.6, Degrades: true, ConnCap: 390}}
	spec.Fleet.TrafficShifts = []emulator.TrafficShiftSpec{{From: config.Duration(3 * time.Second), To: config.Duration(9 * time.Second), Factor: 2 * times}}
	d, err := spec.Draw(seed)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// The fleet's budgets hold a surge in simulated time, alone and with talk: the nodes go on to do what they can, few attempts
// are made, place-order goes first, and service is back at once. Without them the nodes choke. Equal plays are equal.
func TestSurgeHeld(t *testing.T) {
	arm := func(operator string) Variant {
		return Variant{Name: operator, Command: module.Command, Operator: operator}
	}
	alone, together := arm("../../deploy/overload.toml"), arm("../../deploy/peers.toml")
	if o := simulate(t, surgeDay(t, 10, 3), module); o.Chokes < 4 || o.Surge.Goodput > 0.65 {
		t.Errorf("without budgets: %d chokes, %+v: the day is too mild to tell anything", o.Chokes, o.Surge)
	}
	for _, times := range []float64{3, 10} {
		for _, a := range []Variant{alone, together} {
			chokes, goodput, passed, back := 0, 0.0, 0.0, 0
			for _, seed := range []uint64{3, 4} {
				o := simulate(t, surgeDay(t, times, seed), a)
				t.Logf("%gx %s: %+v, %d chokes, %.2f attempts a request, passed over %.3f", times, a.Name, *o.Surge, o.Chokes, o.Attempts, o.PassedOver)
				if !o.Account.Balanced() || !o.Account.RulesHold() || o.Attempts > 0.5 || o.HealthCheckWork > 0.01 {
					t.Errorf("%gx %s: %+v, %.2f attempts a request, probe work %.4f", times, a.Name, o.Account, o.Attempts, o.HealthCheckWork)
				}
				chokes, goodput, passed = chokes+o.Chokes, goodput+o.Surge.Goodput/2, passed+o.PassedOver/2
				if o.Surge.Back >= 0 && o.Surge.Back <= 2 {
					back++
				}
			}
			if chokes > 3 || goodput < 0.72 || passed > 0.15 || back == 0 { // of 16 nodes
				t.Errorf("%gx %s: %d chokes, goodput %.3f, passed over %.3f, back soon in %d of 2", times, a.Name, chokes, goodput, passed, back)
			}
		}
	}
	if a, b := simulate(t, surgeDay(t, 3, 3), together), simulate(t, surgeDay(t, 3, 3), together); !reflect.DeepEqual(a, b) {
		t.Errorf("%+v and %+v", a.Account, b.Account)
	}
}
