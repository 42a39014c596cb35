package experiment

import (
	"errors"
	"fmt"
	"slices"

	"ryeweir/internal/config"
	"ryeweir/internal/config/operator"
	"ryeweir/internal/emulator"
)

// VariantSpec is a variant in an experiment's file, an [[arm]] there.
type VariantSpec struct {
	Name     string   `toml:"name"`
	Kind     string   `toml:"kind"`     // agent, random, round-robin, two-choices, oracle or late
	Binary   string   `toml:"binary"`   // of an agent: another build of this program; empty for this one
	Flags    []string `toml:"flags"`    // of an agent: more arguments
	Operator string   `toml:"operator"` // of an agent: its operators' file
	MemoryMB int      `toml:"memory_mb"`
	Sockets  int      `toml:"sockets"`
	Cores    float64  `toml:"cores"`
}

// AgentKind is the kind of a variant that is the agent.
const AgentKind = "agent"

// Spec is an experiment's file.
type Spec struct {
	Name      string                   `toml:"name"`
	Question  string                   `toml:"question"`
	Repeats   int                      `toml:"repeats"`
	Seed      uint64                   `toml:"seed"`
	Simulated bool                     `toml:"simulated"`
	Variants  []VariantSpec            `toml:"arm"`
	Scenarios []emulator.ScenarioSpec  `toml:"day"`
	Fleets    []emulator.FleetScenario `toml:"fleet_day"` // drawn anew for each seed; in simulated time
	Gate      bool                     `toml:"gate"`      // judge the agents' runs against the delayed oracle
}

const (
	maxRepeats = 200
	maxRuns    = 2000
)

// Check applies the defaults and reports all that is wrong.
func (s *Spec) Check() error {
	if s.Repeats == 0 {
		s.Repeats = 5
	}
	if s.Seed == 0 {
		s.Seed = 1
	}
	errs := []error{s.checkRuns()}
	variantNames := map[string]bool{}
	for i, variant := range s.Variants {
		errs = append(errs, variant.check(fmt.Sprintf("arm[%d].", i), s.Simulated, variantNames))
	}
	dayNames := map[string]bool{}
	for i := range s.Scenarios {
		errs = append(errs, s.checkDay(i, dayNames))
	}
	for i := range s.Fleets {
		errs = append(errs, s.checkFleet(i, dayNames))
	}
	delayed := slices.ContainsFunc(s.Variants, func(v VariantSpec) bool { return v.Kind == DelayedOracle })
	if s.Gate && !delayed {
		errs = append(errs, config.Wrong("gate", "needs an arm of the kind %q", DelayedOracle))
	}
	return errors.Join(errs...)
}

// checkRuns checks the number of runs.
func (s *Spec) checkRuns() error {
	var errs []error
	if s.Repeats < 1 || s.Repeats > maxRepeats {
		errs = append(errs, config.Wrong("repeats", "must be from 1 to %d, not %d", maxRepeats, s.Repeats))
	}
	if len(s.Variants) == 0 || s.dayCount() == 0 {
		errs = append(errs, config.Wrong("name", "an experiment needs an [[arm]], and a [[day]] or a [[fleet_day]]"))
	}
	if n := s.Repeats * len(s.Variants) * s.dayCount(); n > maxRuns {
		errs = append(errs, config.Wrong("repeats", "%d runs are more than %d", n, maxRuns))
	}
	return errors.Join(errs...)
}

// check checks one variant, whose keys begin with prefix, and adds its name to those in use.
func (spec VariantSpec) check(prefix string, simulated bool, names map[string]bool) error {
	var errs []error
	wrong := func(key, format string, args ...any) { errs = append(errs, config.Wrong(prefix+key, format, args...)) }
	if spec.Name == "" || names[spec.Name] {
		wrong("name", "%q is missing or there already", spec.Name)
	}
	names[spec.Name] = true
	if spec.Kind != AgentKind && NewChooser(spec.Kind, 1) == nil {
		wrong("kind", "%q is none of agent, random, round-robin, two-choices, oracle and late", spec.Kind)
	}
	if spec.Kind == DelayedOracle && !simulated {
		wrong("kind", "only simulated time knows what was true before")
	}
	if spec.Kind != AgentKind && (spec.Binary != "" || len(spec.Flags) > 0 || spec.Operator != "") {
		wrong("binary", "only an agent is a program")
	}
	if simulated && spec.Binary != "" {
		wrong("binary", "simulated time has no processes")
	}
	if _, err := operator.Load(spec.Operator); err != nil {
		wrong("operator", "%v", err)
	}
	if spec.MemoryMB < 0 || spec.Sockets < 0 || spec.Cores < 0 {
		wrong("memory_mb", "limits must not be below 0")
	}
	return errors.Join(errs...)
}

// checkDay applies a day's defaults, checks it, and adds its name to those in use.
func (s *Spec) checkDay(index int, names map[string]bool) error {
	var errs []error
	day, prefix := &s.Scenarios[index], fmt.Sprintf("day[%d].", index)
	day.ApplyDefaults()
	if names[day.Name] {
		errs = append(errs, config.Wrong(prefix+"name", "%q is there already", day.Name))
	}
	names[day.Name] = true
	errs = append(errs, day.Check(prefix))
	if !s.Simulated {
		errs = append(errs, checkProcesses(prefix, day))
	}
	return errors.Join(errs...)
}

