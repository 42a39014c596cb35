package budget

import (
	"cmp"
	"slices"
	"time"
)

// Demand is what is asked for of one worth.
type Demand struct {
	Priority float64 `codec:"w"`
	Rate     float64 `codec:"r"` // requests a second
}

// PeerState is an agent's part of the fleet's level, as it tells its peers.
type PeerState struct {
	Demand []Demand `codec:"d"` // highest worth first, at most MostWorths
	Rate   float64  `codec:"l"` // requests a second that its own level lets through
}

// MaxPriorities bounds the table of demand by worth: worths beyond it are counted with the lowest that is kept.
const MaxPriorities = 64

// PeerState is what this agent tells its peers.
func (b *Budget) PeerState(now time.Duration) PeerState {
	b.advance(now)
	p, onset := PeerState{Rate: b.rate()}, b.onset(now)
	for i := range b.demand {
		if r := onset * b.demand[i].perSecond(now, b.set.AveragingWindow); r > 0 {
			p.Demand = append(p.Demand, Demand{b.demand[i].worth, r})
		}
	}
	return p
}

// UpdatePeers hands over the latest parts of the other agents that are there, of so many in all: where only some of them have told
// theirs lately, those stand for the rest. What is not among them no longer counts. The rates of all are one budget, and the
// demand of all is filled from it by worth, so that each agent sheds the same worths by the same share, whatever its own
// traffic. After StaleAfter without a call the agent goes by its own level alone.
func (b *Budget) UpdatePeers(now time.Duration, parts []PeerState, peers int) {
	b.advance(now)
	b.heard, b.fleetRate = now, 0
	b.others = b.others[:0]
	each := max(1, float64(peers)/max(1, float64(len(parts))))
	for _, p := range b.believed(now, parts) {
		b.fleetRate += each * p.Rate
		for _, d := range p.Demand {
			b.others = append(b.others, Demand{d.Priority, each * d.Rate})
		}
	}
	slices.SortFunc(b.others, func(x, y Demand) int { return cmp.Compare(y.Priority, x.Priority) })
	kept := b.others[:0]
	for _, d := range b.others {
		if n := len(kept); n > 0 && kept[n-1].Priority == d.Priority {
			kept[n-1].Rate += d.Rate
		} else {
			kept = append(kept, d)
		}
	}
	b.others = kept
	if len(parts) > 0 {
		// Each agent's own level drifts to its part of the whole, so that the sum stays right when peers are lost. What one
		// agent gains another loses, so the bound on a step is the same both ways: else the sum would sink.
		l := &b.level
		l.rate += towardsFleet * (min(beyondOwn*l.rate, max(l.rate/beyondOwn, b.part(now)/b.own)) - l.rate)
	}
}

// believed are the parts as far as one agent may move the others, whether it is wrong or lies: of a rate and of a demand many times
// those of the agent in the middle the rest counts for nothing, and neither does demand far beyond what the rate that is told with
// it makes likely. Who asks for much and has no rate for it would take from all the others, and give to nobody.
func (b *Budget) believed(now time.Duration, parts []PeerState) []PeerState {
	own := PeerState{Rate: b.rate(), Demand: []Demand{{Rate: b.asked(now)}}}
	out := make([]PeerState, 0, len(parts))
	rates, demands := []float64{own.Rate}, []float64{own.demand()}
	for _, p := range parts {
		q := PeerState{Rate: sound(p.Rate)}
		for _, d := range p.Demand[:min(len(p.Demand), MaxPriorities)] {
			q.Demand = append(q.Demand, Demand{d.Priority, sound(d.Rate)})
		}
		out, rates, demands = append(out, q), append(rates, q.Rate), append(demands, q.demand())
	}
	mostRate, mostDemand := believedTimes*max(b.set.InitialRate, median(rates)), believedTimes*max(b.set.InitialRate, median(demands))
	asked, rate := min(own.demand(), mostDemand), min(own.Rate, mostRate)
	for i := range out {
		out[i].Rate = min(out[i].Rate, mostRate)
		out[i].scale(mostDemand)
		asked, rate = asked+out[i].demand(), rate+out[i].Rate
	}
	for i := range out {
		out[i].scale(max(b.set.HeadroomRate, likelyTimes*out[i].Rate*asked/max(rate, b.set.MinRate)))
	}
	return out
}

const (
	believedTimes = 8 // of the agent in the middle: fleets have agents with several times the traffic of others
	likelyTimes   = 4
)

func (p PeerState) demand() (sum float64) {
	for _, d := range p.Demand {
		sum += d.Rate
	}
	return sum
}

// scale takes a part's demand down to a sum.
func (p PeerState) scale(most float64) {
	if sum := p.demand(); sum > most {
		for i := range p.Demand {
			p.Demand[i].Rate *= most / sum
		}
	}
}

func median(xs []float64) float64 {
	slices.Sort(xs)
	return xs[(len(xs)-1)/2]
}

// sound is a rate that a peer may tell.
func sound(rate float64) float64 {
	if rate >= 0 && rate <= fastest {
		return rate
	}
	return 0
}

const (
	// GossipInterval is how often an agent tells its part of the level.
	GossipInterval = 250 * time.Millisecond
	// GossipFanout is to how many peers at a time, drawn anew.
	GossipFanout = 4
	// PeerStateTTL is how long what peers told is gone by.
	PeerStateTTL = 3 * time.Second
	towardsFleet = 0.2
	beyondOwn    = 1.25 // as a multiple of its own level: the most that an agent takes on its peers' word
)

// together says whether what peers told still counts.
func (b *Budget) together(now time.Duration) bool {
	return len(b.others) > 0 && now-b.heard <= PeerStateTTL
}

// allowed is what this agent may send a second: its own level, or its part of the fleet's, less what a jam takes.
func (b *Budget) allowed(now time.Duration) float64 {
	rate := b.rate()
	if b.together(now) {
		// What peers told is some time old: when a surge begins for all at once, each would take the others' demand for as small
		// as it was, and all of them together far too much. The own level knows better what was borne.
		rate = min(max(b.part(now), rate/beyondOwn), beyondOwn*rate)
	}
	return max(b.jam*rate, b.set.MinRate)
}

// part is this agent's part of the fleet's rate, by its part of the demand that this covers.
func (b *Budget) part(now time.Duration) (sum float64) {
	own, rate, onset := 0.0, b.rate()+b.fleetRate, b.onset(now)
	for i := range b.demand {
		if r := onset * b.demand[i].perSecond(now, b.set.AveragingWindow); r > 0 {
			above, of, _ := b.fill(now, b.demand[i].worth)
			sum += r * min(1, max(0, rate-above)/of)
			own += r
		}
	}
	asked := own
	for _, d := range b.others {
		asked += d.Rate
	}
	if rate > asked && asked > 0 { // what is left over is shared out likewise, or an agent could not take a burst
		sum = own * rate / asked
	}
	return sum
}

// fill tells, of a worth, the demand above it, its own and the rate to fill them from: this agent's, or the fleet's.
func (b *Budget) fill(now time.Duration, worth float64) (above, of, all float64) {
	all = b.rate()
	onset := b.onset(now)
	for i := range b.demand {
		switch r := onset * b.demand[i].perSecond(now, b.set.AveragingWindow); {
		case b.demand[i].worth > worth:
			above += r
		case b.demand[i].worth == worth:
			of += r
		}
	}
	if b.together(now) {
		all += b.fleetRate
		for _, d := range b.others {
			switch {
			case d.Priority > worth:
				above += d.Rate
			case d.Priority == worth:
				of += d.Rate
			}
		}
	}
	return above, of, b.jam * all
}
