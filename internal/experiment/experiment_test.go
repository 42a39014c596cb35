package experiment

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"ryeweir/internal/config"
	"ryeweir/internal/emulator"
)

func day(t *testing.T, change func(*emulator.ScenarioSpec)) *emulator.Scenario {
	t.Helper()
	spec := emulator.DefaultScenario()
	spec.Length = config.Duration(15 * time.Second)
	if change != nil {
		change(&spec)
	}
	d, err := spec.Draw(11)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

var module = Variant{Name: "agent", Command: []string{"-", "agent"}}

func simulate(t *testing.T, d *emulator.Scenario, a Variant) Outcome {
	t.Helper()
	o, err := Simulate(d, a)
	if err != nil {
		t.Fatal(err)
	}
	return o
}

// Equal days and arms give equal outcomes, to the last call.
func TestSimulationRepeats(t *testing.T) {
	trouble := func(d *emulator.ScenarioSpec) {
		d.Faults = []emulator.FaultSpec{
			{Kind: "slow", Nodes: 2, From: config.Duration(2 * time.Second), To: config.Duration(9 * time.Second), Size: 5},
			{Kind: "vanish", Nodes: 1, From: config.Duration(3 * time.Second), To: config.Duration(8 * time.Second)},
			{Kind: "replace", Nodes: 1, From: config.Duration(4 * time.Second), To: config.Duration(6 * time.Second)},
			{Kind: "drain", Nodes: 1, From: config.Duration(5 * time.Second), To: config.Duration(10 * time.Second)},
		}
		d.Outages = []emulator.OutageSpec{{From: config.Duration(7 * time.Second), To: config.Duration(9 * time.Second)}}
	}
	for _, arm := range []Variant{module, {Name: "r", Chooser: Random}, {Name: "o", Chooser: Oracle}} {
		a, b := simulate(t, day(t, trouble), arm), simulate(t, day(t, trouble), arm)
		if !reflect.DeepEqual(a, b) {
			t.Errorf("%s: %+v and %+v", arm.Name, a.Account, b.Account)
		}
		if !a.Account.Balanced() || !a.Account.RulesHold() || a.Account.UnknownRequests > 0 {
			t.Errorf("%s: %+v %v", arm.Name, a.Account, a.Breaches)
		}
	}
}

// The arms stand in the order that their knowledge gives them, where that matters.
func TestArmsAreOrdered(t *testing.T) {
	trouble := func(d *emulator.ScenarioSpec) {
		d.Load = 0.7
		d.Faults = []emulator.FaultSpec{{Kind: "slow", Nodes: 3, From: config.Duration(2 * time.Second), To: config.Duration(14 * time.Second), Size: 6}}
	}
	service := func(a Variant) float64 { return simulate(t, day(t, trouble), a).Overall }
	random, two, agent, top := service(Variant{Chooser: Random}), service(Variant{Chooser: TwoChoices}), service(module), service(Variant{Chooser: Oracle})
	if !(random < two && two < agent && agent <= top+0.02) {
		t.Errorf("random %.3f, two choices %.3f, agent %.3f, top %.3f", random, two, agent, top)
	}
}

// A difference that chance makes is called noise, one that is there is not, and few pairs say nothing.
func TestVerdicts(t *testing.T) {
	for want, diffs := range map[string][]float64{
		"noise":   {0.02, -0.01, 0.015, -0.02, 0.005},
		"higher":  {0.2, 0.25, 0.22, 0.19, 0.3},
		"lower":   {-0.2, -0.25, -0.22},
		"too few": {0.2, 0.21},
	} {
		if got := verdict(bootstrap(diffs)); got != want {
			t.Errorf("%v: %s, not %s", diffs, got, want)
		}
	}
	// 95% intervals of 20 normal samples hold the true mean about that often.
	held, rng := 0, rand.New(rand.NewPCG(1, 2))
	for range 200 {
		var xs []float64
		for range 20 {
			xs = append(xs, rng.NormFloat64())
		}
		if b := bootstrap(xs); b.Low <= 0 && 0 <= b.High {
			held++
		}
	}
	if held < 170 {
		t.Errorf("%d of 200 intervals held the mean", held)
	}
}

const experimentText = `name = "small"
question = "Does it work?"
repeats = 3
simulated = true
[[arm]]
name = "two"
kind = "two-choices"
[[arm]]
name = "any"
kind = "random"
[[day]]
name = "short & odd"
length = "4s"
[[day.trouble]]
kind = "slow"
nodes = 2
from = "1s"
to = "3s"
size = 5.0
`

func readSpec(t *testing.T, text string) *Spec {
	t.Helper()
	var s Spec
	if err := config.TOML("x.toml", []byte(text), &s); err != nil {
		t.Fatal(err)
	}
	return &s
}

func TestExperiment(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "out")
	f, err := Run(t.Context(), readSpec(t, experimentText), "", dir, "", io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if len(f.Outcomes) != 6 || len(f.Rows) != 2 || len(f.Differences) != len(comparedFigures) || f.Unfinished {
		t.Errorf("%d outcomes, %d rows, %d differences", len(f.Outcomes), len(f.Rows), len(f.Differences))
	}
	if f.Outcomes[0].Calls != f.Outcomes[1].Calls {
		t.Error("the arms of a repeat were not asked for the same")
	}
	page, err := os.ReadFile(filepath.Join(dir, "report.html"))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<svg", "short &amp; odd", "two-choices"[:3], "verdict"} {
		if !strings.Contains(string(page), want) {
			t.Errorf("the report has no %q", want)
		}
	}
	if strings.Contains(string(page), "src=") || strings.Contains(string(page), "href=\"http") {
		t.Error("the report needs other files")
	}
	plots, _ := filepath.Glob(filepath.Join(dir, "plots", "*.png"))
	if len(plots) != 5 {
		t.Errorf("plots %v", plots)
	}
	var back Findings
	text, err := os.ReadFile(filepath.Join(dir, "figures.json"))
	if err != nil || json.Unmarshal(text, &back) != nil || len(back.Outcomes) != 6 {
		t.Errorf("figures.json: %v", err)
	}
}

