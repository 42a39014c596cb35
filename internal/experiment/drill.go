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

// DrillSpec is the content of a drill's file: one scenario with a fleet of agent processes, faults of the processes and of the paths between
// them, and the expected outcome.
type DrillSpec struct {
	Name     string                `toml:"name"`
	Question string                `toml:"question"`
	Seed     uint64                `toml:"seed"`
	Operator string                `toml:"operator"` // the path of the agents' operators' file, relative to the drill's folder; empty for the defaults
	Cores    float64               `toml:"cores"`    // the number of cores that the agents are configured with; 0 for the default
	Long     LongSpec              `toml:"long"`
	Expect   Expect                `toml:"expect"`
	Scenario emulator.ScenarioSpec `toml:"day"`
}

// LongSpec is how the long form of a drill differs from the short one.
type LongSpec struct {
	Agents int     `toml:"agents"` // number of agents; 0: as in the short form
	Times  float64 `toml:"times"`  // factor by which all times of the scenario are multiplied; 0: 1
}

// Expect has the expectations of a drill. A zero or nil field expects nothing. In addition, each drill expects that no rule is violated, that
// each request has exactly one outcome, and that the nodes got no request that no caller sent.
type Expect struct {
	MaxDegradations      *int               `toml:"chokes_most"`      // see Outcome.Degradations
	MaxAttempts          float64            `toml:"attempts_most"`    // attempts per request that reached nodes
	MinGoodput           float64            `toml:"goodput_least"`    // see Surge.Goodput
	RecoveredWithin      config.Duration    `toml:"back_within"`      // see Surge.RecoverySeconds
	MinServed            map[string]float64 `toml:"served_least"`     // fraction served, by class
	MaxServed            map[string]float64 `toml:"served_most"`      // fraction served, by class
	MaxPassedOver        float64            `toml:"passed_over_most"` // see Outcome.PassedOver
	MinUnaffectedService float64            `toml:"spared_least"`     // see Outcome.UnaffectedService
	FullMembership       bool               `toml:"whole"`            // each agent sees all others at the end, and at least once after each fault
	MaxSplitFraction     float64            `toml:"split_to"`         // in a fault some agent sees at most this fraction of the others, so the fault has an effect
	MinWithheld          int64              `toml:"held_back_least"`  // see PeerSummary.Withheld
	MinReplicaStates     int                `toml:"copies_least"`     // see PeerSummary.MaxReplicaStates: the faults make replicas diverge
	ReplicasAgree        bool               `toml:"copies_agree"`     // at the end all agents' replicas are equal
	MaxUnnotified        *int               `toml:"unheard_most"`     // see referee.Account
	MaxNoticeMS          float64            `toml:"notice_ms_most"`   // see PeerSummary.NoticeMaxMS
	MaxSlowStartPeak     float64            `toml:"cold_peak_most"`   // see Outcome.SlowStartPeak
	MaxHealthCheckWork   float64            `toml:"probe_work_most"`  // see Outcome.HealthCheckWork
	MinSelfOverloaded    int64              `toml:"pressed_least"`    // see AdmissionSummary.SelfOverloaded
}

// Check applies the defaults and returns an error that names all wrong keys.
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
	wrong(s.Cores < 0 || s.Cores > 64, "cores", "must be from 0 to 64, not %v", s.Cores)
	wrong(s.Long.Agents < 0 || s.Long.Agents > emulator.MaxProcesses, "long.agents", "must be from 0 to %d, not %d", emulator.MaxProcesses, s.Long.Agents)
	wrong(s.Long.Times < 0 || s.Long.Times > 20, "long.times", "must be from 0 to 20, not %v", s.Long.Times)
	for key, classes := range map[string]map[string]float64{"expect.served_least": s.Expect.MinServed, "expect.served_most": s.Expect.MaxServed} {
		for name := range classes {
			wrong(s.class(name) < 0, key, "%q is not the name of a class in [day]", name)
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

// DrillResult is the outcome of a drill and how it compares with the expectations.
type DrillResult struct {
	Outcome            Outcome  `json:"outcome"`
	FailedExpectations []string `json:"wrong,omitempty"`  // the expectations that failed; empty: the drill passed
	RuleBroken         bool     `json:"broken,omitempty"` // a rule was violated or the drill was interrupted: there is no point in a second run
	MachineOverloaded  bool     `json:"busy,omitempty"`   // the machine was overloaded, and only the rules were checked
}

// The machine counts as overloaded during a drill if a call was sent more than maxCallerLagMS milliseconds after its planned time, or if the
// drill's threads waited for a processor for more than maxProcessorWaitMS milliseconds on average. Emulated nodes and timeouts are then as
// inexact as the callers, so that only the rules are checked.
const (
	maxCallerLagMS     = 40
	maxProcessorWaitMS = 0.5
)

// machineOverloaded reports whether the machine was overloaded during a run.
func machineOverloaded(o Outcome) bool {
	return o.Lag > maxCallerLagMS || o.ProcessorWait > maxProcessorWaitMS
}

// RunDrill runs the drill that a file specifies, in its long form if long is set. self is the path of this program, which runs the agents.
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
			return nil, DrillResult{}, fmt.Errorf("resolving the path of the operators' file %q: %w", spec.Operator, err)
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
	scenario, err := spec.Scenario.Draw(spec.Seed)
	if err != nil {
		return nil, DrillResult{}, err
	}
	outcome, err := RunScenario(ctx, scenario, variant, nil)
	if err != nil {
		return nil, DrillResult{}, err
	}
	failed, broken := spec.evaluate(outcome)
	return &spec, DrillResult{Outcome: outcome, FailedExpectations: failed, RuleBroken: broken, MachineOverloaded: machineOverloaded(outcome)}, nil
}
