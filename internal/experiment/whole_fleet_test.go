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

// Each kind of a whole fleet's day, small, with the real decisions: it passes the gate, cold nodes are in use and get less than topples
// them, and it is the same when played again.
func TestWholeFleetDays(t *testing.T) {
	arms := []VariantSpec{{Name: "agent", Kind: AgentKind}, {Name: "late", Kind: DelayedOracle}, {Name: "random", Kind: Random}}
	for _, kind := range []string{emulator.CalmScenario, emulator.RolloutScenario, emulator.ThunderingHerdScenario, emulator.ZoneOutageScenario, emulator.PartitionScenario, emulator.ChurnScenario} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			f := emulator.FleetScenario{Kind: kind, Agents: 24, Nodes: 16}
			if err := f.Check(""); err != nil {
				t.Fatal(err)
			}
			spec := f.Spec(2)
			day, err := spec.Draw(2)
			if err != nil {
				t.Fatal(err)
			}
			var outcomes []Outcome
			for _, a := range arms {
				if a.Kind == Random && kind != emulator.CalmScenario {
					continue // only a calm day is held against it
				}
				outcomes = append(outcomes, simulate(t, day, a.resolve("agent")))
			}
			for _, r := range gate(outcomes, arms, map[string]bool{kind: kind == emulator.CalmScenario}) {
				if !r.Passed {
					t.Errorf("%+v", r)
				}
			}
			o := outcomes[0]
			if o.SlowStartPeak > 0.8 || o.minNodesUsed() < 0.75 || o.Overall < 0.85 {
				t.Errorf("cold peak %.2f, nodes used %.2f, service %.3f", o.SlowStartPeak, o.minNodesUsed(), o.Overall)
			}
		})
	}
}

// A gate fails what breaks a rule, what leaves a request without an end and what serves too little, and a calm day wants more.
func TestGate(t *testing.T) {
	arms := []VariantSpec{{Name: "a", Kind: AgentKind}, {Name: "l", Kind: DelayedOracle}, {Name: "r", Kind: Random}}
	play := func(calm bool, served float64, change func(*referee.Account)) GateRow {
		o := Outcome{Day: "d", Variant: "a", Seed: 1, Account: referee.Account{Requests: 2, Completed: 1, Rejected: 1}}
		o.Overall = served
		if change != nil {
			change(&o.Account)
			o.Breaches = []referee.Violation{{Rule: referee.Lost, Text: "lost"}}
		}
		late, plain := o, o
		late.Variant, late.Overall, plain.Variant, plain.Overall = "l", 0.8, "r", 0.78
		rows := gate([]Outcome{o, late, plain}, arms, map[string]bool{"d": calm})
		if len(rows) != 1 {
			t.Fatalf("%+v", rows)
		}
		return rows[0]
	}
	for name, c := range map[string]struct {
		row    GateRow
		passed bool
	}{
		"half of the late one's":       {play(false, 0.41, nil), true},
		"less":                         {play(false, 0.39, nil), false},
		"a calm day wants more":        {play(true, 0.69, nil), false},
		"the late one's less a margin": {play(true, 0.71, nil), true},
		"a rule broke":                 {play(false, 0.9, func(a *referee.Account) { a.AfterDrain = 1 }), false},
		"a request without an end":     {play(false, 0.9, func(a *referee.Account) { a.Completed = 0 }), false},
	} {
		if c.row.Passed != c.passed {
			t.Errorf("%s: %+v", name, c.row)
		}
	}
}

// A hunt plays as many random days as asked for, and the file of one that is kept plays that day again.
func TestHunt(t *testing.T) {
	dir := t.TempDir()
	var said string
	h, err := Hunt(t.Context(), 1591, 2, dir, writer(func(line string) { said += line }))
	if err != nil || h.Played != 2 || !strings.Contains(said, "2 days played") {
		t.Fatalf("%+v, %v: %s", h, err, said)
	}
	f, err := saveFound(7, "too little\nbecause", dir)
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(f.File)
	if err != nil || strings.Contains(string(text), "\nbecause") {
		t.Fatalf("%s, %v", text, err)
	}
	spec := readSpec(t, string(text))
	day, err := spec.draw(0, spec.Seed)
	if err != nil {
		t.Fatal(err)
	}
	p := randomFleet(7)
	first := p.Spec(7)
	if want, err := first.Draw(7); err != nil || len(day.Plan) != len(want.Plan) || !slices.Equal(day.Faults, want.Faults) || !slices.Equal(day.AgentFaults, want.AgentFaults) {
		t.Errorf("the file draws another day: %v", err)
	}
}

