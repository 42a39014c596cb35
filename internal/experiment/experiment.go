package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Findings are the results of an experiment. figures.json holds them as JSON.
type Findings struct {
	Name        string       `json:"name"`
	Question    string       `json:"question"`
	Simulated   bool         `json:"simulated"`
	Began       time.Time    `json:"began"`
	Planned     int          `json:"runs_planned"`
	Rows        []Row        `json:"rows"`
	Differences []Difference `json:"differences"`
	Outcomes    []Outcome    `json:"outcomes"`
	Gate        []GateRow    `json:"gate,omitempty"`     // if Spec.Gate is set
	Against     string       `json:"against,omitempty"`  // the folder of the earlier run with which this one is compared
	Failures    []string     `json:"failures,omitempty"` // runs that ended with an error
	Unfinished  bool         `json:"unfinished,omitempty"`

	baseline []Outcome       // the outcomes in the folder Against
	agents   map[string]bool // by name of a variant: whether it is the agent
}

// RulesHeld reports whether the referee's rules held in all runs with an agent.
func (f Findings) RulesHeld() bool {
	for _, o := range f.Outcomes {
		if f.agents[o.Variant] && !o.Account.RulesHold() {
			return false
		}
	}
	return true
}

// Passed reports whether all runs in Gate passed.
func (f Findings) Passed() bool {
	return !slices.ContainsFunc(f.Gate, func(r GateRow) bool { return !r.Passed })
}

// readOutcomes reads the outcomes of an earlier run of an experiment from figures.json in its folder.
func readOutcomes(dir string) ([]Outcome, error) {
	text, err := os.ReadFile(filepath.Join(dir, "figures.json"))
	if err != nil {
		return nil, fmt.Errorf("reading the earlier run to compare with: %w", err)
	}
	var f Findings
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("parsing figures.json of the earlier run to compare with, in %s: %w", dir, err)
	}
	return f.Outcomes, nil
}

// Run runs an experiment: each scenario with each variant, repeated. The runs of one repeat have the same seed, and therefore the same
// arrivals, work and faults. self is the path of this program. Run writes a line of progress to out for each run, and rewrites figures.json
// in dir after each run, so that finished runs survive an interruption, a full disk and a failed run. A run that ends with an error is
// listed in Findings.Failures. When ctx ends, Run returns the finished runs with Unfinished set and no error.
//
// against, unless empty, is the folder of an earlier run of the same scenarios: each variant is then also compared with its outcomes there.
func Run(ctx context.Context, spec *Spec, self, dir, against string, out io.Writer) (Findings, error) {
	findings := Findings{Name: spec.Name, Question: spec.Question, Simulated: spec.Simulated, Began: time.Now().UTC(),
		Planned: spec.Repeats * len(spec.Variants) * spec.scenarioCount(), agents: map[string]bool{}}
	for _, a := range spec.Variants {
		findings.agents[a.Name] = a.Kind == AgentKind
	}
	if against != "" {
		var err error
		if findings.baseline, err = readOutcomes(against); err != nil { // dir may be the same folder: read figures.json before it is overwritten
			return findings, err
		}
		findings.Against = against
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return findings, fmt.Errorf("creating the folder for the report: %w", err)
	}
	if err := findings.save(spec, dir); err != nil { // fail now rather than after an hour of runs if the folder is not writable
		return findings, err
	}
	began := time.Now()
	runs := spec.runs()
	results, stop := findings.startRuns(ctx, spec, self, runs)
	defer stop()
	for i, run := range runs {
		if ctx.Err() != nil {
			findings.Unfinished = true
			return findings, findings.save(spec, dir)
		}
		outcome, err := results(i)
		if err != nil {
			findings.Failures = append(findings.Failures, fmt.Sprintf("%s with %s, repeat %d: %v", spec.scenarioNames()[run.scenario], spec.Variants[run.variant].Name, run.repeat+1, err))
			fmt.Fprintln(out, "FAILED:", findings.Failures[len(findings.Failures)-1])
			continue
		}
		findings.Outcomes = append(findings.Outcomes, outcome)
		left := time.Since(began) / time.Duration(i+1) * time.Duration(findings.Planned-i-1)
		note := ""
		if !outcome.Account.RulesHold() {
			note = "  RULE BROKEN"
		}
		fmt.Fprintf(out, "%3d of %d  %-12s %-12s repeat %d  service %.3f  p99 %.0f ms%s  (%v left)\n", len(findings.Outcomes), findings.Planned, outcome.Scenario, outcome.Variant,
			run.repeat+1, outcome.Overall, outcome.Latency["all"].P99, note, left.Round(time.Second))
		if err := findings.save(spec, dir); err != nil {
			return findings, err
		}
	}
	return findings, findings.save(spec, dir)
}