// checkFleet does the same for the day of a whole fleet.
func (s *Spec) checkFleet(index int, names map[string]bool) error {
	fleet, prefix := &s.Fleets[index], fmt.Sprintf("fleet_day[%d].", index)
	errs := []error{fleet.Check(prefix)} // it applies the default name, too
	if names[fleet.Name] {
		errs = append(errs, config.Wrong(prefix+"name", "%q is there already", fleet.Name))
	}
	names[fleet.Name] = true
	if !s.Simulated {
		errs = append(errs, config.Wrong(prefix+"kind", "a fleet's days need simulated time"))
	}
	return errors.Join(errs...)
}

// dayCount is how many there are, those of fleets behind the others.
func (s *Spec) dayCount() int { return len(s.Scenarios) + len(s.Fleets) }

// draw draws a day by its number.
func (s *Spec) draw(index int, seed uint64) (*emulator.Scenario, error) {
	if index < len(s.Scenarios) {
		return s.Scenarios[index].Draw(seed)
	}
	spec := s.Fleets[index-len(s.Scenarios)].Spec(seed)
	return spec.Draw(seed)
}

// faultFreeDays are the days without a fault, for the gate.
func (s *Spec) faultFreeDays() map[string]bool {
	out := map[string]bool{}
	for _, f := range s.Fleets {
		out[f.Name] = f.Kind == emulator.CalmScenario
	}
	return out
}

// checkProcesses rejects a day with more agents than emulator.MaxProcesses.
func checkProcesses(prefix string, d *emulator.ScenarioSpec) error {
	if d.Agents > emulator.MaxProcesses {
		return config.Wrong(prefix+"agents", "more than %d need simulated time", emulator.MaxProcesses)
	}
	return nil
}

// resolve returns the variant with its defaults; self is the path of this program.
func (spec VariantSpec) resolve(self string) Variant {
	variant := Variant{Name: spec.Name, Chooser: spec.Kind}
	if spec.Kind == AgentKind {
		binary := spec.Binary
		if binary == "" {
			binary = self
		}
		variant.Chooser, variant.Command = "", append([]string{binary, "agent"}, spec.Flags...)
		variant.Operator = spec.Operator
		if spec.Operator != "" {
			variant.Command = append(variant.Command, "--operator", spec.Operator)
		}
		variant.Limits = emulator.DefaultLimits()
		if spec.MemoryMB > 0 {
			variant.Limits.MemoryMB = spec.MemoryMB
		}
		if spec.Sockets > 0 {
			variant.Limits.Sockets = spec.Sockets
		}
		if spec.Cores > 0 {
			variant.Limits.Cores = spec.Cores
		}
	}
	return variant
}

// dayNames are the names of all days, in the order of their numbers.
func (s *Spec) dayNames() (out []string) {
	for _, d := range s.Scenarios {
		out = append(out, d.Name)
	}
	for _, f := range s.Fleets {
		out = append(out, f.Name)
	}
	return out
}

// variantNames are the names of all variants.
func (s *Spec) variantNames() (out []string) {
	for _, a := range s.Variants {
		out = append(out, a.Name)
	}
	return out
}

// WorldSpec is the file of nodes and discovery without agents or callers.
type WorldSpec struct {
	Seed     uint64                `toml:"seed"`
	Dir      string                `toml:"dir"` // where the agents' configurations are written
	Scenario emulator.ScenarioSpec `toml:"day"`
}

// Check applies the defaults and reports all that is wrong.
func (s *WorldSpec) Check() error {
	if s.Seed == 0 {
		s.Seed = 1
	}
	s.Scenario.ApplyDefaults()
	return errors.Join(s.Scenario.Check("day."), checkProcesses("day.", &s.Scenario), checkStandalone(&s.Scenario))
}

// checkStandalone rejects faults of agents, which only an experiment can inject: it starts their processes.
func checkStandalone(d *emulator.ScenarioSpec) error {
	if len(d.Fleet.AgentFaults) > 0 || len(d.Fleet.Paths) > 0 {
		return config.Wrong("day.fleet", "what befalls agents and the ways between them is played by experiments, which start the agents")
	}
	return nil
}

// LoadSpec is the file of callers for an agent that runs already.
type LoadSpec struct {
	Seed     uint64                `toml:"seed"`
	Targets  []string              `toml:"targets"` // an agent's clients' address each
	Scenario emulator.ScenarioSpec `toml:"day"`
}

// Check applies the defaults and reports all that is wrong.
func (s *LoadSpec) Check() error {
	if s.Seed == 0 {
		s.Seed = 1
	}
	s.Scenario.ApplyDefaults()
	if len(s.Targets) > 0 {
		s.Scenario.Agents = len(s.Targets)
	}
	return errors.Join(s.Scenario.Check("day."), checkProcesses("day.", &s.Scenario), checkStandalone(&s.Scenario))
}

// FileKind is what a TOML file is, by its first tables: an experiment, a model of a fleet, an operators' file, a drill, a world or load.
func FileKind(top map[string]any) string {
	keys := make([]string, 0, len(top))
	for k := range top {
		keys = append(keys, k)
	}
	switch {
	case slices.Contains(keys, "fleet_arm"):
		return "fleet"
	case slices.ContainsFunc(keys, func(k string) bool {
		return k == "connections" || k == "drain" || k == "probes" || k == "snapshot" || k == "overload" || k == "peers"
	}):
		return "operator"
	case slices.Contains(keys, "expect"):
		return "drill"
	case slices.Contains(keys, "arm") || slices.Contains(keys, "repeats") || slices.Contains(keys, "question"):
		return "experiment"
	case slices.Contains(keys, "targets"):
		return "load"
	case slices.Contains(keys, "day") || slices.Contains(keys, "dir"):
		return "world"
	}
	return ""
}