// What befalls agents, zones and lists does what its name says, as far as the account can show it.
func TestWhatBefallsAFleet(t *testing.T) {
	second := func(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
	base := func(d *emulator.ScenarioSpec) { d.Agents, d.Length = 12, secondsOf(12) }
	calls := func(o Outcome, from, to float64) (n int, served float64) {
		for i, s := range o.Series.Service {
			if at := time.Duration(i) * time.Second; at >= second(from) && at < second(to) && s != nil {
				n, served = n+1, served+*s
			}
		}
		return n, served / max(1, float64(n))
	}
	quiet := simulate(t, day(t, base), module)
	killed := simulate(t, day(t, func(d *emulator.ScenarioSpec) {
		base(d)
		d.Fleet.AgentFaults = []emulator.AgentFaultSpec{{Kind: emulator.AgentKill, Share: 1, From: secondsOf(4), Duration: secondsOf(2)}}
	}), module)
	if _, s := calls(killed, 4, 6); killed.Truths.NotRunning == 0 || s > 0.8 {
		t.Errorf("with all agents away for 2 s, %d were not heard and %.2f was served", killed.Truths.NotRunning, s)
	}
	if _, s := calls(killed, 8, 12); s < 0.9 || !killed.Account.RulesHold() {
		t.Errorf("after their return %.2f is served; %v", s, killed.Breaches)
	}
	planned := simulate(t, day(t, func(d *emulator.ScenarioSpec) {
		base(d)
		d.Fleet.AgentFaults = []emulator.AgentFaultSpec{{Kind: emulator.AgentRestart, Share: 1, Groups: 4, From: secondsOf(2), To: secondsOf(8), Duration: secondsOf(0.3)}}
	}), module)
	if planned.Overall < quiet.Overall-0.05 || !planned.Account.Balanced() {
		t.Errorf("restarts one after the other cost %.3f of %.3f", quiet.Overall-planned.Overall, quiet.Overall)
	}
	shifted := simulate(t, day(t, func(d *emulator.ScenarioSpec) {
		base(d)
		d.Fleet.TrafficShifts = []emulator.TrafficShiftSpec{{From: secondsOf(3), To: secondsOf(9), Factor: 2}}
	}), module)
	if ratio := float64(shifted.Calls) / float64(quiet.Calls); ratio < 1.4 || ratio > 1.6 {
		t.Errorf("twice as much for half of the day is %.2f times as much", ratio)
	}
	cut := simulate(t, day(t, func(d *emulator.ScenarioSpec) {
		base(d)
		d.Fleet.Partitions = []emulator.PartitionSpec{{Zone: "kandy", From: secondsOf(4), To: secondsOf(8)}}
	}), module)
	if cut.Attempts <= quiet.Attempts*0.8 || cut.Latency["all"].P99 <= quiet.Latency["all"].P99 || !cut.Account.RulesHold() {
		t.Errorf("a zone that is cut off shows nowhere: %+v", cut.Account)
	}
	late := func(by float64) Outcome {
		return simulate(t, day(t, func(d *emulator.ScenarioSpec) {
			base(d)
			d.Faults = []emulator.FaultSpec{{Kind: "replace", Nodes: 5, From: secondsOf(2), To: secondsOf(2.5)}}
			d.Fleet.ListDelays = []emulator.ListDelaySpec{{From: secondsOf(0), To: secondsOf(12), By: secondsOf(by)}}
		}), module)
	}
	if soon, never := late(0), late(20); never.Used[8] >= soon.Used[8] {
		t.Errorf("with news of new nodes 20 s later %.2f of the nodes are in use, with none %.2f", never.Used[8], soon.Used[8])
	}
	storm := simulate(t, day(t, func(d *emulator.ScenarioSpec) {
		base(d)
		d.Load = 1.3
		d.Fleet.RetryStorms = []emulator.RetryStormSpec{{From: secondsOf(2), To: secondsOf(10), Retries: 9}}
	}), module)
	if plain := simulate(t, day(t, func(d *emulator.ScenarioSpec) { base(d); d.Load = 1.3 }), module); storm.Account.Requests <= plain.Account.Requests {
		t.Errorf("clients that come again at once, nine times, send %d in place of %d", storm.Account.Requests, plain.Account.Requests)
	}
}

// A node that is replaced leaves the list for good, however short the time between: its successor has another id.
func TestReplacedNodeLeavesTheList(t *testing.T) {
	d := day(t, func(d *emulator.ScenarioSpec) {
		d.Discovery.RemovalDelay, d.Discovery.AdditionDelay = secondsOf(2), secondsOf(0.2)
		d.Faults = []emulator.FaultSpec{{Kind: "replace", Nodes: 3, From: secondsOf(2), To: secondsOf(2.5)}}
	})
	o := simulate(t, d, module)
	if o.Attempts <= 0.9 || o.Truths.ToDead > o.Account.Requests/20 {
		t.Errorf("%+v", o.Truths)
	}
}

func secondsOf(x float64) config.Duration { return config.Duration(x * float64(time.Second)) }
