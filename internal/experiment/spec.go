package experiment

import (
	"errors"
	"fmt"
	"slices"

	"ryeweir/internal/config"
	"ryeweir/internal/config/operator"
	"ryeweir/internal/emulator"
)

// VariantSpec is an arm in an experiment's file.
type VariantSpec struct {
	Name     string   `toml:"name"`
	Kind     string   `toml:"kind"`     // agent, random, round-robin, two-choices or oracle
	Binary   string   `toml:"binary"`   // of an agent: another build of this program; empty for this one
	Flags    []string `toml:"flags"`    // of an agent: more arguments
	Operator string   `toml:"operator"` // of an agent: its operators' file
	MemoryMB int      `toml:"memory_mb"`
	Sockets  int      `toml:"sockets"`
	Cores    float64  `toml:"cores"`
}

// AgentKind is the kind of arm that is an agent's process.
const AgentKind = "agent"

// Spec is an experiment's file.
type Spec struct {
	Name      string                   `toml:"name"`
	Question  string                   `toml:"question"`
	Repeats   int                      `toml:"repeats"`
	Seed      uint64                   `toml:"seed"`
	Simulated bool                     `toml:"simulated"`
	Variants  []VariantSpec            `toml:"arm"`
	Days      []emulator.ScenarioSpec  `toml:"day"`
	Fleets    []emulator.FleetScenario `toml:"fleet_day"` // drawn anew for each seed; in simulated time
	Gate      bool                     `toml:"gate"`      // judge the agents' runs against the arm that sees the state late
}

const (
	maxRepeats = 200
	maxRuns    = 2000
)

// Check puts in the defaults and says what is wrong.
func (s *Spec) Check() error {
	var all []error
	wrong := func(key, format string, args ...any) { all = append(all, config.Wrong(key, format, args...)) }
	if s.Repeats == 0 {
		s.Repeats = 5
	}
	if s.Seed == 0 {
		s.Seed = 1
	}
	if s.Repeats < 1 || s.Repeats > maxRepeats {
		wrong("repeats", "must be from 1 to %d, not %d", maxRepeats, s.Repeats)
	}
	if len(s.Variants) == 0 || s.dayCount() == 0 {
		wrong("name", "an experiment needs an [[arm]], and a [[day]] or a [[fleet_day]]")
	}
	if n := s.Repeats * len(s.Variants) * s.dayCount(); n > maxRuns {
		wrong("repeats", "%d runs are more than %d", n, maxRuns)
	}
	names := map[string]bool{}
	for i, a := range s.Variants {
		key := fmt.Sprintf("arm[%d].", i)
		if a.Name == "" || names[a.Name] {
			wrong(key+"name", "%q is missing or there already", a.Name)
		}
		names[a.Name] = true
		if a.Kind != AgentKind && NewChooser(a.Kind, 1) == nil {
			wrong(key+"kind", "%q is none of agent, random, round-robin, two-choices, oracle and late", a.Kind)
		}
		if a.Kind == DelayedOracle && !s.Simulated {
			wrong(key+"kind", "only simulated time knows what was true before")
		}
		if a.Kind != AgentKind && (a.Binary != "" || len(a.Flags) > 0 || a.Operator != "") {
			wrong(key+"binary", "only an agent is a program")
		}
		if s.Simulated && a.Binary != "" {
			wrong(key+"binary", "simulated time has no processes")
		}
		if _, err := operator.Load(a.Operator); err != nil {
			wrong(key+"operator", "%v", err)
		}
		if a.MemoryMB < 0 || a.Sockets < 0 || a.Cores < 0 {
			wrong(key+"memory_mb", "limits must not be below 0")
		}
	}
	names = map[string]bool{}
	for i := range s.Days {
		d := &s.Days[i]
		d.ApplyDefaults()
		if names[d.Name] {
			wrong(fmt.Sprintf("day[%d].name", i), "%q is there already", d.Name)
		}
		names[d.Name] = true
		prefix := fmt.Sprintf("day[%d].", i)
		if err := d.Check(prefix); err != nil {
			all = append(all, err)
		}
		if !s.Simulated {
			all = append(all, checkProcesses(prefix, d))
		}
	}
	for i := range s.Fleets {
		prefix := fmt.Sprintf("fleet_day[%d].", i)
		if err := s.Fleets[i].Check(prefix); err != nil {
			all = append(all, err)
		}
		if names[s.Fleets[i].Name] {
			wrong(prefix+"name", "%q is there already", s.Fleets[i].Name)
		}
		names[s.Fleets[i].Name] = true
		if !s.Simulated {
			wrong(prefix+"kind", "a fleet's days need simulated time")
		}
	}
	if late := slices.ContainsFunc(s.Variants, func(a VariantSpec) bool { return a.Kind == DelayedOracle }); s.Gate && !late {
		wrong("gate", "needs an arm of the kind %q", DelayedOracle)
	}
	return errors.Join(all...)
}

