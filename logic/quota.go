package logic

// Quotas: in an overload, the requests of a tenant that exceeds its quota get a lower priority, so that
// they displace the tenant's own requests and not those of tenants within their quotas. Without an overload
// quotas have no effect.

// quotaPriorRequests is the number of requests, distributed according to the quotas, that priorityFactor
// adds to the counts whenever it uses them, because a few requests do not show a tenant's share.
const quotaPriorRequests = 20

// tenantQuotas counts the recent requests of each tenant at this balancer.
type tenantQuotas struct {
	quotas          []float64 // fraction of all requests, by tenant
	overQuotaWeight float64   // priority factor of a request over the quota, 0 to 1
	requests        []float64 // by tenant; decays with time
	total           float64   // sum of requests
}

func newTenantQuotas(quotas []float64, overQuotaWeight float64) tenantQuotas {
	return tenantQuotas{quotas: quotas, overQuotaWeight: overQuotaWeight, requests: make([]float64, len(quotas))}
}

// hasQuota reports whether the settings define a quota for the tenant.
func (q *tenantQuotas) hasQuota(tenant int) bool { return tenant >= 0 && tenant < len(q.quotas) }

// count counts a request of a tenant. Requests of tenants without a quota are not counted.
func (q *tenantQuotas) count(tenant int) {
	if q.hasQuota(tenant) {
		q.requests[tenant]++
		q.total++
	}
}

// priorityFactor returns the factor for the priority of a tenant's requests: 1 within the quota or without
// one, falling towards overQuotaWeight as the tenant exceeds its quota.
func (q *tenantQuotas) priorityFactor(tenant int) float64 {
	if !q.hasQuota(tenant) {
		return 1
	}
	quota := q.quotas[tenant]
	within := min(1, quota*(q.total+quotaPriorRequests)/(q.requests[tenant]+quotaPriorRequests*quota))
	return within + (1-within)*q.overQuotaWeight
}

// decay multiplies the counts by a factor below 1.
func (q *tenantQuotas) decay(retained float64) {
	q.total *= retained
	for i := range q.requests {
		q.requests[i] *= retained
	}
}
