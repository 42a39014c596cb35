package budget

import (
	"math/rand/v2"
	"time"
)

// Order is the one order by worth in which all agents of a fleet shed: by class, and within a class what a tenant asks for over
// its share before the rest. Of each tenant it counts what is asked for, so one owner calls it.
type Order struct {
	Worths []float64 // by class number
	Shares []float64 // of the service, by tenant number; may be empty
	Over   float64   // what a request over its tenant's share is worth, as a part of its class's worth: 0 to 1

	asked []rate
	all   rate
	rng   *rand.Rand
}

// NewOrder returns the order of the given settings.
func NewOrder(worths, shares []float64, over float64, seed uint64) *Order {
	return &Order{Worths: worths, Shares: shares, Over: over, asked: make([]rate, len(shares)), rng: rand.New(rand.NewPCG(seed, 0x6f726465))}
}

const (
	askedMemory = 5 * time.Second
	fewAsked    = 20 // until a tenant has asked for so many, it is taken to be within its share
)

// Worth is what a request is worth in the order. Of a tenant over its share, so large a part of its requests counts as over
// as it asks for too much: which ones is drawn.
func (o *Order) Worth(now time.Duration, class, tenant int) float64 {
	if class < 0 || class >= len(o.Worths) {
		return 0
	}
	worth := o.Worths[class]
	if tenant < 0 || tenant >= len(o.Shares) {
		return worth
	}
	o.all.add(now, askedMemory, 1)
	own := &o.asked[tenant]
	own.add(now, askedMemory, 1)
	inside := o.Shares[tenant] * (o.all.count + fewAsked) / (own.count + fewAsked*o.Shares[tenant])
	if inside < 1 && o.rng.Float64() >= inside {
		return worth * o.Over
	}
	return worth
}
