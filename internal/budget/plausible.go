package budget

import (
	"slices"
	"time"
)

const (
	// maxMedianMultiple is how many times the median agent's rate and demand a peer's count for at most: agents of one fleet may
	// differ several times in traffic.
	maxMedianMultiple = 8
	// maxDemandPerRate is how many times the demand that the fleet has for a rate a peer's demand for its rate counts at most.
	maxDemandPerRate = 4
	// maxPlausibleRate is more than any one agent carries, requests a second.
	maxPlausibleRate = 1e6
)

// plausible bounds peers' states to what one agent may move the others by, whether it has a fault or lies.
//
// Rule: of a rate and of a demand, what is beyond maxMedianMultiple times the median agent's doesn't count; nor does demand beyond
// maxDemandPerRate times what the rate sent with it makes likely. An agent that claims much demand and no rate would take from all
// others and give to none.
func (b *Budget) plausible(now time.Duration, states []PeerState) []PeerState {
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

// valid returns a copy without rates that no agent can have, and with at most MaxPriorities of demand.
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

// limitDemand scales the demand, in place, down to a sum.
func (p PeerState) limitDemand(limit float64) {
	sum := p.totalDemand()
	if sum <= limit {
		return
	}
	for i := range p.Demand {
		p.Demand[i].Rate *= limit / sum
	}
}

// median sorts values, of which there is at least one, and returns the lower median.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
