package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
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
	Failures    []string     `json:"failures,omitempty"` // runs that could not be played
	Unfinished  bool         `json:"unfinished,omitempty"`
}

// Held reports whether the rules held in all runs with an agent.
func (f Findings) Held() bool {
	for _, o := range f.Outcomes {
		if !o.Account.Held() {
			return false
		}
	}
	return true
}

// Run plays an experiment: each day with each arm, repeated, paired by seed: equal repeats of all arms get the same
// arrivals, work and troubles. What is finished is written to the folder as it comes, so that an interrupted run, a full
// disk or a run that fails leaves it. Progress goes to out, a line a run.
func Run(ctx context.Context, spec *Spec, self, dir string, out io.Writer) (Findings, error) {
	f := Findings{Name: spec.Name, Question: spec.Question, Simulated: spec.Simulated, Began: time.Now().UTC(),
		Planned: spec.Repeats * len(spec.Arms) * len(spec.Days)}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return f, fmt.Errorf("the folder for the report: %w", err)
	}
	if err := f.save(spec, dir); err != nil { // before an hour of runs finds that it can't
		return f, err
	}
	began := time.Now()
	for repeat := range spec.Repeats {
		for d := range spec.Days {
			for a, arm := range spec.Arms {
				if ctx.Err() != nil {
					f.Unfinished = true
					return f, f.write(spec, dir)
				}
				o, err := f.play(ctx, spec, self, repeat, d, a)
				if err != nil {
					f.Failures = append(f.Failures, fmt.Sprintf("%s with %s, repeat %d: %v", spec.Days[d].Name, arm.Name, repeat+1, err))
					fmt.Fprintln(out, "FAILED:", f.Failures[len(f.Failures)-1])
					continue
				}
				f.Outcomes = append(f.Outcomes, o)
				left := time.Since(began) / time.Duration(len(f.Outcomes)+len(f.Failures)) * time.Duration(f.Planned-len(f.Outcomes)-len(f.Failures))
				note := ""
				if !o.Account.Held() {
					note = "  RULE BROKEN"
				}
				fmt.Fprintf(out, "%3d of %d  %-12s %-12s repeat %d  service %.3f  p99 %.0f ms%s  (%v left)\n", len(f.Outcomes), f.Planned, o.Day, o.Arm,
					repeat+1, o.Whole, o.Latency["all"].P99, note, left.Round(time.Second))
				if err := f.save(spec, dir); err != nil {
					return f, err
				}
			}
		}
	}
	return f, f.write(spec, dir)
}

func (f *Findings) play(ctx context.Context, spec *Spec, self string, repeat, d, a int) (Outcome, error) {
	day, err := spec.Days[d].Draw(spec.Seed + uint64(repeat))
	if err != nil {
		return Outcome{}, err
	}
	arm := spec.Arms[a].arm(self)
	if spec.Simulated {
		return Simulate(day, arm)
	}
	return Play(ctx, day, arm, nil)
}

// save writes the figures.
func (f *Findings) save(spec *Spec, dir string) error {
	f.Rows, f.Differences = rows(f.Outcomes, spec.dayNames(), spec.armNames()), nil
	if len(spec.Arms) > 1 {
		f.Differences = differences(f.Outcomes, spec.dayNames(), spec.armNames())
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
