package logic

import "math"

// Admission: which requests are shed in an overload. To reject early costs no endpoint anything, and leaves
// the capacity to requests that are then answered in time.

// handleRequest admits a request or rejects it. Its budgets grow with each request, admitted or not. The
// shedding level is updated with each request: once a tick it would swing between all and nothing.
func (b *Balancer) handleRequest(e Request) {
	if e.Class < 0 || e.Class >= len(b.settings.Classes) || b.requests[e.ID] != nil {
		return
	}
	r := &request{Request: e, class: &b.settings.Classes[e.Class]}
	b.requests[e.ID] = r
	b.retries.earn()
	b.healthChecks.earn(b.settings.HealthChecksPerRequest)
	if r.BodyPending {
		r.Deadline = math.MaxInt64
	} else {
		b.watchDeadline(r)
	}
	b.updateOverload(0)
	switch {
	case b.shuttingDown:
		b.finish(r, ShuttingDown)
	case b.sheds(r):
		b.finish(r, Overloaded)
	default:
		b.dispatch(r)
	}
}

// sheds reports whether a request is shed. One that would test an ejected endpoint is not: else, where all of
// the cheapest class is shed, ejected endpoints would get no request and stand idle.
func (b *Balancer) sheds(r *request) bool {
	if b.settings.ExternalAdmission {
		return false
	}
	b.quotas.count(r.Tenant)
	priority := b.priorityOf(r)
	b.observePriority(priority)
	return b.drawShedding(priority) && b.halfOpenCandidate(r) == nil
}

// observePriority takes the priority of a request into the mean.
func (b *Balancer) observePriority(priority float64) {
	if b.meanPriority == 0 {
		b.meanPriority = priority
	}
	b.meanPriority += averageSampleWeight * (priority - b.meanPriority)
}

// drawShedding draws whether a request of a priority is shed: its probability is the shedding level times the
// square of the mean priority over its own. So requests of low priority are shed first.
func (b *Balancer) drawShedding(priority float64) bool {
	relative := b.meanPriority / priority
	return b.random.Float64() < b.overload.level*relative*relative
}

// priorityOf is the weight of the request's class over its baseline latency, so that long requests do not
// displace short ones of the same weight, times the factor of its tenant's quota.
func (b *Balancer) priorityOf(r *request) float64 {
	return r.class.PriorityWeight / b.baseline[r.Class] * b.quotas.factor(r.Tenant)
}
