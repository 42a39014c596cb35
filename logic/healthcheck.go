package logic

import (
	"math"
	"time"
)

// Health checks show the state of an endpoint at a lower cost than a request. This file decides which
// endpoint is checked next, and evaluates the result. Two limits apply: a budget to which each request
// adds, and a minimum interval between two checks of an endpoint. The most urgent checks are sent first.

const (
	// initialHealthCheckBudget is the budget of a new balancer, before its first request.
	initialHealthCheckBudget = 3
	// reservedHealthCheckBudget is the part of the budget that is not spent on an uncertain capacity alone.
	reservedHealthCheckBudget = 1
	// maxHealthCheckBudget is the maximum number of health checks in the budget.
	maxHealthCheckBudget = 16
	// checkMissedResponses is the number of missed responses above which an endpoint is checked.
	checkMissedResponses = 4
	// checkUncertainty is the uncertainty of a capacity above which an endpoint is checked.
	checkUncertainty = 0.4
	// checkUtilizationCertainty is the certainty of a utilization below which an endpoint is checked when
	// there are signs of an overload.
	checkUtilizationCertainty = 0.5
	// checkIntervalSpread is the relative jitter of the interval between two checks of an endpoint.
	checkIntervalSpread = 0.5
	// checkBeforeHalfOpenTicks is how long before the end of an ejection an endpoint is checked, in ticks.
	checkBeforeHalfOpenTicks = 2
	// utilizationDecayHorizons is the time in which the certainty of a utilization from health checks
	// decays to 1/e, in horizons.
	utilizationDecayHorizons = 4
)

// Urgencies of health checks; the highest goes first. The uncertainty of the capacity, from 0 to 1, is the
// urgency of all other checks.
const (
	noCheck                 = 0.0
	checkForOverload        = 2.0 // minus the certainty of the utilization
	checkBeforeHalfOpen     = 3.0
	checkForMissedResponses = 4.0
)

// healthCheckBudget limits health checks to a fraction of the requests.
type healthCheckBudget struct {
	available float64 // health checks that may be sent now
}

// refill adds the health checks allowed by one request.
func (budget *healthCheckBudget) refill(perRequest float64) {
	budget.available = min(budget.available+perRequest, maxHealthCheckBudget)
}

// unscheduled is the nextAt of an endpoint that was just listed.
const unscheduled = -1

// checkSchedule determines when an endpoint may be checked: not while a check of it is in flight, and not
// before nextAt.
type checkSchedule struct {
	inFlight bool
	nextAt   time.Duration // earliest time of the next check
}

func (b *Balancer) healthChecksAllowed() bool {
	return b.settings.HealthChecksPerRequest > 0 && b.settings.EndpointHealthCheckRate > 0
}

// checkInterval draws the time in seconds between two checks of one endpoint, such that all balancers with
// the endpoint in their subset together stay within EndpointHealthCheckRate.
func (b *Balancer) checkInterval() float64 {
	jitter := 1 + checkIntervalSpread*(2*b.random.Float64()-1)
	subsetFraction := float64(b.endpoints.subset.size()) / max(1, float64(len(b.endpoints.listed)))
	checkingBalancers := float64(b.settings.Balancers) * min(1, subsetFraction)
	return jitter * checkingBalancers / b.settings.EndpointHealthCheckRate
}

// scheduleFirstChecks spreads the first checks of new endpoints over one interval. All balancers learn
// about a new endpoint at the same time and would otherwise check it at the same time.
func (b *Balancer) scheduleFirstChecks() {
	if !b.healthChecksAllowed() {
		return
	}
	for _, e := range b.endpoints.listed {
		if e.check.nextAt < 0 {
			e.check.nextAt = b.now + seconds(b.checkInterval()*b.random.Float64())
		}
	}
}

// startHealthChecks checks the most urgent endpoints while the budget lasts.
func (b *Balancer) startHealthChecks() {
	if !b.healthChecksAllowed() {
		return
	}
	for b.healthCheckBudget.available >= 1 {
		e := b.nextToCheck()
		if e == nil {
			return
		}
		e.check.inFlight, e.check.nextAt = true, b.now+seconds(b.checkInterval())
		b.healthCheckBudget.available--
		b.emit(Action{Kind: HealthCheck, Endpoint: e.ID})
	}
}

