package emulator

import (
	"fmt"
	"math/rand/v2"

	"ryeweir/internal/emulator/callers"
	"ryeweir/internal/emulator/node"
)

// scenarioStream selects a PCG stream of its own for Draw, independent of other generators with the same seed.
const scenarioStream = 0x646179

// minSpeedFactor is the lowest speed that is drawn for a node, as a fraction of its kind's speed.
const minSpeedFactor = 0.4

// Draw draws a scenario. Equal specs and seeds give equal scenarios. Recorded experiments are repeated by their seed, so the
// order in which the steps draw random numbers is part of the contract.
func (spec *ScenarioSpec) Draw(seed uint64) (*Scenario, error) {
	rng := rand.New(rand.NewPCG(seed, scenarioStream))
	scenario := &Scenario{Spec: *spec, Seed: seed, Length: spec.Length.D()}
	if err := scenario.drawNodes(rng); err != nil {
		return nil, err
	}
	scenario.setTraffic()
	agentShares := scenario.addAgents()
	for i, path := range spec.Fleet.Paths {
		if err := path.checkHosts(fmt.Sprintf("fleet.path[%d].", i), scenario); err != nil {
			return nil, err
		}
	}
	if err := scenario.drawPlan(agentShares, seed); err != nil {
		return nil, err
	}
	if err := scenario.placeFaults(rng); err != nil {
		return nil, err
	}
	scenario.placeAgentFaults(rng)
	return scenario, nil
}

// drawNodes adds the nodes with random speeds. It assigns them to the zones in turn.
func (scenario *Scenario) drawNodes(rng *rand.Rand) error {
	zones := scenario.Spec.Zones
	for _, kind := range scenario.Spec.Kinds {
		for range kind.Nodes {
			number := len(scenario.Nodes)
			speed := kind.Speed * max(minSpeedFactor, 1+kind.Spread*rng.NormFloat64())
			spec := node.TypicalSpec(fmt.Sprintf("node-%02d", number+1), kind.Name, zones[number%len(zones)], speed)
			spec.Cores, spec.QueuePerCore, spec.ConnCap, spec.ErrorRate = kind.Cores, kind.QueuePerCore, kind.ConnCap, kind.ErrorRate
			if !kind.Degrades {
				spec.Degradation = node.Degradation{}
			}
			if kind.SlowStart {
				spec.Started = 0
			}
			if err := spec.Check(); err != nil {
				return err
			}
			scenario.Nodes = append(scenario.Nodes, spec)
			scenario.Capacity += float64(spec.Cores) * spec.Speed
		}
	}
	return nil
}

// setTraffic copies classes, tenants and the client profile from the spec, and computes the rate from the load if the spec has no
// rate.
func (scenario *Scenario) setTraffic() {
	spec := scenario.Spec
	work, shares := 0.0, 0.0
	for _, class := range spec.Classes {
		work += class.Share * class.Work.D().Seconds()
		shares += class.Share
		scenario.Classes = append(scenario.Classes, class.class())
	}
	for _, tenant := range spec.Tenants {
		scenario.Tenants = append(scenario.Tenants, callers.Tenant{Name: tenant.Name, Share: tenant.Share})
	}
	scenario.Clients = spec.Clients.profile()
	scenario.Rate = spec.Rate
	if scenario.Rate == 0 {
		scenario.Rate = spec.Load * scenario.Capacity / (work / shares)
	}
}

// addAgents names the agents and returns their relative shares of the traffic.
func (scenario *Scenario) addAgents() (shares []float64) {
	spec := scenario.Spec
	shares = make([]float64, spec.Agents)
	for i := range shares {
		scenario.Agents = append(scenario.Agents, fmt.Sprintf("agent-%d", i))
		shares[i] = 1
		if spec.Agents > 1 {
			shares[i] += spec.AgentSkew * float64(i) / float64(spec.Agents-1)
		}
		if spec.HeavyFactor > 0 && float64(i) < spec.HeavyFraction*float64(spec.Agents) {
			shares[i] *= spec.HeavyFactor
		}
	}
	return shares
}

func (scenario *Scenario) drawPlan(agentShares []float64, seed uint64) (err error) {
	spec := scenario.Spec
	scenario.Plan, err = callers.Plan(callers.Spec{
		Classes:       scenario.Classes,
		Tenants:       scenario.Tenants,
		Rate:          scenario.Rate,
		Duration:      scenario.Length,
		Shape:         callers.Shape(spec.Shape),
		Swing:         spec.Swing,
		Period:        spec.Period.D(),
		Agents:        agentShares,
		Keys:          spec.Keys,
		Zipf:          spec.Zipf,
		CostHintError: spec.CostHintError,
		MaxRequests:   maxPlannedRequests,
		Shifts:        scenario.trafficShifts(),
	}, seed)
	return err
}

func (class ClassSpec) class() callers.Class {
	return callers.Class{
		Name:             class.Name,
		Share:            class.Share,
		Work:             class.Work.D(),
		CV:               class.CV,
		LatencyObjective: class.LatencyObjective.D(),
		Deadline:         class.Deadline.D(),
		PriorityWeight:   class.PriorityWeight,
		LateWeight:       class.LateWeight,
		NonIdempotent:    class.NonIdempotent,
	}
}

func (clients ClientSpec) profile() callers.ClientProfile {
	return callers.ClientProfile{
		Retries:                clients.Retries,
		AttemptTimeoutFraction: clients.AttemptTimeoutFraction,
		Backoff:                clients.Backoff.D(),
		RetryAfterFraction:     clients.RetryAfterFraction,
		MaxRetryAfter:          clients.MaxRetryAfter.D(),
		ImpatientFraction:      clients.ImpatientFraction,
	}
}
