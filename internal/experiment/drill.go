package experiment

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"ryeweir/internal/config"
	"ryeweir/internal/config/operator"
	"ryeweir/internal/emulator"
)

// DrillSpec is the file of a drill: a day that a fleet of agent processes lives through, with faults of and between them, and
// what is expected of it.
type DrillSpec struct {
	Name     string                `toml:"name"`
	Question string                `toml:"question"`
	Seed     uint64                `toml:"seed"`
	Operator string                `toml:"operator"` // the agents' operators' file, from the drill's folder; empty for the defaults
	Cores    float64               `toml:"cores"`    // that the platform tells the agents they may use; 0 for what it usually does
	Long     LongSpec              `toml:"long"`
	Expect   Expect                `toml:"expect"`
	Day      emulator.ScenarioSpec `toml:"day"`
}

// LongSpec is what a drill's long form has in place of its short one's.
type LongSpec struct {
	Agents int     `toml:"agents"` // 0: as many
	Times  float64 `toml:"times"`  // that all times of the day are multiplied with; 0: 1
}

// Expect is what a drill expects besides the rules, one answer each and no stranger, which hold in any. What is not stated is
// not expected.
type Expect struct {
	MaxChokes          *int               `toml:"chokes_most"`
	MaxAttempts        float64            `toml:"attempts_most"`    // at nodes, a request
	MinGoodput         float64            `toml:"goodput_least"`    // in the surge
	RecoveredWithin    config.Duration    `toml:"back_within"`      // service after the surge
	MinServed          map[string]float64 `toml:"served_least"`     // by class
	MaxServed          map[string]float64 `toml:"served_most"`      // by class
	MaxPassedOver      float64            `toml:"passed_over_most"` // see Outcome
	MinSpared          float64            `toml:"spared_least"`     // likewise
	AllSeeAll          bool               `toml:"whole"`            // at the end all agents see all others, and after each fault each does at least once
	SplitTo            float64            `toml:"split_to"`         // some agent sees no more than this share of the others in a fault: it did bite
	MinWithheld        int64              `toml:"held_back_least"`
	MinCopies          int                `toml:"copies_least"`   // different ones that agents held at once: the faults did set them apart
	CopiesAgree        bool               `toml:"copies_agree"`   // at the end all agents hold the same
	MaxUnnotified      *int               `toml:"unheard_most"`   // see referee.Account
	MaxNoticeMS        float64            `toml:"notice_ms_most"` // the latest that came by a peer
	MaxSlowStartPeak   float64            `toml:"cold_peak_most"` // of what topples a cold node
	MaxHealthCheckWork float64            `toml:"probe_work_most"`
	MinSelfOverloaded  int64              `toml:"pressed_least"` // looks at which some agent was over itself
}

// Check puts in the defaults and says what is wrong.
func (s *DrillSpec) Check() error {
	if s.Seed == 0 {
		s.Seed = 1
	}
	s.Day.ApplyDefaults()
	all := []error{s.Day.Check("day."), checkProcesses("day.", &s.Day)}
	wrong := func(bad bool, key, format string, args ...any) {
		if bad {
			all = append(all, config.Wrong(key, format, args...))
		}
	}
	wrong(s.Name == "", "name", "is missing")
	wrong(s.Cores < 0 || s.Cores > 64, "cores", "must be from 0 to 64")
	wrong(s.Long.Agents < 0 || s.Long.Agents > emulator.MaxProcesses, "long.agents", "must be from 0 to %d", emulator.MaxProcesses)
	wrong(s.Long.Times < 0 || s.Long.Times > 20, "long.times", "must be from 0 to 20")
	for key, classes := range map[string]map[string]float64{"expect.served_least": s.Expect.MinServed, "expect.served_most": s.Expect.MaxServed} {
		for name := range classes {
			wrong(s.class(name) < 0, key, "%q is no class of the day", name)
		}
	}
	return errors.Join(all...)
}

func (s *DrillSpec) class(name string) int {
	for i, c := range s.Day.Classes {
		if c.Name == name {
			return i
		}
	}
	return -1
}

// DrillResult is what came of a drill.
type DrillResult struct {
	Outcome Outcome  `json:"outcome"`
	Wrong   []string `json:"wrong,omitempty"`  // what was expected and did not come; empty: it passed
	Broken  bool     `json:"broken,omitempty"` // of that a rule, or it was interrupted: no other play makes up for it
	Busy    bool     `json:"busy,omitempty"`   // the machine had too little processor for it: only the rules were judged
}

// A drill is judged by more than its rules where callers sent no later than so after their time, ms, and the rig's threads waited no
// longer for a processor on the mean: a machine that can't keep the callers' times keeps the nodes' no better, and its agents time
// out what a node had done. Callers are 1 to 12 ms late and threads wait 0.001 to 0.014 ms on a machine with a core to spare; 20 and
// 0.3 ms, with all still as expected, beside the project's other tests.
const (
	maxCallerLagMS     = 40
	maxProcessorWaitMS = 0.5
)

func machineOverloaded(o Outcome) bool {
	return o.Lag > maxCallerLagMS || o.ProcessorWait > maxProcessorWaitMS
}

