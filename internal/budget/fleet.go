package budget

import (
	"cmp"
	"slices"
	"time"
)

const (
	// GossipInterval is how often an agent sends its PeerState.
	GossipInterval = 250 * time.Millisecond
	// GossipFanout is to how many peers at a time, drawn anew each time.
	GossipFanout = 4
	// PeerStateTTL is how long a peer's state counts after it came.
	PeerStateTTL = 3 * time.Second

	// fleetConvergence is how far the own rate moves towards the agent's part of the fleet's rate at each exchange, 0 to 1.
	fleetConvergence = 0.2
	// maxFleetDeviation bounds how far peers move an agent's rate, as a factor of its own rate.
	maxFleetDeviation = 1.25
)

// Demand is the demand of one priority.
type Demand struct {
	Priority float64 `codec:"w"`
	Rate     float64 `codec:"r"` // requests a second
}

// PeerState is what an agent sends its peers of its budget.
type PeerState struct {
	Demand []Demand `codec:"d"` // highest priority first, at most MaxPriorities
	Rate   float64  `codec:"l"` // own rate, requests a second
}

// totalDemand returns the demand of all priorities, requests a second.
func (p PeerState) totalDemand() (sum float64) {
	for _, demand := range p.Demand {
		sum += demand.Rate
	}
	return sum
}

// fleetState is what the peers sent, summed up. Its zero value is that of an agent without peers.
type fleetState struct {
	updatedAt time.Duration
	rate      float64  // own rates of the peers, requests a second
	demand    []Demand // of the peers, highest priority first
}

// fresh reports whether the state still counts. After PeerStateTTL without an update an agent goes by its own rate alone: in a
// partition each side has the rates of the agents that it sees.
func (f *fleetState) fresh(now time.Duration) bool {
	return len(f.demand) > 0 && now-f.updatedAt <= PeerStateTTL
}

// PeerState returns what this agent sends its peers.
func (b *Budget) PeerState(now time.Duration) PeerState {
	b.advance(now)
	state := PeerState{Rate: b.ownRate()}
	b.demand.each(now, func(priority, rate float64) {
		if rate > 0 {
			state.Demand = append(state.Demand, Demand{priority, rate})
		}
	})
	return state
}

// UpdatePeers takes the latest states of the other agents that are alive, and how many agents these are: where only some have sent
// theirs lately, those stand for the rest. What was given before no longer counts.
//
// Rule: the rates of all agents are one budget, and the demand of all is filled from it by priority, so that each agent sheds the
// same priorities by the same fraction, whatever its own traffic.
func (b *Budget) UpdatePeers(now time.Duration, states []PeerState, peers int) {
	b.advance(now)
	b.fleet.updatedAt = now
	b.fleet.rate = 0
	var demand []Demand
	weight := max(1, float64(peers)/max(1, float64(len(states))))
	for _, state := range b.plausible(now, states) {
		b.fleet.rate += weight * state.Rate
		for _, d := range state.Demand {
			demand = append(demand, Demand{d.Priority, weight * d.Rate})
		}
	}
	b.fleet.demand = sumByPriority(demand)
	if len(states) > 0 {
		b.converge(now)
	}
}

// sumByPriority sorts demand by priority, the highest first, and sums up that of the same one.
func sumByPriority(demand []Demand) []Demand {
	slices.SortFunc(demand, func(x, y Demand) int { return cmp.Compare(y.Priority, x.Priority) })
	sums := demand[:0]
	for _, d := range demand {
		if n := len(sums); n > 0 && sums[n-1].Priority == d.Priority {
			sums[n-1].Rate += d.Rate
		} else {
			sums = append(sums, d)
		}
	}
	return sums
}

// converge moves the own rate towards this agent's part of the fleet's, so that the sum of own rates stays right when peers are lost.
// What one agent gains another loses, so the bound on a step is the same both ways: with a tighter one upwards the sum would sink.
func (b *Budget) converge(now time.Duration) {
	rate := b.controller.rate
	part := b.fleetPart(now) / b.selfFraction
	bounded := min(maxFleetDeviation*rate, max(rate/maxFleetDeviation, part))
	b.controller.rate += fleetConvergence * (bounded - rate)
}

// boundedFleetPart is this agent's part of the fleet's rate, within maxFleetDeviation of its own rate. Peers' states are some time
// old: at the onset of a surge each agent would take the others' demand for as small as it was and all of them together would send
// far too much. The own rate, which follows the endpoints' answers, bounds the error.
func (b *Budget) boundedFleetPart(now time.Duration, ownRate float64) float64 {
	return min(max(b.fleetPart(now), ownRate/maxFleetDeviation), maxFleetDeviation*ownRate)
}

// fleetPart is this agent's part of the fleet's rate, requests a second: of each priority, the part of its own demand that the fleet's
// rate covers. What the rate leaves over is divided by demand, so that each agent can admit a burst.
func (b *Budget) fleetPart(now time.Duration) (part float64) {
	rate := b.ownRate() + b.fleet.rate
	ownDemand := 0.0
	b.demand.each(now, func(priority, demand float64) {
		if demand > 0 {
			above, same, _ := b.coverage(now, priority)
			part += demand * min(1, max(0, rate-above)/same)
			ownDemand += demand
		}
	})
	fleetDemand := ownDemand
	for _, demand := range b.fleet.demand {
		fleetDemand += demand.Rate
	}
	if rate > fleetDemand && fleetDemand > 0 {
		part = ownDemand * rate / fleetDemand
	}
	return part
}
