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

// Findings are what an experiment found.
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
	Against     string       `json:"against,omitempty"`  // the folder of the play that it is compared with
	Failures    []string     `json:"failures,omitempty"` // runs that could not be played
	Unfinished  bool         `json:"unfinished,omitempty"`

	before []Outcome       // of that play
	agents map[string]bool // the arms that are agents
}

// Held reports whether the rules held in all runs with an agent.
func (f Findings) Held() bool {
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

// readOutcomes reads what another play of an experiment left in its folder.
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

// Run plays an experiment: each day with each arm, repeated, paired by seed: equal repeats of all arms get the same
// arrivals, work and troubles. What is finished is written to the folder as it comes, so that an interrupted run, a full
// disk or a run that fails leaves it. Progress goes to out, a line a run. With against, the folder of another play of the same
// days, as by an earlier program, each arm is compared with itself there, too.
func Run(ctx context.Context, spec *Spec, self, dir, against string, out io.Writer) (Findings, error) {
	f := Findings{Name: spec.Name, Question: spec.Question, Simulated: spec.Simulated, Began: time.Now().UTC(),
		Planned: spec.Repeats * len(spec.Variants) * spec.days(), agents: map[string]bool{}}
	for _, a := range spec.Variants {
		f.agents[a.Name] = a.Kind == AgentKind
	}
	if against != "" {
		var err error
		if f.before, err = readOutcomes(against); err != nil { // before it is overwritten, where it is the same folder
			return f, err
		}
		f.Against = against
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return f, fmt.Errorf("the folder for the report: %w", err)
	}
	if err := f.save(spec, dir); err != nil { // before an hour of runs finds that it can't
		return f, err
	}
	began := time.Now()
	runs := spec.runs()
	results, stop := f.playAll(ctx, spec, self, runs)
	defer stop()
	for i, r := range runs {
		if ctx.Err() != nil {
			f.Unfinished = true
			return f, f.write(spec, dir)
		}
		o, err := results(i)
		if err != nil {
			f.Failures = append(f.Failures, fmt.Sprintf("%s with %s, repeat %d: %v", spec.dayNames()[r.day], spec.Variants[r.arm].Name, r.repeat+1, err))
			fmt.Fprintln(out, "FAILED:", f.Failures[len(f.Failures)-1])
			continue
		}
		f.Outcomes = append(f.Outcomes, o)
		left := time.Since(began) / time.Duration(i+1) * time.Duration(f.Planned-i-1)
		note := ""
		if !o.Account.RulesHold() {
			note = "  RULE BROKEN"
		}
		fmt.Fprintf(out, "%3d of %d  %-12s %-12s repeat %d  service %.3f  p99 %.0f ms%s  (%v left)\n", len(f.Outcomes), f.Planned, o.Day, o.Variant,
			r.repeat+1, o.Overall, o.Latency["all"].P99, note, left.Round(time.Second))
		if err := f.save(spec, dir); err != nil {
			return f, err
		}
	}
	return f, f.write(spec, dir)
}

// one is a run of an experiment, by index.
type one struct{ repeat, day, arm int }

func (s *Spec) runs() (out []one) {
	for repeat := range s.Repeats {
		for day := range s.days() {
			for arm := range s.Variants {
				out = append(out, one{repeat, day, arm})
			}
		}
	}
	return out
}

// playAll returns a function that gives the outcome of each run, to be asked for in order, and one that ends what is under
// way. Runs on sockets are played when they are asked for, one by one, as they would disturb each other; simulated ones side
// by side, a core each.
func (f *Findings) playAll(ctx context.Context, spec *Spec, self string, runs []one) (next func(i int) (Outcome, error), stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	play := func(i int) (Outcome, error) {
		if err := ctx.Err(); err != nil {
			return Outcome{}, err
		}
		return f.play(ctx, spec, self, runs[i].repeat, runs[i].day, runs[i].arm)
	}
	if !spec.Simulated {
		return play, cancel
	}
	type result struct {
		o   Outcome
		err error
	}
	results := make([]chan result, len(runs))
	for i := range results {
		results[i] = make(chan result, 1)
	}
	var begun atomic.Int64
	var players sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		players.Go(func() {
			for i := int(begun.Add(1)) - 1; i < len(runs); i = int(begun.Add(1)) - 1 {
				o, err := play(i)
				results[i] <- result{o, err}
			}
		})
	}
	next = func(i int) (Outcome, error) {
		r := <-results[i]
		return r.o, r.err
	}
	return next, func() {
		cancel()
		players.Wait()
	}
}

func (f *Findings) play(ctx context.Context, spec *Spec, self string, repeat, d, a int) (Outcome, error) {
	day, err := spec.draw(d, spec.Seed+uint64(repeat))
	if err != nil {
		return Outcome{}, err
	}
	arm := spec.Variants[a].arm(self)
	if spec.Simulated {
		return Simulate(day, arm)
	}
	return RunScenario(ctx, day, arm, nil)
}

// save writes the figures.
func (f *Findings) save(spec *Spec, dir string) error {
	f.Rows, f.Differences = rows(f.Outcomes, spec.dayNames(), spec.armNames()), nil
	if len(spec.Variants) > 1 {
		f.Differences = differences(f.Outcomes, spec.dayNames(), spec.armNames())
	}
	f.Differences = append(f.Differences, differencesFrom(f.before, f.Outcomes, spec.dayNames(), spec.armNames())...)
	if spec.Gate {
		f.Gate = gate(f.Outcomes, spec.Variants, spec.calm())
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