// runIndex identifies a run of an experiment by its repeat, and by the indices of its scenario and its variant.
type runIndex struct{ repeat, scenario, variant int }

// runs returns all runs in the order of execution: by repeat, then scenario, then variant.
func (s *Spec) runs() (out []runIndex) {
	for repeat := range s.Repeats {
		for scenario := range s.scenarioCount() {
			for variant := range s.Variants {
				out = append(out, runIndex{repeat, scenario, variant})
			}
		}
	}
	return out
}

// startRuns returns two functions. next returns the outcome of the i-th run and must be called in the order of the runs. stop cancels the
// runs in progress and must be called at the end. Runs on sockets would disturb each other, so next executes them one at a time; simulated
// runs execute concurrently, one per processor.
func (f *Findings) startRuns(ctx context.Context, spec *Spec, self string, runs []runIndex) (next func(i int) (Outcome, error), stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	execute := func(i int) (Outcome, error) {
		if err := ctx.Err(); err != nil {
			return Outcome{}, err
		}
		return f.execute(ctx, spec, self, runs[i].repeat, runs[i].scenario, runs[i].variant)
	}
	if !spec.Simulated {
		return execute, cancel
	}
	type result struct {
		outcome Outcome
		err     error
	}
	results := make([]chan result, len(runs))
	for i := range results {
		results[i] = make(chan result, 1)
	}
	var started atomic.Int64
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := int(started.Add(1)) - 1; i < len(runs); i = int(started.Add(1)) - 1 {
				outcome, err := execute(i)
				results[i] <- result{outcome, err}
			}
		})
	}
	next = func(i int) (Outcome, error) {
		result := <-results[i]
		return result.outcome, result.err
	}
	return next, func() {
		cancel()
		workers.Wait()
	}
}

// execute draws the scenario of a run and runs it with its variant, on sockets or in simulated time.
func (f *Findings) execute(ctx context.Context, spec *Spec, self string, repeat, scenarioIndex, variantIndex int) (Outcome, error) {
	scenario, err := spec.draw(scenarioIndex, spec.Seed+uint64(repeat))
	if err != nil {
		return Outcome{}, err
	}
	variant := spec.Variants[variantIndex].resolve(self)
	if spec.Simulated {
		return Simulate(scenario, variant)
	}
	return RunScenario(ctx, scenario, variant, nil)
}

// save recomputes the rows, differences and gate from the outcomes, and writes figures.json.
func (f *Findings) save(spec *Spec, dir string) error {
	f.Rows, f.Differences = rows(f.Outcomes, spec.scenarioNames(), spec.variantNames()), nil
	if len(spec.Variants) > 1 {
		f.Differences = differences(f.Outcomes, spec.scenarioNames(), spec.variantNames())
	}
	f.Differences = append(f.Differences, differencesFromBaseline(f.baseline, f.Outcomes, spec.scenarioNames(), spec.variantNames())...)
	if spec.Gate {
		f.Gate = gate(f.Outcomes, spec.Variants, spec.faultFreeScenarios())
	}
	text, err := json.MarshalIndent(f, "", " ")
	if err != nil {
		return fmt.Errorf("encoding figures.json: %w", err)
	}
	return replace(filepath.Join(dir, "figures.json"), text)
}

// replace writes a file atomically: after an error the old content is still there.
func replace(file string, text []byte) error {
	part := file + ".part"
	if err := os.WriteFile(part, text, 0o644); err != nil {
		os.Remove(part)
		return fmt.Errorf("writing the report: %w", err)
	}
	if err := os.Rename(part, file); err != nil {
		return fmt.Errorf("writing the report: %w", err)
	}
	return nil
}
