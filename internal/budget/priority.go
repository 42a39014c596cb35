package budget

import (
	"math/rand/v2"
	"time"
)

const (
	// quotaWindow is the time constant of the counters of tenants' requests.
	quotaWindow = 5 * time.Second
	// quotaPriorRequests is the weight, in requests, of the prior assumption that a tenant is within its quota. A few requests are
	// not enough evidence that it exceeds it.
	quotaPriorRequests = 20
)

// PriorityOrder gives requests the priorities by which all agents of a fleet shed: by class, and within a class the requests over a
// tenant's quota before the others. It counts the requests of each tenant, so it is not safe for concurrent use.
type PriorityOrder struct {
	classWeights    []float64 // by class number
	tenantQuotas    []float64 // by tenant number, fractions of all requests
	overQuotaWeight float64

	tenantRequests []decayingCounter
	allRequests    decayingCounter
	rng            *rand.Rand
}

// NewPriorityOrder returns an order for the given priority weights of classes and quotas of tenants, which may be empty.
// overQuotaWeight, 0 to 1, multiplies the weight of a request that is over its tenant's quota.
func NewPriorityOrder(classWeights, tenantQuotas []float64, overQuotaWeight float64, seed uint64) *PriorityOrder {
	order := &PriorityOrder{
		classWeights:    classWeights,
		tenantQuotas:    tenantQuotas,
		overQuotaWeight: overQuotaWeight,
		tenantRequests:  make([]decayingCounter, len(tenantQuotas)),
		allRequests:     newDecayingCounter(quotaWindow),
		rng:             rand.New(rand.NewPCG(seed, 0x6f726465)),
	}
	for i := range order.tenantRequests {
		order.tenantRequests[i] = newDecayingCounter(quotaWindow)
	}
	return order
}

// Priority counts a request and returns its priority, which is 0 for an unknown class. A negative tenant means none. If a tenant is
// over its quota, the excess fraction of its requests, drawn at random, gets the lower priority.
func (o *PriorityOrder) Priority(now time.Duration, class, tenant int) float64 {
	if class < 0 || class >= len(o.classWeights) {
		return 0
	}
	weight := o.classWeights[class]
	if tenant < 0 || tenant >= len(o.tenantQuotas) {
		return weight
	}
	if within := o.withinQuota(now, tenant); within < 1 && o.rng.Float64() >= within {
		return weight * o.overQuotaWeight
	}
	return weight
}

// withinQuota counts a request of a tenant and returns the fraction of its requests that is within its quota; 1 or more means all.
func (o *PriorityOrder) withinQuota(now time.Duration, tenant int) float64 {
	o.allRequests.add(now)
	requests := &o.tenantRequests[tenant]
	requests.add(now)
	quota := o.tenantQuotas[tenant]
	return quota * (o.allRequests.count + quotaPriorRequests) / (requests.count + quotaPriorRequests*quota)
}
