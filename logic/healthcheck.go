package logic

import (
	"math"
	"time"
)

// Health checks: which endpoint is checked next, and what the result says. They find out about an endpoint
// at less than the cost of a request. Two limits bound them: a budget that each request adds to, and the
// time between two checks of an endpoint. The most urgent go first.

const (
	// initialHealthChecks is the budget of a new balancer, before its first request.
	initialHealthChecks = 3
	// reservedHealthChecks is the part of the budget that uncertainty of capacity alone does not spend.
	reservedHealthChecks = 1
	// maxSavedHealthChecks is the most health checks in the budget.
	maxSavedHealthChecks = 16
	// checkMissedAnswers is the number of missed answers above which an endpoint is checked.
	checkMissedAnswers = 4
	// checkUncertainty is the uncertainty of a capacity above which an endpoint is checked.
	checkUncertainty = 0.4
	// checkUtilizationCertainty is the certainty of a utilization below which, in what looks like an overload,
	// an endpoint is checked.
	checkUtilizationCertainty = 0.5
	// checkIntervalSpread is the relative jitter of the interval between two checks of an endpoint.
	checkIntervalSpread = 0.5
	// checkBeforeHalfOpenTicks is how long before the end of an ejection an endpoint is checked, in ticks.
	checkBeforeHalfOpenTicks = 2
	// utilizationFadeHorizons is the time in which a checked utilization fades to 1/e, in horizons.
	utilizationFadeHorizons = 4
)

// Priorities of health checks; a higher one goes first. Below them comes the uncertainty of the capacity, 0
// to 1.
const (
	noCheck             = 0.0
	checkForOverload    = 2.0 // less the certainty of the known utilization
	checkBeforeHalfOpen = 3.0
	checkForSilence     = 4.0
)

// healthCheckBudget bounds health checks to a fraction of the requests.
type healthCheckBudget struct {
	available float64 // checks that may be sent now
}

// earn adds what one request allows.
func (budget *healthCheckBudget) earn(perRequest float64) {
	budget.available = min(budget.available+perRequest, maxSavedHealthChecks)
}

// unscheduled is the nextAt of an endpoint that has just been listed.
const unscheduled = -1

// checkSchedule is when an endpoint may be checked.
type checkSchedule struct {
	inFlight bool
	nextAt   time.Duration // earliest time of the next check
}

func (b *Balancer) healthChecksAllowed() bool {
	return b.settings.HealthChecksPerRequest > 0 && b.settings.EndpointHealthCheckRate > 0
}

// checkInterval draws the time in seconds between two checks of one endpoint, so that all the balancers that
// have it in their subset stay within EndpointHealthCheckRate together.
func (b *Balancer) checkInterval() float64 {
	jitter := 1 + checkIntervalSpread*(2*b.random.Float64()-1)
	subsetFraction := float64(b.endpoints.subset.size()) / max(1, float64(len(b.endpoints.listed)))
	checkingBalancers := float64(b.settings.Balancers) * min(1, subsetFraction)
	return jitter * checkingBalancers / b.settings.EndpointHealthCheckRate
}

// scheduleFirstChecks spreads the first checks of new endpoints over an interval: all balancers learn of a
// new endpoint at the same time and must not check it together.
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

// startHealthChecks checks the endpoints with the highest priorities, while the budget lasts.
func (b *Balancer) startHealthChecks() {
	if !b.healthChecksAllowed() {
		return
	}
	for b.healthChecks.available >= 1 {
		e := b.nextToCheck()
		if e == nil {
			return
		}
		e.check.inFlight, e.check.nextAt = true, b.now+seconds(b.checkInterval())
		b.healthChecks.available--
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

// checkUrgency is how useful a check of the endpoint is now. One that misses answers may be dead. One whose
// ejection ends is checked before it costs a request. In what looks like an overload the utilization of the
// endpoints decides on shedding. Otherwise a capacity that is not known well is worth a check, where requests
// are served.
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
	if b.missedAnswers(e) > checkMissedAnswers {
		return checkForSilence
	}
	if certainty := b.utilizationCertainty(e); b.overload.excess > 0 && certainty < checkUtilizationCertainty {
		return checkForOverload - certainty
	}
	uncertainty := e.estimate.uncertainty(b.now)
	affordable := b.healthChecks.available >= 1+reservedHealthChecks
	if uncertainty > checkUncertainty && b.overload.answers.count > 0 && affordable {
		return uncertainty
	}
	return noCheck
}

// handleHealthCheck takes the result of a check. A lost one alone proves no fault, as endpoints serve only
// a number of checks: it does where answers are missed, or the endpoint is ejected. A served one proves no
// health, as an endpoint may serve checks and fail requests.
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
		if e.health.state != healthy || b.missedAnswers(e) > checkMissedAnswers {
			b.eject(e)
		}
	}
}

// learnFromHealthCheck takes the load report of a health check. One of a warming endpoint says nothing.
func (b *Balancer) learnFromHealthCheck(e *endpoint, r LoadReport) {
	if r.Utilization < 0 || r.RequestRate < 0 || b.slowStartFraction(e) < 1 {
		return
	}
	e.utilization.add(r.Utilization, b.now, b.horizon)
	e.estimate.checked.add(r, b.now)
}

// checkedUtilization is the utilization that health checks report.
type checkedUtilization struct {
	value float64       // fraction of the cores' time, smoothed
	at    time.Duration // latest report; 0: none
}

// add takes a report; the smoothed value counts for at most half, and less with its age.
func (u *checkedUtilization) add(utilization float64, now, horizon time.Duration) {
	if u.at == 0 {
		u.value = utilization
	}
	u.value += (1 - u.certainty(now, horizon)/2) * (utilization - u.value)
	u.at = now
}

// certainty is how much the value still says: 1 after a report, fading to 0; 0 without one.
func (u *checkedUtilization) certainty(now, horizon time.Duration) float64 {
	if u.at == 0 {
		return 0
	}
	return math.Exp(-float64(now-u.at) / (utilizationFadeHorizons * float64(horizon)))
}

func (b *Balancer) utilizationCertainty(e *endpoint) float64 {
	return e.utilization.certainty(b.now, b.horizon)
}
