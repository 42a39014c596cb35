package emulator

import (
	"fmt"
	"path"
	"slices"

	"ryeweir/internal/config"
	"ryeweir/internal/emulator/link"
	"ryeweir/internal/emulator/node"
)

// PathSpec impairs or cuts the paths between two groups of hosts for an interval. Hosts are agents, nodes and "discovery", by name
// or by a pattern of path.Match, such as agent-*. Paths between agents exist only if the agents gossip.
type PathSpec struct {
	A      []string        `toml:"a"`
	B      []string        `toml:"b"`   // empty for all hosts that do not match A
	Way    string          `toml:"way"` // BothDirections, or ForwardOnly for what A sends to B; empty is BothDirections
	From   config.Duration `toml:"from"`
	To     config.Duration `toml:"to"`
	Cut    bool            `toml:"cut"`
	Delay  config.Duration `toml:"delay"`  // added to the one-way delay
	Jitter config.Duration `toml:"jitter"` // added to the jitter
	Loss   float64         `toml:"loss"`   // in [0, 1), in addition to the path's own: see link.Conditions
}

// The values of PathSpec.Way.
const (
	BothDirections = "both"
	ForwardOnly    = "forth"
)

// Discovery is the host name of discovery in a PathSpec.
const Discovery = "discovery"

func (p PathSpec) check(key string, report reportFunc) {
	if len(p.A) == 0 {
		report(key+".a", "must have at least one host or pattern")
	}
	for _, pattern := range slices.Concat(p.A, p.B) {
		if _, err := path.Match(pattern, ""); err != nil {
			report(key+".a", "malformed pattern %q in a or b", pattern)
		}
	}
	if p.Way != "" && p.Way != BothDirections && p.Way != ForwardOnly {
		report(key+".way", "must be %s or %s, not %q", BothDirections, ForwardOnly, p.Way)
	}
	changesNothing := !p.Cut && p.Delay == 0 && p.Jitter == 0 && p.Loss == 0
	if err := p.conditions().Check(); err != nil || changesNothing {
		report(key+".cut", "at least one of cut (%v), delay (%v), jitter (%v) and loss (%v) must be set, none may be negative, and loss must be below 1",
			p.Cut, p.Delay.D(), p.Jitter.D(), p.Loss)
	}
}

// checkHosts returns an error if either side matches none of the scenario's hosts: the spec would have no effect, so its names must
// be wrong. If a side has several patterns, some may match nothing, since the same file may be used for a larger fleet.
func (p PathSpec) checkHosts(key string, scenario *Scenario) error {
	for side, patterns := range map[string][]string{"a": p.A, "b": p.B} {
		if len(patterns) > 0 && !scenario.hasHost(patterns) {
			return config.Wrong(key+side, "%v matches no host: hosts are agent-0 to agent-%d, node-01 to node-%02d, and %s", patterns, len(scenario.Agents)-1, len(scenario.Nodes), Discovery)
		}
	}
	return nil
}

func (scenario *Scenario) hasHost(patterns []string) bool {
	isNode := func(n node.Spec) bool { return matches(patterns, n.ID) }
	isAgent := func(agent string) bool { return matches(patterns, agent) }
	return matches(patterns, Discovery) || slices.ContainsFunc(scenario.Agents, isAgent) || slices.ContainsFunc(scenario.Nodes, isNode)
}

// conditions returns the conditions that the spec adds to those of a path.
func (p PathSpec) conditions() link.Conditions {
	return link.Conditions{Delay: p.Delay.D(), Jitter: p.Jitter.D(), Loss: p.Loss, Cut: p.Cut}
}

func matches(patterns []string, host string) bool {
	return slices.ContainsFunc(patterns, func(pattern string) bool {
		ok, _ := path.Match(pattern, host)
		return ok
	})
}

// applies reports whether the spec covers the direction from one host to another.
func (p PathSpec) applies(from, to string) bool {
	inB := func(host string) bool {
		if len(p.B) == 0 {
			return !matches(p.A, host)
		}
		return matches(p.B, host)
	}
	forward := matches(p.A, from) && inB(to)
	reverse := matches(p.A, to) && inB(from)
	return forward || reverse && p.Way != ForwardOnly
}

// appliesBetween reports whether the spec covers either direction between two hosts.
func (p PathSpec) appliesBetween(a, b string) bool { return p.applies(a, b) || p.applies(b, a) }

// String describes the spec for Event.Text.
func (p PathSpec) String() string {
	change := "cut"
	if !p.Cut {
		change = fmt.Sprintf("%v added delay, loss %g", p.Delay.D(), p.Loss)
	}
	if p.Way == ForwardOnly {
		change += ", one direction"
	}
	return fmt.Sprintf("%v to %v: %s", p.A, p.B, change)
}

// AffectedAgents returns the agents, by index, that have a fault of their own or an impaired path to a node or to discovery. An
// agent that has neither is missing from the map or has the value false.
func (scenario *Scenario) AffectedAgents() map[int]bool {
	affected := map[int]bool{}
	for _, fault := range scenario.AgentFaults {
		affected[fault.Agent] = true
	}
	for i, agent := range scenario.Agents {
		for _, p := range scenario.Spec.Fleet.Paths {
			impaired := p.appliesBetween(agent, Discovery) || slices.ContainsFunc(scenario.Nodes, func(n node.Spec) bool {
				return p.appliesBetween(agent, n.ID)
			})
			affected[i] = affected[i] || impaired
		}
	}
	return affected
}
