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

// DrillSpec is the file of a drill: one day of a fleet of agent processes, with faults of and between them, and the expected outcome.
type DrillSpec struct {
	Name     string                `toml:"name"`
	Question string                `toml:"question"`
	Seed     uint64                `toml:"seed"`
	Operator string                `toml:"operator"` // the agents' operators' file, from the drill's folder; empty for the defaults
	Cores    float64               `toml:"cores"`    // that the platform tells the agents they may use; 0 for what it usually does
	Long     LongSpec              `toml:"long"`
	Expect   Expect                `toml:"expect"`
	Scenario emulator.ScenarioSpec `toml:"day"`
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
	MinReplicaStates   int                `toml:"copies_least"`   // different ones that agents held at once: the faults did set them apart
	ReplicasAgree      bool               `toml:"copies_agree"`   // at the end all agents hold the same
	MaxUnnotified      *int               `toml:"unheard_most"`   // see referee.Account
	MaxNoticeMS        float64            `toml:"notice_ms_most"` // the latest that came by a peer
	MaxSlowStartPeak   float64            `toml:"cold_peak_most"` // of the load that overloads a node in slow start
	MaxHealthCheckWork float64            `toml:"probe_work_most"`
	MinSelfOverloaded  int64              `toml:"pressed_least"` // samples in which an agent found itself overloaded
}

// Check applies the defaults and reports all that is wrong.
func (s *DrillSpec) Check() error {
	if s.Seed == 0 {
		s.Seed = 1
	}
	s.Scenario.ApplyDefaults()
	all := []error{s.Scenario.Check("day."), checkProcesses("day.", &s.Scenario)}
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

// class returns the index of a class by its name, or -1.
func (s *DrillSpec) class(name string) int {
	for i, c := range s.Scenario.Classes {
		if c.Name == name {
			return i
		}
	}
	return -1
}

// DrillResult is the outcome of a drill and its judgement.
type DrillResult struct {
	Outcome            Outcome  `json:"outcome"`
	FailedExpectations []string `json:"wrong,omitempty"`  // the expectations that failed; empty: it passed
	RuleBroken         bool     `json:"broken,omitempty"` // a rule broke, or the drill was interrupted: a second run is no remedy
	MachineOverloaded  bool     `json:"busy,omitempty"`   // the machine was overloaded: only the rules were judged
}

// A machine counts as overloaded in a drill where a call was sent later than maxCallerLagMS behind its planned time, or the drill's threads
// waited longer than maxProcessorWaitMS for a processor on average, both in milliseconds. Nodes and timeouts are no more exact than callers
// then, so that only the rules are judged.
const (
	maxCallerLagMS     = 40
	maxProcessorWaitMS = 0.5
)

// machineOverloaded reports whether the machine was overloaded during a run.
func machineOverloaded(o Outcome) bool {
	return o.Lag > maxCallerLagMS || o.ProcessorWait > maxProcessorWaitMS
}

// RunDrill runs the drill of a file with agents of the program self, in its long form where long is set.
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
			spec.Scenario.Agents = spec.Long.Agents
		}
		if spec.Long.Times > 0 {
			spec.Scenario.ScaleTimes(spec.Long.Times)
		}
	}
	day, err := spec.Scenario.Draw(spec.Seed)
	if err != nil {
		return nil, DrillResult{}, err
	}
	outcome, err := RunScenario(ctx, day, variant, nil)
	if err != nil {
		return nil, DrillResult{}, err
	}
	wrong, broken := spec.judge(outcome)
	return &spec, DrillResult{Outcome: outcome, FailedExpectations: wrong, RuleBroken: broken, MachineOverloaded: machineOverloaded(outcome)}, nil
}
