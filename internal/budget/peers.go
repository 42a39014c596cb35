package budget

import (
	"cmp"
	"slices"
	"time"
)

// Demand is what is asked for of one worth.
type Demand struct {
	Worth float64 `codec:"w"`
	Rate  float64 `codec:"r"` // requests a second
}

// Part is an agent's part of the fleet's level, as it tells its peers.
type Part struct {
	Demand []Demand `codec:"d"` // highest worth first, at most MostWorths
	Rate   float64  `codec:"l"` // requests a second that its own level lets through
}

// MostWorths bounds the table of demand by worth: worths beyond it are counted with the lowest that is kept.
const MostWorths = 64

// Part is what this agent tells its peers.
func (b *Budget) Part(now time.Duration) Part {
	b.advance(now)
	p, onset := Part{Rate: b.rate()}, b.onset(now)
	for i := range b.demand {
		if r := onset * b.demand[i].perSecond(now, b.set.Memory); r > 0 {
			p.Demand = append(p.Demand, Demand{b.demand[i].worth, r})
		}
	}
	return p
}

// Peers hands over the latest parts of the other agents that are there, of so many in all: where only some of them have told
// theirs lately, those stand for the rest. What is not among them no longer counts. The rates of all are one budget, and the
// demand of all is filled from it by worth, so that each agent sheds the same worths by the same share, whatever its own
// traffic. After StaleAfter without a call the agent goes by its own level alone.
func (b *Budget) Peers(now time.Duration, parts []Part, peers int) {
	b.advance(now)
	b.heard, b.fleetRate = now, 0
	b.others = b.others[:0]
	each := max(1, float64(peers)/max(1, float64(len(parts))))
	for _, p := range parts {
		b.fleetRate += each * sound(p.Rate)
		for _, d := range p.Demand[:min(len(p.Demand), MostWorths)] {
			b.others = append(b.others, Demand{d.Worth, each * sound(d.Rate)})
		}
	}
	slices.SortFunc(b.others, func(x, y Demand) int { return cmp.Compare(y.Worth, x.Worth) })
	kept := b.others[:0]
	for _, d := range b.others {
		if n := len(kept); n > 0 && kept[n-1].Worth == d.Worth {
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

// sound is a rate that a peer may tell: a wrong one must not become ours.
func sound(rate float64) float64 {
	if rate >= 0 && rate <= fastest {
		return rate
	}
	return 0
}

const (
	// TellEvery is how often an agent tells its part of the level.
	TellEvery = 250 * time.Millisecond
	// TellTo is to how many peers at a time, drawn anew.
	TellTo = 4
	// StaleAfter is how long what peers told is gone by.
	StaleAfter   = 3 * time.Second
	towardsFleet = 0.2
	beyondOwn    = 1.25 // as a multiple of its own level: the most that an agent takes on its peers' word
)

// together says whether what peers told still counts.
func (b *Budget) together(now time.Duration) bool {
	return len(b.others) > 0 && now-b.heard <= StaleAfter
}

// allowed is what this agent may send a second: its own level, or its part of the fleet's, less what a jam takes.
func (b *Budget) allowed(now time.Duration) float64 {
	rate := b.rate()
	if b.together(now) {
		// What peers told is some time old: when a surge begins for all at once, each would take the others' demand for as small
		// as it was, and all of them together far too much. The own level knows better what was borne.
		rate = min(max(b.part(now), rate/beyondOwn), beyondOwn*rate)
	}
	return max(b.jam*rate, b.set.Least)
}

// part is this agent's part of the fleet's rate, by its part of the demand that this covers.
func (b *Budget) part(now time.Duration) (sum float64) {
	own, rate, onset := 0.0, b.rate()+b.fleetRate, b.onset(now)
	for i := range b.demand {
		if r := onset * b.demand[i].perSecond(now, b.set.Memory); r > 0 {
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
		switch r := onset * b.demand[i].perSecond(now, b.set.Memory); {
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
			case d.Worth > worth:
				above += d.Rate
			case d.Worth == worth:
				of += d.Rate
			}
		}
	}
	return above, of, b.jam * all
}
