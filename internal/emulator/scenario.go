package emulator

import (
	"time"

	"ryeweir/internal/emulator/callers"
	"ryeweir/internal/emulator/link"
	"ryeweir/internal/emulator/node"
)

// NodeFault is a fault of one node.
type NodeFault struct {
	Node int // index in Scenario.Nodes
	node.Fault
}

// Scenario is a scenario that was drawn from a spec and a seed. It does not change after Draw, so goroutines may read it
// concurrently.
type Scenario struct {
	Spec    ScenarioSpec
	Seed    uint64
	Length  time.Duration
	Nodes   []node.Spec
	Agents  []string // names
	Plan    []callers.PlannedRequest
	Classes []callers.Class
	Tenants []callers.Tenant
	Clients callers.ClientProfile

	Faults      []NodeFault  // ordered by From
	AgentFaults []AgentFault // ordered by At

	Rate     float64 // base rate in requests per second, before Shape and traffic shifts
	Capacity float64 // work that all nodes can do per second when none is in slow start, in seconds on a core of speed 1
}

// PathConditions returns the conditions of the path between two zones.
func (scenario *Scenario) PathConditions(a, b string) link.Conditions {
	network := scenario.Spec.Network
	conditions := link.Conditions{Delay: network.Cross.D(), Jitter: network.Jitter.D(), Loss: network.Loss}
	if a == b {
		conditions.Delay = network.Same.D()
	}
	return conditions
}

// AgentZone returns the zone of the agent with that index in Agents.
func (scenario *Scenario) AgentZone(agent int) string {
	zones := scenario.Spec.Zones
	return zones[agent%len(zones)]
}
