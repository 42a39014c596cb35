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

// drawScenario draws a scenario of 15 s from the default specification, to which change, unless nil, is applied.
func drawScenario(t *testing.T, change func(*emulator.ScenarioSpec)) *emulator.Scenario {
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

// agentVariant is the agent. Simulated time runs its decision module and ignores the path of the program.
var agentVariant = Variant{Name: "agent", Command: []string{"-", "agent"}}

// simulate runs a scenario in simulated time and fails the test on an error.
func simulate(t *testing.T, scenario *emulator.Scenario, variant Variant) Outcome {
	t.Helper()
	outcome, err := Simulate(scenario, variant)
	if err != nil {
		t.Fatal(err)
	}
	return outcome
}

// A failure in simulated time is debugged by running it again. Therefore the same scenario and variant must give exactly the same outcome,
// also with slow, unresponsive, replaced and draining nodes and an outage of discovery.
func TestEqualScenariosAndVariantsGiveEqualOutcomes(t *testing.T) {
	withFaults := func(d *emulator.ScenarioSpec) {
		d.Faults = []emulator.FaultSpec{
			{Kind: "slow", Nodes: 2, From: config.Duration(2 * time.Second), To: config.Duration(9 * time.Second), Size: 5},
			{Kind: "vanish", Nodes: 1, From: config.Duration(3 * time.Second), To: config.Duration(8 * time.Second)},
			{Kind: "replace", Nodes: 1, From: config.Duration(4 * time.Second), To: config.Duration(6 * time.Second)},
			{Kind: "drain", Nodes: 1, From: config.Duration(5 * time.Second), To: config.Duration(10 * time.Second)},
		}
		d.Outages = []emulator.OutageSpec{{From: config.Duration(7 * time.Second), To: config.Duration(9 * time.Second)}}
	}
	for _, variant := range []Variant{agentVariant, {Name: "r", Chooser: Random}, {Name: "o", Chooser: Oracle}} {
		first, second := simulate(t, drawScenario(t, withFaults), variant), simulate(t, drawScenario(t, withFaults), variant)
		if !reflect.DeepEqual(first, second) {
			t.Errorf("%s: %+v and %+v", variant.Name, first.Account, second.Account)
		}
		if !first.Account.Balanced() || !first.Account.RulesHold() || first.Account.UnknownRequests > 0 {
			t.Errorf("%s: %+v %v", variant.Name, first.Account, first.Violations)
		}
	}
}

// Under high load with slow nodes, a variant that knows more about the nodes must serve more: two choices more than random, the agent more
// than two choices, and the agent at most 0.02 more than the oracle. Otherwise comparisons between variants are meaningless.
func TestVariantsRankByWhatTheyKnow(t *testing.T) {
	withFaults := func(d *emulator.ScenarioSpec) {
		d.Load = 0.7
		d.Faults = []emulator.FaultSpec{{Kind: "slow", Nodes: 3, From: config.Duration(2 * time.Second), To: config.Duration(14 * time.Second), Size: 6}}
	}
	service := func(variant Variant) float64 { return simulate(t, drawScenario(t, withFaults), variant).Overall }
	random, twoChoices, agent, oracle := service(Variant{Chooser: Random}), service(Variant{Chooser: TwoChoices}), service(agentVariant), service(Variant{Chooser: Oracle})
	if !(random < twoChoices && twoChoices < agent && agent <= oracle+0.02) {
		t.Errorf("random %.3f, two choices %.3f, agent %.3f, oracle %.3f", random, twoChoices, agent, oracle)
	}
}

// A report that takes chance for a difference leads to a wrong decision. Differences on both sides of 0 are noise, those on one side are
// higher or lower, and fewer than three pairs are too few.
func TestVerdictTellsDifferencesFromNoise(t *testing.T) {
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
	// The 95% intervals of 20 normal samples must cover the true mean in at least 85% of the cases.
	covered, rng := 0, rand.New(rand.NewPCG(1, 2))
	for range 200 {
		var samples []float64
		for range 20 {
			samples = append(samples, rng.NormFloat64())
		}
		if interval := bootstrap(samples); interval.Low <= 0 && 0 <= interval.High {
			covered++
		}
	}
	if covered < 170 {
		t.Errorf("%d of 200 intervals cover the mean", covered)
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

// readSpec parses and checks the text of an experiment's file.
func readSpec(t *testing.T, text string) *Spec {
	t.Helper()
	var s Spec
	if err := config.TOML("x.toml", []byte(text), &s); err != nil {
		t.Fatal(err)
	}
	return &s
}

// An experiment must write figures.json. Here it has two variants, one scenario and three repeats.
func TestExperimentWritesFigures(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "out")
	findings, err := Run(t.Context(), readSpec(t, experimentText), "", dir, "", io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if len(findings.Outcomes) != 6 || len(findings.Rows) != 2 || len(findings.Differences) != len(comparedFigures) || findings.Unfinished {
		t.Errorf("%d outcomes, %d rows, %d differences", len(findings.Outcomes), len(findings.Rows), len(findings.Differences))
	}
	if findings.Outcomes[0].Calls != findings.Outcomes[1].Calls {
		t.Error("the variants of a repeat got different numbers of calls")
	}
	var decoded Findings
	text, err := os.ReadFile(filepath.Join(dir, "figures.json"))
	if err != nil || json.Unmarshal(text, &decoded) != nil || len(decoded.Outcomes) != 6 {
		t.Errorf("figures.json: %v", err)
	}
}

// An experiment may run for hours, and a failure must not lose finished runs. After an interruption, the report holds the finished runs and
// says that it was interrupted. If the folder is not writable, the experiment ends before the first run. If a program does not start, only
// the runs with that program fail.
func TestExperimentKeepsFinishedRunsAfterFailure(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	dir := t.TempDir()
	cancelAfterTwo := writer(func(line string) {
		if strings.Contains(line, "2 of 6") {
			cancel()
		}
	})
	findings, err := Run(ctx, readSpec(t, experimentText), "", dir, "", cancelAfterTwo)
	if err != nil || !findings.Unfinished || len(findings.Outcomes) != 2 {
		t.Errorf("%d outcomes, unfinished %v, %v", len(findings.Outcomes), findings.Unfinished, err)
	}
	file := filepath.Join(dir, "a-file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if findings, err := Run(t.Context(), readSpec(t, experimentText), "", file, "", io.Discard); err == nil || len(findings.Outcomes) > 0 {
		t.Errorf("%d runs with a file in place of the folder, error %v", len(findings.Outcomes), err)
	}
	// A binary that does not exist fails its own runs only.
	spec := readSpec(t, strings.Replace(strings.Replace(experimentText, "simulated = true", "", 1), `kind = "random"`, "kind = \"agent\"\nbinary = \"/no/such/program\"", 1))
	spec.Repeats = 1
	spec.Scenarios[0].Length = config.Duration(time.Second)
	spec.Scenarios[0].Faults = nil
	findings, err = Run(t.Context(), spec, "", t.TempDir(), "", io.Discard)
	if err != nil || len(findings.Outcomes) != 1 || len(findings.Failures) != 1 || !strings.Contains(findings.Failures[0], "no such file") {
		t.Errorf("%d outcomes, failures %v, %v", len(findings.Outcomes), findings.Failures, err)
	}
}

// writer is an io.Writer that passes each write to a function.
type writer func(string)

func (w writer) Write(p []byte) (int, error) {
	w(string(p))
	return len(p), nil
}

// Each wrong key or value in an experiment's file must give an error with its place. Each case replaces one string in a valid file and
// states a part of the expected error.
func TestSpecErrorsNameFileLineAndKey(t *testing.T) {
	for want, change := range map[string][2]string{
		"x.toml:7: arm[0].kind":  {`"two-choices"`, `"best"`},
		"x.toml:3: repeats":      {"repeats = 3", "repeats = 5000"},
		"day[0].trouble[0].kind": {`"slow"`, `"plague"`},
		"x.toml:13: day.legnth":  {"length =", "legnth ="},
		"x.toml:9: arm[1].name":  {`name = "any"`, `name = "two"`},
		"arm[1].binary: binary, flags and operator are allowed for the kind agent only": {`kind = "random"`, "kind = \"random\"\nbinary = \"x\""},
	} {
		var s Spec
		err := config.TOML("x.toml", []byte(strings.Replace(experimentText, change[0], change[1], 1)), &s)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}
