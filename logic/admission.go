package logic

import "math"

// Admission decides which requests are shed in an overload. A request that is rejected early does not load
// any endpoint, and leaves the capacity to requests that are then served in time.

// handleRequest admits or rejects a request. Every request, admitted or not, refills the retry and health
// check budgets. The shedding level is updated with each request; if it were updated only once per tick, it
// would oscillate between shedding everything and nothing.
func (b *Balancer) handleRequest(e Request) {
	if e.Class < 0 || e.Class >= len(b.settings.Classes) || b.requests[e.ID] != nil {
		return
	}
	r := &request{Request: e, class: &b.settings.Classes[e.Class]}
	b.requests[e.ID] = r
	b.retryBudget.refill()
	b.healthCheckBudget.refill(b.settings.HealthChecksPerRequest)
	if r.BodyPending {
		r.Deadline = math.MaxInt64
	} else {
		b.watchDeadline(r)
	}
	b.updateOverload(0)
	switch {
	case b.shuttingDown:
		b.finish(r, ShuttingDown)
	case b.shouldShed(r):
		b.finish(r, Overloaded)
	default:
		b.dispatch(r)
	}
}

// shouldShed decides whether a request is shed, and updates the quotas and the mean priority. A request
// that would test an ejected endpoint is not shed. Otherwise, when all requests of the class with the
// lowest priority are shed, ejected endpoints would get no requests and stay idle.
func (b *Balancer) shouldShed(r *request) bool {
	if b.settings.ExternalAdmission {
		return false
	}
	b.quotas.count(r.Tenant)
	priority := b.priorityOf(r)
	b.observePriority(priority)
	return b.drawShedding(priority) && b.halfOpenCandidate(r) == nil
}

// observePriority updates the mean priority with the priority of a request.
func (b *Balancer) observePriority(priority float64) {
	if b.meanPriority == 0 {
		b.meanPriority = priority
	}
	b.meanPriority += movingAverageWeight * (priority - b.meanPriority)
}

// drawShedding draws whether a request of the given priority is shed. The probability is the shedding level
// times the square of the ratio of the mean priority to the request's priority, so requests of low priority
// are shed first.
func (b *Balancer) drawShedding(priority float64) bool {
	relative := b.meanPriority / priority
	return b.random.Float64() < b.overload.level*relative*relative
}

// priorityOf returns the weight of the request's class divided by its baseline latency, times the priority
// factor of its tenant. The division prevents long requests from displacing short ones of the same weight.
func (b *Balancer) priorityOf(r *request) float64 {
	return r.class.PriorityWeight / b.baseline[r.Class] * b.quotas.priorityFactor(r.Tenant)
}
