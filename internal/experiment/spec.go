package experiment

import (
	"errors"
	"fmt"
	"slices"

	"ryeweir/internal/config"
	"ryeweir/internal/config/operator"
	"ryeweir/internal/emulator"
)

// VariantSpec is the [[arm]] of an experiment's file: it specifies a variant.
type VariantSpec struct {
	Name     string   `toml:"name"`
	Kind     string   `toml:"kind"`      // agent, random, round-robin, two-choices, oracle or late
	Binary   string   `toml:"binary"`    // of an agent: the path of another build of this program; empty for this one
	Flags    []string `toml:"flags"`     // of an agent: additional arguments
	Operator string   `toml:"operator"`  // of an agent: the path of its operators' file
	MemoryMB int      `toml:"memory_mb"` // of an agent: the limit of its memory; 0: that of emulator.DefaultLimits
	Sockets  int      `toml:"sockets"`   // of an agent: the limit of its sockets; 0: that of emulator.DefaultLimits
	Cores    float64  `toml:"cores"`     // of an agent: the number of its cores; 0: that of emulator.DefaultLimits
}

// AgentKind is the VariantSpec.Kind of the agent.
const AgentKind = "agent"

// Spec is the content of an experiment's file.
type Spec struct {
	Name      string                   `toml:"name"`
	Question  string                   `toml:"question"`
	Repeats   int                      `toml:"repeats"` // 0: 5
	Seed      uint64                   `toml:"seed"`    // of the first repeat; 0: 1
	Simulated bool                     `toml:"simulated"`
	Variants  []VariantSpec            `toml:"arm"`
	Scenarios []emulator.ScenarioSpec  `toml:"day"`
	Fleets    []emulator.FleetScenario `toml:"fleet_day"` // drawn anew for each seed; in simulated time only
	Gate      bool                     `toml:"gate"`      // compare the agents' runs with those of the delayed oracle; see GateRow
}

const (
	maxRepeats = 200
	maxRuns    = 2000
)

// Check applies the defaults and returns an error that names all wrong keys.
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
	scenarioNames := map[string]bool{}
	for i := range s.Scenarios {
		errs = append(errs, s.checkScenario(i, scenarioNames))
	}
	for i := range s.Fleets {
		errs = append(errs, s.checkFleet(i, scenarioNames))
	}
	delayed := slices.ContainsFunc(s.Variants, func(v VariantSpec) bool { return v.Kind == DelayedOracle })
	if s.Gate && !delayed {
		errs = append(errs, config.Wrong("gate", "true needs an [[arm]] of kind %q to compare the agents with", DelayedOracle))
	}
	return errors.Join(errs...)
}

// checkRuns checks the numbers of variants, scenarios, repeats and runs.
func (s *Spec) checkRuns() error {
	var errs []error
	if s.Repeats < 1 || s.Repeats > maxRepeats {
		errs = append(errs, config.Wrong("repeats", "must be from 1 to %d, not %d", maxRepeats, s.Repeats))
	}
	if len(s.Variants) == 0 || s.scenarioCount() == 0 {
		errs = append(errs, config.Wrong("name", "an experiment needs at least one [[arm]] and at least one [[day]] or [[fleet_day]]"))
	}
	if n := s.Repeats * len(s.Variants) * s.scenarioCount(); n > maxRuns {
		errs = append(errs, config.Wrong("repeats", "%d runs (repeats times arms times days) exceed the maximum of %d", n, maxRuns))
	}
	return errors.Join(errs...)
}

// check checks one variant, whose keys begin with prefix, and adds its name to names, which holds those of the variants before it.
func (spec VariantSpec) check(prefix string, simulated bool, names map[string]bool) error {
	var errs []error
	wrong := func(key, format string, args ...any) { errs = append(errs, config.Wrong(prefix+key, format, args...)) }
	if spec.Name == "" || names[spec.Name] {
		wrong("name", "%q is empty or the name of another arm", spec.Name)
	}
	names[spec.Name] = true
	if spec.Kind != AgentKind && NewChooser(spec.Kind, 1) == nil {
		wrong("kind", "%q is not one of agent, random, round-robin, two-choices, oracle and late", spec.Kind)
	}
	if spec.Kind == DelayedOracle && !simulated {
		wrong("kind", "late needs simulated = true: past states of the nodes are recorded in simulated time only")
	}
	if spec.Kind != AgentKind && (spec.Binary != "" || len(spec.Flags) > 0 || spec.Operator != "") {
		wrong("binary", "binary, flags and operator are allowed for the kind agent only, not for %q", spec.Kind)
	}
	if simulated && spec.Binary != "" {
		wrong("binary", "%q is not allowed with simulated = true, which starts no processes", spec.Binary)
	}
	if _, err := operator.Load(spec.Operator); err != nil {
		wrong("operator", "%v", err)
	}
	if spec.MemoryMB < 0 || spec.Sockets < 0 || spec.Cores < 0 {
		wrong("memory_mb", "memory_mb, sockets and cores must be at least 0, not %d, %d and %v", spec.MemoryMB, spec.Sockets, spec.Cores)
	}
	return errors.Join(errs...)
}