// dayCount is how many there are, those of fleets behind the others.
func (s *Spec) dayCount() int { return len(s.Days) + len(s.Fleets) }

// draw draws a day by its number.
func (s *Spec) draw(index int, seed uint64) (*emulator.Scenario, error) {
	if index < len(s.Days) {
		return s.Days[index].Draw(seed)
	}
	spec := s.Fleets[index-len(s.Days)].Spec(seed)
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

// checkProcesses refuses a day with more agents than there can be processes.
func checkProcesses(prefix string, d *emulator.ScenarioSpec) error {
	if d.Agents > emulator.MaxProcesses {
		return config.Wrong(prefix+"agents", "more than %d need simulated time", emulator.MaxProcesses)
	}
	return nil
}

// resolve is the arm of a file's entry; self is the path of this program.
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

func (s *Spec) dayNames() (out []string) {
	for _, d := range s.Days {
		out = append(out, d.Name)
	}
	for _, f := range s.Fleets {
		out = append(out, f.Name)
	}
	return out
}

func (s *Spec) variantNames() (out []string) {
	for _, a := range s.Variants {
		out = append(out, a.Name)
	}
	return out
}

// WorldSpec is the file of a world that stands by itself.
type WorldSpec struct {
	Seed uint64                `toml:"seed"`
	Dir  string                `toml:"dir"` // where the agents' configurations are written
	Day  emulator.ScenarioSpec `toml:"day"`
}

// Check puts in the defaults and says what is wrong.
func (s *WorldSpec) Check() error {
	if s.Seed == 0 {
		s.Seed = 1
	}
	s.Day.ApplyDefaults()
	return errors.Join(s.Day.Check("day."), checkProcesses("day.", &s.Day), checkStandalone(&s.Day))
}

// checkStandalone refuses what befalls agents where somebody else starts them.
func checkStandalone(d *emulator.ScenarioSpec) error {
	if len(d.Fleet.AgentFaults) > 0 || len(d.Fleet.Paths) > 0 {
		return config.Wrong("day.fleet", "what befalls agents and the ways between them is played by experiments, which start the agents")
	}
	return nil
}

// LoadSpec is the file of callers for an agent that runs already.
type LoadSpec struct {
	Seed    uint64                `toml:"seed"`
	Targets []string              `toml:"targets"` // an agent's clients' address each
	Day     emulator.ScenarioSpec `toml:"day"`
}

// Check puts in the defaults and says what is wrong.
func (s *LoadSpec) Check() error {
	if s.Seed == 0 {
		s.Seed = 1
	}
	s.Day.ApplyDefaults()
	if len(s.Targets) > 0 {
		s.Day.Agents = len(s.Targets)
	}
	return errors.Join(s.Day.Check("day."), checkProcesses("day.", &s.Day), checkStandalone(&s.Day))
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
