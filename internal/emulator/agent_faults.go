package emulator

import (
	"math/rand/v2"
	"slices"
	"time"
)

// AgentFault is a fault of one agent.
type AgentFault struct {
	Agent       int           // index in Scenario.Agents
	Kind        string        // AgentRestart, AgentKill, AgentPause or AgentSlow
	At          time.Duration // since the scenario's beginning
	Duration    time.Duration // until the new process accepts clients, or the paused or slow one runs normally again
	WithState   bool          // the next process starts with the state that its predecessor persisted
	RunFraction float64       // fraction of the time in which a slow process runs
}

// Survives reports whether the same process continues after the fault, with its state and its connections.
func (fault AgentFault) Survives() bool { return fault.Kind == AgentPause || fault.Kind == AgentSlow }

// placeAgentFaults draws which agents the faults of the spec hit. The groups of a fault are hit at even intervals from From to To.
func (scenario *Scenario) placeAgentFaults(rng *rand.Rand) {
	for _, spec := range scenario.Spec.Fleet.AgentFaults {
		hit := max(1, int(spec.Share*float64(len(scenario.Agents))+0.5))
		groups := max(1, spec.Groups)
		for i, agent := range rng.Perm(len(scenario.Agents))[:hit] {
			at := spec.From.D()
			if group := i * groups / hit; groups > 1 {
				at += time.Duration(group) * (spec.To - spec.From).D() / time.Duration(groups-1)
			}
			scenario.AgentFaults = append(scenario.AgentFaults, AgentFault{
				Agent:       agent,
				Kind:        spec.Kind,
				At:          at,
				Duration:    spec.Duration.D(),
				WithState:   spec.WithState,
				RunFraction: spec.RunFraction,
			})
		}
	}
	slices.SortStableFunc(scenario.AgentFaults, func(a, b AgentFault) int { return int(a.At - b.At) })
}
