package budget

import (
	"cmp"
	"slices"
	"time"
)

const (
	// GossipInterval is how often an agent sends its PeerState.
	GossipInterval = 250 * time.Millisecond
	// GossipFanout is the number of peers that each PeerState is sent to, drawn anew each time.
	GossipFanout = 4
	// PeerStateTTL is how long the state of a single peer is used after its receipt (package agent), and how long the sum of all peers'
	// states is used after the last call of UpdatePeers.
	PeerStateTTL = 3 * time.Second

	// fleetConvergence is the fraction of the distance to its share of the fleet's rate by which an agent's own rate moves at each
	// exchange, 0 to 1.
	fleetConvergence = 0.2
	// maxFleetDeviation limits how far peers move an agent's rate, as a factor of its own rate.
	maxFleetDeviation = 1.25
)

// Demand is the rate at which requests of one priority arrive.
type Demand struct {
	Priority float64 `codec:"w"`
	Rate     float64 `codec:"r"` // requests a second
}

// PeerState is the part of an agent's budget that it sends to its peers.
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

// fleetState is the sum of the states of the peers. Its zero value is that of an agent without peers.
type fleetState struct {
	updatedAt time.Duration
	rate      float64  // sum of the peers' own rates, requests a second
	demand    []Demand // sum of the peers' demand, highest priority first
}

// fresh reports whether the state may be used. After PeerStateTTL without an update the agent uses its own rate alone. In a network
// partition each side sums the rates of the agents that it can reach.
func (f *fleetState) fresh(now time.Duration) bool {
	return len(f.demand) > 0 && now-f.updatedAt <= PeerStateTTL
}

// PeerState returns the state to send to the peers.
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

// UpdatePeers replaces the state of the peers. states are the latest states of the other live agents, and peers is the number of those
// agents. If only some of them have sent a state recently, their sum is scaled up to stand for all.
//
// The rates of all agents form one budget. The demand of all agents is filled from it by priority, so that every agent sheds the same
// priorities by the same fraction, whatever its own traffic.
func (b *Budget) UpdatePeers(now time.Duration, states []PeerState, peers int) {
	b.advance(now)
	b.fleet.updatedAt = now
	b.fleet.rate = 0
	var demand []Demand
	weight := max(1, float64(peers)/max(1, float64(len(states))))
	for _, state := range b.boundPeerStates(now, states) {
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

// sumByPriority sorts demand by priority, highest first, and adds up entries of equal priority.
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

// converge moves this agent's own rate towards its share of the fleet's rate, so that the sum of the agents' own rates stays
// correct when peer state is lost. What one agent gains another loses, so the limit on a move is the same in both directions: with a
// tighter limit upwards the sum would shrink.
func (b *Budget) converge(now time.Duration) {
	rate := b.controller.rate
	share := b.fleetShare(now) / b.selfFraction
	bounded := min(maxFleetDeviation*rate, max(rate/maxFleetDeviation, share))
	b.controller.rate += fleetConvergence * (bounded - rate)
}

// boundedFleetShare is this agent's share of the fleet's rate, limited to within a factor of maxFleetDeviation of its own rate. The state
// of peers is some time old: at the onset of a surge each agent would still count the others' demand from before it, and together they
// would send far too much. The agent's own rate follows the outcomes of attempts and so limits the error.
func (b *Budget) boundedFleetShare(now time.Duration, ownRate float64) float64 {
	return min(max(b.fleetShare(now), ownRate/maxFleetDeviation), maxFleetDeviation*ownRate)
}

// fleetShare is this agent's share of the fleet's rate, requests a second: the sum over the priorities of its own demand that the fleet's
// rate covers. A rate that exceeds the fleet's demand is divided in proportion to demand, so that each agent can admit a burst.
func (b *Budget) fleetShare(now time.Duration) (share float64) {
	rate := b.ownRate() + b.fleet.rate
	ownDemand := 0.0
	b.demand.each(now, func(priority, demand float64) {
		if demand > 0 {
			above, same, _ := b.coverage(now, priority)
			share += demand * min(1, max(0, rate-above)/same)
			ownDemand += demand
		}
	})
	fleetDemand := ownDemand
	for _, demand := range b.fleet.demand {
		fleetDemand += demand.Rate
	}
	if rate > fleetDemand && fleetDemand > 0 {
		share = ownDemand * rate / fleetDemand
	}
	return share
}
