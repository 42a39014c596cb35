package experiment

import (
	"context"
	"encoding/json"
	"errors"
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

// Findings are the results of an experiment, as figures.json holds them.
type Findings struct {
	Name        string       `json:"name"`
	Question    string       `json:"question"`
	Simulated   bool         `json:"simulated"`
	Began       time.Time    `json:"began"`
	Planned     int          `json:"runs_planned"`
	Rows        []Row        `json:"rows"`
	Differences []Difference `json:"differences"`
	Outcomes    []Outcome    `json:"outcomes"`
	Gate        []GateRow    `json:"gate,omitempty"`     // where the file asks for it
	Against     string       `json:"against,omitempty"`  // the folder of the earlier run that it is compared with
	Failures    []string     `json:"failures,omitempty"` // runs that ended with an error
	Unfinished  bool         `json:"unfinished,omitempty"`

	baseline []Outcome       // the outcomes in that folder
	agents   map[string]bool // names of the variants that are agents
}

// RulesHeld reports whether the rules held in all runs with an agent.
func (f Findings) RulesHeld() bool {
	for _, o := range f.Outcomes {
		if f.agents[o.Variant] && !o.Account.RulesHold() {
			return false
		}
	}
	return true
}

// Passed reports whether each run that was to be judged has passed the gate.
func (f Findings) Passed() bool {
	return !slices.ContainsFunc(f.Gate, func(r GateRow) bool { return !r.Passed })
}

// readOutcomes reads the outcomes that an earlier run of an experiment left in its folder.
func readOutcomes(dir string) ([]Outcome, error) {
	text, err := os.ReadFile(filepath.Join(dir, "figures.json"))
	if err != nil {
		return nil, fmt.Errorf("the play to compare with: %w", err)
	}
	var f Findings
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("the play to compare with: %s: %w", dir, err)
	}
	return f.Outcomes, nil
}

// Run runs an experiment: each day with each variant, repeated. The runs of one repeat have the same seed, and with it the same arrivals,
// work and faults. self is the path of this program. figures.json in dir is rewritten after each run, so that an interruption, a full disk
// or a failed run keeps what is finished. Progress goes to out, one line per run. against, where it is not empty, is the folder of an
// earlier run of the same days: each variant is then compared with itself there, too.
func Run(ctx context.Context, spec *Spec, self, dir, against string, out io.Writer) (Findings, error) {
	findings := Findings{Name: spec.Name, Question: spec.Question, Simulated: spec.Simulated, Began: time.Now().UTC(),
		Planned: spec.Repeats * len(spec.Variants) * spec.dayCount(), agents: map[string]bool{}}
	for _, a := range spec.Variants {
		findings.agents[a.Name] = a.Kind == AgentKind
	}
	if against != "" {
		var err error
		if findings.baseline, err = readOutcomes(against); err != nil { // before it is overwritten, where it is the same folder
			return findings, err
		}
		findings.Against = against
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return findings, fmt.Errorf("the folder for the report: %w", err)
	}
	if err := findings.save(spec, dir); err != nil { // before an hour of runs finds that it can't
		return findings, err
	}
	began := time.Now()
	runs := spec.runs()
	results, stop := findings.startRuns(ctx, spec, self, runs)
	defer stop()
	for i, run := range runs {
		if ctx.Err() != nil {
			findings.Unfinished = true
			return findings, findings.write(spec, dir)
		}
		outcome, err := results(i)
		if err != nil {
			findings.Failures = append(findings.Failures, fmt.Sprintf("%s with %s, repeat %d: %v", spec.dayNames()[run.day], spec.Variants[run.variant].Name, run.repeat+1, err))
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
	return findings, findings.write(spec, dir)
}

// runIndex is a run of an experiment, by index.
type runIndex struct{ repeat, day, variant int }

// runs lists the runs in their order: by repeat, then day, then variant.
func (s *Spec) runs() (out []runIndex) {
	for repeat := range s.Repeats {
		for day := range s.dayCount() {
			for variant := range s.Variants {
				out = append(out, runIndex{repeat, day, variant})
			}
		}
	}
	return out
}

// startRuns returns a function that gives the outcome of each run, to be called in order, and one that stops the runs in progress. Runs on
// sockets run when they are asked for, one by one, as they would disturb each other; simulated ones run side by side, one per
// processor.
func (f *Findings) startRuns(ctx context.Context, spec *Spec, self string, runs []runIndex) (next func(i int) (Outcome, error), stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	execute := func(i int) (Outcome, error) {
		if err := ctx.Err(); err != nil {
			return Outcome{}, err
		}
		return f.execute(ctx, spec, self, runs[i].repeat, runs[i].day, runs[i].variant)
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

// execute draws the day of a run and runs it, on sockets or in simulated time.
func (f *Findings) execute(ctx context.Context, spec *Spec, self string, repeat, dayIndex, variantIndex int) (Outcome, error) {
	day, err := spec.draw(dayIndex, spec.Seed+uint64(repeat))
	if err != nil {
		return Outcome{}, err
	}
	variant := spec.Variants[variantIndex].resolve(self)
	if spec.Simulated {
		return Simulate(day, variant)
	}
	return RunScenario(ctx, day, variant, nil)
}

// save writes the figures.
func (f *Findings) save(spec *Spec, dir string) error {
	f.Rows, f.Differences = rows(f.Outcomes, spec.dayNames(), spec.variantNames()), nil
	if len(spec.Variants) > 1 {
		f.Differences = differences(f.Outcomes, spec.dayNames(), spec.variantNames())
	}
	f.Differences = append(f.Differences, differencesFromBaseline(f.baseline, f.Outcomes, spec.dayNames(), spec.variantNames())...)
	if spec.Gate {
		f.Gate = gate(f.Outcomes, spec.Variants, spec.faultFreeDays())
	}
	text, err := json.MarshalIndent(f, "", " ")
	if err != nil {
		return fmt.Errorf("figures: %w", err)
	}
	return replace(filepath.Join(dir, "figures.json"), text)
}

// write writes the figures, the report and the plots.
func (f *Findings) write(spec *Spec, dir string) error {
	return errors.Join(f.save(spec, dir), report(f, spec, dir))
}

// replace writes a file whole, or leaves the one that was there.
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
