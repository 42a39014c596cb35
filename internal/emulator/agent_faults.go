package emulator

import (
	"math/rand/v2"
	"slices"
	"time"
)

// AgentFault is a fault of one agent.
type AgentFault struct {
	Agent       int // its number, from 0
	Kind        string
	At          time.Duration // from the scenario's beginning
	Duration    time.Duration // until the new process takes clients, or the paused or slow one goes on as before
	WithState   bool          // the next process starts with the state that the one before it persisted
	RunFraction float64       // of the time, in which a slow process runs
}

// Survives reports whether the process goes on after the fault, with its state and its connections.
func (fault AgentFault) Survives() bool { return fault.Kind == AgentPause || fault.Kind == AgentSlow }

// placeAgentFaults draws which agents the faults hit. A fault with several groups starts them evenly from From to To.
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