// An interrupted experiment leaves what was finished; one that can't write says so before it begins.
func TestExperimentBroken(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	dir := t.TempDir()
	stop := writer(func(line string) {
		if strings.Contains(line, "2 of 6") {
			cancel()
		}
	})
	f, err := Run(ctx, readSpec(t, experimentText), "", dir, "", stop)
	if err != nil || !f.Unfinished || len(f.Outcomes) != 2 {
		t.Errorf("%d outcomes, unfinished %v, %v", len(f.Outcomes), f.Unfinished, err)
	}
	if page, err := os.ReadFile(filepath.Join(dir, "report.html")); err != nil || !strings.Contains(string(page), "interrupted") {
		t.Error("the report does not tell of the interruption")
	}
	file := filepath.Join(dir, "a-file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if f, err := Run(t.Context(), readSpec(t, experimentText), "", file, "", io.Discard); err == nil || len(f.Outcomes) > 0 {
		t.Errorf("%d runs into a file, %v", len(f.Outcomes), err)
	}
	// A binary that is none fails its runs and not the others.
	s := readSpec(t, strings.Replace(strings.Replace(experimentText, "simulated = true", "", 1), `kind = "random"`, "kind = \"agent\"\nbinary = \"/no/such/program\"", 1))
	s.Repeats = 1
	s.Days[0].Length = config.Duration(time.Second)
	s.Days[0].Faults = nil
	f, err = Run(t.Context(), s, "", t.TempDir(), "", io.Discard)
	if err != nil || len(f.Outcomes) != 1 || len(f.Failures) != 1 || !strings.Contains(f.Failures[0], "no such file") {
		t.Errorf("%d outcomes, failures %v, %v", len(f.Outcomes), f.Failures, err)
	}
}

type writer func(string)

func (w writer) Write(p []byte) (int, error) {
	w(string(p))
	return len(p), nil
}

func TestSpecErrors(t *testing.T) {
	for want, change := range map[string][2]string{
		"x.toml:7: arm[0].kind":      {`"two-choices"`, `"best"`},
		"x.toml:3: repeats":          {"repeats = 3", "repeats = 5000"},
		"day[0].trouble[0].kind":     {`"slow"`, `"plague"`},
		"x.toml:13: day.legnth":      {"length =", "legnth ="},
		"x.toml:9: arm[1].name":      {`name = "any"`, `name = "two"`},
		"only an agent is a program": {`kind = "random"`, "kind = \"random\"\nbinary = \"x\""},
	} {
		var s Spec
		err := config.TOML("x.toml", []byte(strings.Replace(experimentText, change[0], change[1], 1)), &s)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}