// nextToCheck returns the endpoint with the highest urgency above noCheck, or nil.
func (b *Balancer) nextToCheck() (next *endpoint) {
	highest := noCheck
	for _, e := range b.endpoints.listed {
		if urgency := b.checkUrgency(e); urgency > highest {
			next, highest = e, urgency
		}
	}
	return next
}

// checkUrgency returns how urgent a check of the endpoint is now. The reasons for a check, in decreasing
// order:
//
//   - an endpoint that misses responses may be dead;
//   - an endpoint whose ejection is about to end is checked before a half-open request is spent on it;
//   - if there are signs of an overload, an endpoint is checked if the certainty of its utilization is below
//     checkUtilizationCertainty, because the utilization decides on shedding;
//   - an endpoint with an uncertain capacity is checked, provided that requests are being served.
func (b *Balancer) checkUrgency(e *endpoint) float64 {
	if !e.inSubset || e.check.inFlight || b.now < e.check.nextAt || b.slowStartFraction(e) < 1 {
		return noCheck
	}
	if e.health.state != healthy {
		leadTime := checkBeforeHalfOpenTicks * b.horizon / ticksPerHorizon
		if e.health.awaitsTest() && b.now >= e.health.ejectedUntil-leadTime {
			return checkBeforeHalfOpen
		}
		return noCheck
	}
	if b.missedResponses(e) > checkMissedResponses {
		return checkForMissedResponses
	}
	if certainty := b.utilizationCertainty(e); b.overload.excess > 0 && certainty < checkUtilizationCertainty {
		return checkForOverload - certainty
	}
	uncertainty := e.estimate.uncertainty(b.now)
	affordable := b.healthCheckBudget.available >= 1+reservedHealthCheckBudget
	if uncertainty > checkUncertainty && b.overload.responses.count > 0 && affordable {
		return uncertainty
	}
	return noCheck
}

// handleHealthCheck processes the result of a health check. A check without a response does not by itself
// prove a fault, because endpoints serve only a limited number of checks; it does if the endpoint also
// misses responses or is ejected. A served check does not prove health, because an endpoint may serve
// checks and fail requests.
func (b *Balancer) handleHealthCheck(result HealthChecked) {
	e := b.endpoints.byID[result.Endpoint]
	if e == nil || !e.check.inFlight {
		return
	}
	e.check.inFlight = false
	switch result.Result {
	case OK:
		b.learnFromHealthCheck(e, result.LoadReport)
	case TimedOut, ConnectFailed, Reset:
		if e.health.state != healthy || b.missedResponses(e) > checkMissedResponses {
			b.eject(e)
		}
	}
}

// learnFromHealthCheck updates the estimates with the load report of a health check. The report of a
// warming endpoint is ignored.
func (b *Balancer) learnFromHealthCheck(e *endpoint, r LoadReport) {
	if r.Utilization < 0 || r.RequestRate < 0 || b.slowStartFraction(e) < 1 {
		return
	}
	e.healthCheckUtilization.add(r.Utilization, b.now, b.horizon)
	e.estimate.healthChecks.add(r, b.now)
}

// healthCheckUtilization is the utilization that the endpoint reports in health checks.
type healthCheckUtilization struct {
	value float64       // fraction of the cores' CPU time, smoothed
	at    time.Duration // time of the latest report; 0: none
}

// add updates the smoothed value with a report. The previous value has a weight of at most one half, and
// less the older it is.
func (u *healthCheckUtilization) add(utilization float64, now, horizon time.Duration) {
	if u.at == 0 {
		u.value = utilization
	}
	u.value += (1 - u.certainty(now, horizon)/2) * (utilization - u.value)
	u.at = now
}

// certainty is how far the value can be relied on: 1 right after a report, decaying to 0; 0 without a
// report.
func (u *healthCheckUtilization) certainty(now, horizon time.Duration) float64 {
	if u.at == 0 {
		return 0
	}
	return math.Exp(-float64(now-u.at) / (utilizationDecayHorizons * float64(horizon)))
}

func (b *Balancer) utilizationCertainty(e *endpoint) float64 {
	return e.healthCheckUtilization.certainty(b.now, b.horizon)
}
