package budget

import (
	"slices"
	"time"
)

const (
	// maxMedianMultiple limits a peer's rate and its demand to this multiple of the median agent's. Agents of one fleet may differ
	// several times in traffic.
	maxMedianMultiple = 8
	// maxDemandPerRate limits a peer's demand, relative to its rate, to this multiple of the fleet's demand relative to the fleet's
	// rate.
	maxDemandPerRate = 4
	// maxPlausibleRate is a rate above what any one agent can carry, requests a second.
	maxPlausibleRate = 1e6
)

// boundPeerStates limits the reported states so that no single peer, faulty or malicious, can move the other agents far.
//
// A rate and a demand are each limited to maxMedianMultiple times the median agent's. The demand is also limited to maxDemandPerRate
// times what is likely for the rate reported with it: an agent that claims a large demand and no rate would take from all others and
// give nothing.
func (b *Budget) boundPeerStates(now time.Duration, states []PeerState) []PeerState {
	own := PeerState{Rate: b.ownRate(), Demand: []Demand{{Rate: b.demand.total(now)}}}
	bounded := make([]PeerState, 0, len(states))
	rates := []float64{own.Rate}
	demands := []float64{own.totalDemand()}
	for _, state := range states {
		valid := state.valid()
		bounded = append(bounded, valid)
		rates = append(rates, valid.Rate)
		demands = append(demands, valid.totalDemand())
	}
	maxRate := maxMedianMultiple * max(b.settings.InitialRate, median(rates))
	maxDemand := maxMedianMultiple * max(b.settings.InitialRate, median(demands))
	fleetDemand := min(own.totalDemand(), maxDemand)
	fleetRate := min(own.Rate, maxRate)
	for i := range bounded {
		bounded[i].Rate = min(bounded[i].Rate, maxRate)
		bounded[i].limitDemand(maxDemand)
		fleetDemand += bounded[i].totalDemand()
		fleetRate += bounded[i].Rate
	}
	for i := range bounded {
		likely := maxDemandPerRate * bounded[i].Rate * fleetDemand / max(fleetRate, b.settings.MinRate)
		bounded[i].limitDemand(max(b.settings.HeadroomRate, likely))
	}
	return bounded
}

// valid returns a copy with impossible rates set to 0 and at most MaxPriorities entries of demand.
func (p PeerState) valid() PeerState {
	valid := PeerState{Rate: validRate(p.Rate)}
	for _, demand := range p.Demand[:min(len(p.Demand), MaxPriorities)] {
		valid.Demand = append(valid.Demand, Demand{demand.Priority, validRate(demand.Rate)})
	}
	return valid
}

// validRate returns a rate, or 0 where it is negative, NaN or above maxPlausibleRate.
func validRate(rate float64) float64 {
	if rate >= 0 && rate <= maxPlausibleRate {
		return rate
	}
	return 0
}

// limitDemand scales the demand down, in place, so that its sum does not exceed limit.
func (p PeerState) limitDemand(limit float64) {
	sum := p.totalDemand()
	if sum <= limit {
		return
	}
	for i := range p.Demand {
		p.Demand[i].Rate *= limit / sum
	}
}

// median sorts values, which must not be empty, and returns the lower median.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
