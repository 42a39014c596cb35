package main

import (
	"errors"
	"fmt"
	"strings"

	"ryeweir/internal/config"
	"ryeweir/internal/config/operator"
	"ryeweir/internal/emulator"
	"ryeweir/internal/experiment"
)

// describeTOML returns a short description of one of this program's TOML files, or an error that says what is wrong with it. The kind of
// the file follows from its keys.
func describeTOML(file string, data []byte) (string, error) {
	kind, err := experiment.DetectFileKind(file, data)
	if err != nil {
		return "", err
	}
	switch kind {
	case "experiment":
		var s experiment.Spec
		if err := config.TOML(file, data, &s); err != nil {
			return "", err
		}
		return fmt.Sprintf("experiment %s: %d scenarios ([[day]]) with %d variants, %d repeats", s.Name, len(s.Scenarios), len(s.Variants), s.Repeats), nil
	case "drill":
		var s experiment.DrillSpec
		if err := config.TOML(file, data, &s); err != nil {
			return "", err
		}
		return describeScenario("drill "+s.Name, &s.Scenario, s.Seed)
	case "fleet":
		s := experiment.DefaultFleet()
		if err := config.TOML(file, data, &s); err != nil {
			return "", err
		}
		return fmt.Sprintf("fleet model %s: %d agents and %d servers with %d variants, %d repeats", s.Name, s.Agents, s.Servers, len(s.Variants), s.Repeats), nil
	case "operator":
		f, err := operator.Parse(file, data)
		if err != nil {
			return "", err
		}
		var text strings.Builder
		f.Describe(&text)
		return strings.TrimSuffix(text.String(), "\n"), nil
	case "load":
		var s experiment.LoadSpec
		if err := config.TOML(file, data, &s); err != nil {
			return "", err
		}
		return describeScenario("load on "+fmt.Sprint(s.Targets), &s.Scenario, s.Seed)
	case "world":
		var s experiment.WorldSpec
		if err := config.TOML(file, data, &s); err != nil {
			return "", err
		}
		return describeScenario("world", &s.Scenario, s.Seed)
	}
	return "", &config.Error{File: file, Err: errors.New("its keys are those of neither an experiment, a drill, a fleet model, an operators' file, a world, a load nor a deployment")}
}

// describeScenario returns one line on the scenario that a specification and a seed draw, or the error of drawing it.
func describeScenario(what string, spec *emulator.ScenarioSpec, seed uint64) (string, error) {
	scenario, err := spec.Draw(seed)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s: scenario %s of %v, %d nodes, %d agents, %.0f requests a second, clients retry %d times, %d faults", what, spec.Name,
		scenario.Length, len(scenario.Nodes), len(scenario.Agents), scenario.Rate, scenario.Clients.Retries, len(scenario.Faults)), nil
}