// RunDrill plays a drill's file with agents of a program, in its long form where asked to.
func RunDrill(ctx context.Context, file, self string, long bool) (*DrillSpec, DrillResult, error) {
	var spec DrillSpec
	data, err := config.Read(file)
	if err != nil {
		return nil, DrillResult{}, err
	}
	if err := config.TOML(file, data, &spec); err != nil {
		return nil, DrillResult{}, err
	}
	variant := Variant{Name: spec.Name, Command: []string{self, "agent"}, Limits: emulator.DefaultLimits()}
	if spec.Cores > 0 {
		variant.Limits.Cores = spec.Cores
	}
	if spec.Operator != "" {
		if variant.Operator, err = filepath.Abs(filepath.Join(filepath.Dir(file), spec.Operator)); err != nil {
			return nil, DrillResult{}, fmt.Errorf("the operators' file: %w", err)
		}
		if _, err := os.Stat(variant.Operator); err != nil {
			return nil, DrillResult{}, &config.Error{File: file, Key: "operator", Err: err}
		}
		if _, err := operator.Load(variant.Operator); err != nil {
			return nil, DrillResult{}, err
		}
		variant.Command = append(variant.Command, "--operator", variant.Operator)
	}
	if long {
		if spec.Long.Agents > 0 {
			spec.Day.Agents = spec.Long.Agents
		}
		if spec.Long.Times > 0 {
			spec.Day.ScaleTimes(spec.Long.Times)
		}
	}
	day, err := spec.Day.Draw(spec.Seed)
	if err != nil {
		return nil, DrillResult{}, err
	}
	outcome, err := RunScenario(ctx, day, variant, nil)
	if err != nil {
		return nil, DrillResult{}, err
	}
	wrong, broken := spec.judge(outcome)
	return &spec, DrillResult{Outcome: outcome, Wrong: wrong, Broken: broken, Busy: machineOverloaded(outcome)}, nil
}

// judge says what was expected and did not come, and whether a rule is of that.
func (s *DrillSpec) judge(o Outcome) (wrong []string, broken bool) {
	e := s.Expect
	expect := func(ok bool, format string, args ...any) {
		if !ok {
			wrong = append(wrong, fmt.Sprintf(format, args...))
		}
	}
	a := o.Account
	expect(a.Balanced() && a.RulesHold() && a.UnknownRequests == 0, "the rules, one answer each and no stranger: %+v %v", a, o.Breaches)
	expect(!o.Interrupted, "it was interrupted")
	if broken = len(wrong) > 0; broken || machineOverloaded(o) {
		return wrong, broken
	}
	expect(e.MaxChokes == nil || o.Chokes <= *e.MaxChokes, "%d nodes choked", o.Chokes)
	expect(e.MaxAttempts == 0 || o.Attempts <= e.MaxAttempts, "%.2f attempts a request", o.Attempts)
	expect(e.MaxSlowStartPeak == 0 || o.SlowStartPeak <= e.MaxSlowStartPeak, "a cold node got %.2f of what topples it", o.SlowStartPeak)
	expect(e.MaxHealthCheckWork == 0 || o.HealthCheckWork <= e.MaxHealthCheckWork, "probes took %.4f of the nodes' work", o.HealthCheckWork)
	expect(e.MaxUnnotified == nil || a.Unnotified <= *e.MaxUnnotified, "%d requests came to ending nodes from agents that were not told", a.Unnotified)
	if e.MinGoodput > 0 || e.RecoveredWithin > 0 {
		expect(o.Surge != nil, "the day has no surge")
	}
	if x := o.Surge; x != nil {
		expect(x.Goodput >= e.MinGoodput, "goodput %.3f in the surge", x.Goodput)
		expect(e.RecoveredWithin == 0 || x.Back >= 0 && x.Back <= e.RecoveredWithin.D().Seconds(), "service came back %.0f s after the surge (-1: never)", x.Back)
	}
	expect(o.Spared >= e.MinSpared, "agents that nothing befell served %.3f", o.Spared)
	expect(e.MaxPassedOver == 0 || o.PassedOver <= e.MaxPassedOver, "%.3f of the worthiest were passed over", o.PassedOver)
	if l := o.Levels; l != nil {
		expect(l.Pressed >= e.MinSelfOverloaded, "agents were over themselves at %d looks", l.Pressed)
	} else {
		expect(e.MinSelfOverloaded == 0, "the agents told nothing of budgets")
	}
	for name, least := range e.MinServed {
		got := o.ByClass[s.class(name)]
		expect(got >= least, "%s was served %.3f", name, got)
	}
	for name, most := range e.MaxServed {
		got := o.ByClass[s.class(name)]
		expect(got <= most, "%s was served %.3f", name, got)
	}
	v := o.Views
	if v == nil {
		expect(!e.AllSeeAll && e.SplitTo == 0 && e.MinWithheld == 0 && e.MaxNoticeMS == 0 && e.MinCopies == 0 && !e.CopiesAgree, "the agents told nothing of their peers")
		return wrong, false
	}
	expect(v.Copies >= e.MinCopies, "agents held %d different copies at the most", v.Copies)
	expect(!e.CopiesAgree || v.CopiesLast == 1, "agents held %d different copies at the end", v.CopiesLast)
	expect(v.Withheld >= e.MinWithheld, "nodes were held back %d times on peers' word", v.Withheld)
	expect(e.MaxNoticeMS == 0 || v.NoticeMaxMS <= e.MaxNoticeMS, "a notice took %.0f ms", v.NoticeMaxMS)
	if e.AllSeeAll {
		expect(v.Whole >= 1-1e-9, "%.2f of the agents saw all others at the end", v.Whole)
		for i, h := range v.Healed {
			// Where the next fault ends at the same time there is no while to see it in.
			if i+1 == len(v.Healed) || v.Healed[i+1].At > h.At {
				expect(h.Never == 0, "after %s %d agents never saw all others", h.Fault, h.Never)
			}
		}
	}
	if e.SplitTo > 0 {
		least := s.Day.Agents
		for _, h := range v.Healed {
			least = min(least, h.Least)
		}
		expect(float64(least) <= e.SplitTo*float64(s.Day.Agents-1), "no agent saw fewer than %d others: the cut did not bite", least)
	}
	return wrong, false
}
