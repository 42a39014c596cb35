package logic

// Quotas: a tenant that sends more than its quota gets a lower priority in an overload, so that it
// displaces its own requests and not those of tenants within their quotas. Without overload quotas limit
// nothing.

// quotaPriorRequests is the number of requests, within all quotas, that a balancer starts from: a few
// requests say little of a tenant's share.
const quotaPriorRequests = 20

// tenantQuotas counts the latest requests of each tenant at this balancer.
type tenantQuotas struct {
	quotas          []float64 // fraction of all requests, by tenant
	overQuotaWeight float64   // factor of a request over the quota, 0 to 1
	requests        []float64 // by tenant, fading
	total           float64   // sum of requests
}

func newTenantQuotas(quotas []float64, overQuotaWeight float64) tenantQuotas {
	return tenantQuotas{quotas: quotas, overQuotaWeight: overQuotaWeight, requests: make([]float64, len(quotas))}
}

// hasQuota reports whether the settings give the tenant a quota.
func (q *tenantQuotas) hasQuota(tenant int) bool { return tenant >= 0 && tenant < len(q.quotas) }

// count takes a request of a tenant. Those of tenants without a quota are not counted.
func (q *tenantQuotas) count(tenant int) {
	if q.hasQuota(tenant) {
		q.requests[tenant]++
		q.total++
	}
}

// factor returns the factor of the priority of a tenant's requests: 1 within the quota, falling to the weight
// over quota as the tenant sends more. A tenant without a quota has 1.
func (q *tenantQuotas) factor(tenant int) float64 {
	if !q.hasQuota(tenant) {
		return 1
	}
	quota := q.quotas[tenant]
	within := min(1, quota*(q.total+quotaPriorRequests)/(q.requests[tenant]+quotaPriorRequests*quota))
	return within + (1-within)*q.overQuotaWeight
}

// fade multiplies the counts by a factor below 1.
func (q *tenantQuotas) fade(retained float64) {
	q.total *= retained
	for i := range q.requests {
		q.requests[i] *= retained
	}
}
