package emulator

import (
	"time"

	"ryeweir/internal/emulator/callers"
	"ryeweir/internal/emulator/link"
	"ryeweir/internal/emulator/node"
)

// NodeFault is a fault of one node.
type NodeFault struct {
	Node int // its number, from 0
	node.Fault
}

// Scenario is a scenario as it was drawn. It is not changed after Draw, and may be read by several goroutines.
type Scenario struct {
	Spec    ScenarioSpec
	Seed    uint64
	Length  time.Duration
	Nodes   []node.Spec
	Agents  []string // their names
	Plan    []callers.PlannedRequest
	Classes []callers.Class
	Tenants []callers.Tenant
	Clients callers.ClientProfile

	Faults      []NodeFault  // by the time of their beginning
	AgentFaults []AgentFault // likewise

	Rate     float64 // requests a second, on average and without traffic shifts
	Capacity float64 // work a second that all nodes can do when none is in slow start; work is in seconds on a core of speed 1
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

// AgentZone returns the zone of an agent by its number.
func (scenario *Scenario) AgentZone(agent int) string {
	zones := scenario.Spec.Zones
	return zones[agent%len(zones)]
}
