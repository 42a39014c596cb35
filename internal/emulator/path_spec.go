package emulator

import (
	"fmt"
	"path"
	"slices"

	"ryeweir/internal/config"
	"ryeweir/internal/emulator/link"
	"ryeweir/internal/emulator/node"
)

// PathSpec impairs or cuts the paths between chosen hosts for a while. Hosts are agents, nodes and "discovery", by name or by a
// pattern of path.Match, such as agent-*. Between agents there are paths only where they gossip.
type PathSpec struct {
	A      []string        `toml:"a"`
	B      []string        `toml:"b"`   // empty: all hosts that are not of A
	Way    string          `toml:"way"` // BothWays, or Forth: only what A sends to B; empty is BothWays
	From   config.Duration `toml:"from"`
	To     config.Duration `toml:"to"`
	Cut    bool            `toml:"cut"`
	Delay  config.Duration `toml:"delay"`  // added, one way
	Jitter config.Duration `toml:"jitter"` // added
	Loss   float64         `toml:"loss"`   // from 0 to below 1: a stream stalls, a datagram is lost
}

// The ways of a PathSpec.
const (
	BothWays = "both"
	Forth    = "forth"
)

// Discovery is the host name of discovery in a PathSpec.
const Discovery = "discovery"

func (p PathSpec) check(key string, report reportFunc) {
	if len(p.A) == 0 {
		report(key+".a", "names no host")
	}
	for _, pattern := range slices.Concat(p.A, p.B) {
		if _, err := path.Match(pattern, ""); err != nil {
			report(key+".a", "%q is no pattern", pattern)
		}
	}
	if p.Way != "" && p.Way != BothWays && p.Way != Forth {
		report(key+".way", "%q is neither %s nor %s", p.Way, BothWays, Forth)
	}
	changesNothing := !p.Cut && p.Delay == 0 && p.Jitter == 0 && p.Loss == 0
	if err := p.conditions().Check(); err != nil || changesNothing {
		report(key+".cut", "needs a cut, a delay, jitter or a loss from 0 to below 1, none below 0")
	}
}

// checkHosts returns an error where either side matches none of the scenario's hosts: the spec would change nothing, which is
// a mistake in its names. One pattern of several may match none, as a file may be meant for a larger fleet too.
func (p PathSpec) checkHosts(key string, scenario *Scenario) error {
	for side, patterns := range map[string][]string{"a": p.A, "b": p.B} {
		if len(patterns) > 0 && !scenario.hasHost(patterns) {
			return config.Wrong(key+side, "%v names no host: there are agent-0 and on, node-01 and on, and %s", patterns, Discovery)
		}
	}
	return nil
}

func (scenario *Scenario) hasHost(patterns []string) bool {
	isNode := func(n node.Spec) bool { return matches(patterns, n.ID) }
	isAgent := func(agent string) bool { return matches(patterns, agent) }
	return matches(patterns, Discovery) || slices.ContainsFunc(scenario.Agents, isAgent) || slices.ContainsFunc(scenario.Nodes, isNode)
}

// conditions returns what the spec adds to the conditions of a path.
func (p PathSpec) conditions() link.Conditions {
	return link.Conditions{Delay: p.Delay.D(), Jitter: p.Jitter.D(), Loss: p.Loss, Cut: p.Cut}
}

func matches(patterns []string, host string) bool {
	return slices.ContainsFunc(patterns, func(pattern string) bool {
		ok, _ := path.Match(pattern, host)
		return ok
	})
}

// applies reports whether the spec covers what one host sends to another.
func (p PathSpec) applies(from, to string) bool {
	inB := func(host string) bool {
		if len(p.B) == 0 {
			return !matches(p.A, host)
		}
		return matches(p.B, host)
	}
	forth := matches(p.A, from) && inB(to)
	back := matches(p.A, to) && inB(from)
	return forth || back && p.Way != Forth
}

// appliesBetween reports whether the spec covers either direction between two hosts.
func (p PathSpec) appliesBetween(a, b string) bool { return p.applies(a, b) || p.applies(b, a) }

// String describes the spec for an Event.
func (p PathSpec) String() string {
	change := "cut"
	if !p.Cut {
		change = fmt.Sprintf("%v more, loss %g", p.Delay.D(), p.Loss)
	}
	if p.Way == Forth {
		change += ", one way"
	}
	return fmt.Sprintf("%v to %v: %s", p.A, p.B, change)
}

// AffectedAgents returns the agents, by number, that have a fault of their own or an impaired path to a node or to discovery.
// The others have the value false or none.
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
