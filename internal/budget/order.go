package budget

import (
	"math/rand/v2"
	"time"
)

// PriorityOrder is the one order by worth in which all agents of a fleet shed: by class, and within a class what a tenant asks for over
// its share before the rest. Of each tenant it counts what is asked for, so one owner calls it.
type PriorityOrder struct {
	ClassWeights    []float64 // by class number
	TenantQuotas    []float64 // of the service, by tenant number; may be empty
	OverQuotaWeight float64   // what a request over its tenant's share is worth, as a part of its class's worth: 0 to 1

	asked []rate
	all   rate
	rng   *rand.Rand
}

// NewPriorityOrder returns the order of the given settings.
func NewPriorityOrder(worths, shares []float64, over float64, seed uint64) *PriorityOrder {
	return &PriorityOrder{ClassWeights: worths, TenantQuotas: shares, OverQuotaWeight: over, asked: make([]rate, len(shares)), rng: rand.New(rand.NewPCG(seed, 0x6f726465))}
}

const (
	askedMemory = 5 * time.Second
	fewAsked    = 20 // until a tenant has asked for so many, it is taken to be within its share
)

// Priority is what a request is worth in the order. Of a tenant over its share, so large a part of its requests counts as over
// as it asks for too much: which ones is drawn.
func (o *PriorityOrder) Priority(now time.Duration, class, tenant int) float64 {
	if class < 0 || class >= len(o.ClassWeights) {
		return 0
	}
	worth := o.ClassWeights[class]
	if tenant < 0 || tenant >= len(o.TenantQuotas) {
		return worth
	}
	o.all.add(now, askedMemory, 1)
	own := &o.asked[tenant]
	own.add(now, askedMemory, 1)
	inside := o.TenantQuotas[tenant] * (o.all.count + fewAsked) / (own.count + fewAsked*o.TenantQuotas[tenant])
	if inside < 1 && o.rng.Float64() >= inside {
		return worth * o.OverQuotaWeight
	}
	return worth
}