// checkScenario applies the defaults of one [[day]], checks it, and adds its name to names, which holds those of the scenarios before it.
func (s *Spec) checkScenario(index int, names map[string]bool) error {
	var errs []error
	scenario, prefix := &s.Scenarios[index], fmt.Sprintf("day[%d].", index)
	scenario.ApplyDefaults()
	if names[scenario.Name] {
		errs = append(errs, config.Wrong(prefix+"name", "%q is the name of another day", scenario.Name))
	}
	names[scenario.Name] = true
	errs = append(errs, scenario.Check(prefix))
	if !s.Simulated {
		errs = append(errs, checkProcesses(prefix, scenario))
	}
	return errors.Join(errs...)
}

// checkFleet does for one [[fleet_day]] what checkScenario does for a [[day]].
func (s *Spec) checkFleet(index int, names map[string]bool) error {
	fleet, prefix := &s.Fleets[index], fmt.Sprintf("fleet_day[%d].", index)
	errs := []error{fleet.Check(prefix)} // also applies the default name
	if names[fleet.Name] {
		errs = append(errs, config.Wrong(prefix+"name", "%q is the name of another day", fleet.Name))
	}
	names[fleet.Name] = true
	if !s.Simulated {
		errs = append(errs, config.Wrong(prefix+"kind", "a [[fleet_day]] runs in simulated time only, but the top-level key simulated is not true"))
	}
	return errors.Join(errs...)
}

// scenarioCount returns the number of scenarios: those of Scenarios, then those of Fleets.
func (s *Spec) scenarioCount() int { return len(s.Scenarios) + len(s.Fleets) }

// draw draws the scenario with an index from 0 to scenarioCount()-1.
func (s *Spec) draw(index int, seed uint64) (*emulator.Scenario, error) {
	if index < len(s.Scenarios) {
		return s.Scenarios[index].Draw(seed)
	}
	spec := s.Fleets[index-len(s.Scenarios)].Spec(seed)
	return spec.Draw(seed)
}

// faultFreeScenarios returns the names of all fleet scenarios ([[fleet_day]]), with true for those of kind calm, which have no faults. The
// gate expects more of these. A [[day]] is not in it, even if it has no faults.
func (s *Spec) faultFreeScenarios() map[string]bool {
	out := map[string]bool{}
	for _, f := range s.Fleets {
		out[f.Name] = f.Kind == emulator.CalmScenario
	}
	return out
}

// checkProcesses rejects a scenario with more agents than emulator.MaxProcesses.
func checkProcesses(prefix string, d *emulator.ScenarioSpec) error {
	if d.Agents > emulator.MaxProcesses {
		return config.Wrong(prefix+"agents", "must be at most %d where agents run as processes, not %d", emulator.MaxProcesses, d.Agents)
	}
	return nil
}

// resolve returns the variant with its defaults. self is the path of this program.
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

// scenarioNames returns the names of all scenarios, in the order of their indices.
func (s *Spec) scenarioNames() (out []string) {
	for _, d := range s.Scenarios {
		out = append(out, d.Name)
	}
	for _, f := range s.Fleets {
		out = append(out, f.Name)
	}
	return out
}

// variantNames returns the names of all variants.
func (s *Spec) variantNames() (out []string) {
	for _, a := range s.Variants {
		out = append(out, a.Name)
	}
	return out
}

// WorldSpec is the content of a file that specifies nodes and discovery, without agents or callers.
type WorldSpec struct {
	Seed     uint64                `toml:"seed"`
	Dir      string                `toml:"dir"` // the folder to which the agents' configurations are written
	Scenario emulator.ScenarioSpec `toml:"day"`
}

// Check applies the defaults and returns an error that names all wrong keys.
func (s *WorldSpec) Check() error {
	if s.Seed == 0 {
		s.Seed = 1
	}
	s.Scenario.ApplyDefaults()
	return errors.Join(s.Scenario.Check("day."), checkProcesses("day.", &s.Scenario), checkStandalone(&s.Scenario))
}

// checkStandalone rejects faults of agents and of the paths between them. Only experiments and drills can inject these, as they start the
// agents' processes.
func checkStandalone(d *emulator.ScenarioSpec) error {
	if len(d.Fleet.AgentFaults) > 0 || len(d.Fleet.Paths) > 0 {
		return config.Wrong("day.fleet", "faults of agents and of the paths between them are allowed in experiments and drills only, because only these start the agents' processes")
	}
	return nil
}

// LoadSpec is the content of a file that specifies callers for agents that already run.
type LoadSpec struct {
	Seed     uint64                `toml:"seed"`
	Targets  []string              `toml:"targets"` // the client address of each agent, as host:port
	Scenario emulator.ScenarioSpec `toml:"day"`
}

// Check applies the defaults and returns an error that names all wrong keys.
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

// FileKind returns the kind of a TOML file by its top-level keys: "fleet", "operator", "drill", "experiment", "load" or "world", or "" for
// none of these.
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
