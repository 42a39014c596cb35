package logic

import (
	"math"
	"time"
)

// Capacity is how many requests an endpoint can serve. It is estimated from three sources:
//
//   - load reports in responses: completed requests per second divided by utilization;
//   - without those, the latencies of this balancer's own responses;
//   - load reports in health checks, smoothed by a separate Kalman filter.
//
// To the degree that the estimate is uncertain, it is replaced by the mean of the other endpoints, scaled
// by the listed weight.

const (
	// minUtilization is the utilization below which a report is not used to estimate capacity: the quotient
	// of two small figures could make an idle endpoint look small and keep it idle.
	minUtilization = 0.05
	// reportDecayHorizons is the time in which load reports in responses decay to 1/e, in horizons.
	reportDecayHorizons = 4
	// responseDecayHorizons is the time in which the number of responses counted by this balancer decays to
	// 1/e, in horizons.
	responseDecayHorizons = 6
	// priorResponses is the weight of the mean of the other endpoints, as an equivalent number of
	// responses.
	priorResponses = 4
	// zonePreference times CrossZoneCost is the relative increase of the weight of an idle endpoint in the
	// balancer's own zone.
	zonePreference = 60
)

// capacityEstimate is the estimated capacity of one endpoint.
type capacityEstimate struct {
	rate         float64 // requests per second at full utilization, or 1/s of latency; 0 without an estimate
	certainty    float64 // of rate: from 0 to 1, decays with time
	responses    responseLatency
	reports      reportedLoad
	healthChecks healthCheckCapacity
}

// responseLatency is the mean latency of this balancer's own responses.
type responseLatency struct {
	mean    float64 // seconds
	samples float64 // responses in the mean; decays with time
}

// reportedLoad is the load that the endpoint reports in responses.
type reportedLoad struct {
	requestRate       float64       // requests per second, smoothed
	utilization       float64       // fraction, smoothed
	latestUtilization float64       // fraction, from the latest report
	at                time.Duration // time of the latest report; 0: none
}

// learnFromReport updates the estimate with the load report of a response. The report of a warming endpoint
// is ignored, because it does not show the endpoint's full capacity.
func (b *Balancer) learnFromReport(e *endpoint, r LoadReport) {
	if r.Utilization < 0 || r.RequestRate < 0 || b.slowStartFraction(e) < 1 {
		return
	}
	b.loadReported = true
	e.estimate.addReport(r, b.now, b.horizon)
}

func (c *capacityEstimate) addReport(r LoadReport, now, horizon time.Duration) {
	load := &c.reports
	retained := math.Exp(-float64(now-load.at) / (reportDecayHorizons * float64(horizon)))
	if load.at == 0 {
		retained = 0
	}
	load.at, load.latestUtilization = now, r.Utilization
	load.requestRate = retained*load.requestRate + (1-retained)*r.RequestRate
	load.utilization = retained*load.utilization + (1-retained)*r.Utilization
	if load.utilization > minUtilization {
		c.rate, c.certainty = load.requestRate/load.utilization, 1
	}
}

// learnFromResponse updates the estimate with the latency of a response to this balancer, if no endpoint
// reports its load. By Little's law, the served rate divided by the mean number in flight is the inverse of
// the mean latency.
func (b *Balancer) learnFromResponse(e *endpoint, latency time.Duration) {
	if b.loadReported || latency <= 0 {
		return
	}
	e.estimate.addResponse(latency)
}

func (c *capacityEstimate) addResponse(latency time.Duration) {
	own := &c.responses
	own.samples++
	own.mean += max(movingAverageWeight, 1/own.samples) * (latency.Seconds() - own.mean)
	c.rate, c.certainty = 1/own.mean, own.samples/(own.samples+priorResponses)
}

// decayEstimates ages the capacity estimates of all endpoints by a number of ticks.
func (b *Balancer) decayEstimates(ticks float64) {
	for _, e := range b.endpoints.listed {
		e.estimate.decay(ticks, b.loadReported)
	}
}

func (c *capacityEstimate) decay(ticks float64, loadReported bool) {
	if loadReported {
		c.certainty *= math.Exp(-ticks / ticksPerHorizon / reportDecayHorizons)
		return
	}
	c.responses.samples *= math.Exp(-ticks / ticksPerHorizon / responseDecayHorizons)
	c.certainty = c.responses.samples / (c.responses.samples + priorResponses)
}

// uncertainty is the fraction of the capacity that is taken from the mean of the other endpoints: 1 if
// nothing is known about this endpoint.
func (c *capacityEstimate) uncertainty(now time.Duration) float64 {
	return priorResponses / (priorResponses + c.responses.samples + c.healthChecks.equivalentResponses(now))
}

// fleetCapacity holds means over all endpoints, which stand in for the uncertain part of an estimate.
type fleetCapacity struct {
	ratePerWeight   float64 // requests per second per unit of listed weight
	meanLogCapacity float64 // mean logarithm of the capacities from health checks
}

func (set *endpointSet) meanCapacity(now time.Duration) fleetCapacity {
	rate, weight, logCapacitySum, healthCheckResponses := 0.0, 0.0, 0.0, 0.0
	for _, e := range set.listed {
		rate += e.estimate.rate * e.estimate.certainty
		weight += e.Weight * e.estimate.certainty
		if n := e.estimate.healthChecks.equivalentResponses(now); n > 0 {
			logCapacitySum += n * e.estimate.healthChecks.logCapacity
			healthCheckResponses += n
		}
	}
	mean := fleetCapacity{ratePerWeight: 1}
	if weight > 0 {
		mean.ratePerWeight = rate / weight
	}
	if healthCheckResponses > 0 {
		mean.meanLogCapacity = logCapacitySum / healthCheckResponses
	}
	return mean
}

// combine returns the capacity of an endpoint with the given listed weight. Each source is weighted by its
// certainty, and the mean of the other endpoints by priorResponses. Without that prior, an endpoint that
// once looked slow would get no requests that could correct its estimate, and a balancer with few requests
// would follow random variation.
func (c *capacityEstimate) combine(listedWeight float64, mean fleetCapacity, now time.Duration) float64 {
	prior := mean.ratePerWeight * listedWeight
	capacity := prior + (c.rate-prior)*c.certainty
	if n := c.healthChecks.equivalentResponses(now); n > 0 {
		healthCheckRate := prior * math.Exp(c.healthChecks.logCapacity-mean.meanLogCapacity)
		capacity += (healthCheckRate - capacity) * n / (n + c.responses.samples + priorResponses)
	}
	return capacity
}

// updateWeights computes the capacity and weight of each endpoint, the subset, and the weight of the subset
// for the current event. The zone preference is applied last, because it affects selection but is not
// capacity.
func (b *Balancer) updateWeights() {
	mean := b.endpoints.meanCapacity(b.now)
	for _, e := range b.endpoints.listed {
		e.capacity = e.estimate.combine(e.Weight, mean, b.now)
		e.weight = e.capacity * b.slowStartFraction(e) * (1 - e.health.failureRate)
	}
	b.endpoints.chooseSubset()
	b.endpoints.sumWeights()
	b.preferOwnZone()
}

// preferOwnZone raises the weight of endpoints in the balancer's own zone. The increase is largest for an
// idle endpoint and shrinks to nothing as its utilization rises to 1.
func (b *Balancer) preferOwnZone() {
	for _, e := range b.endpoints.listed {
		if e.State == Ready && e.Zone == b.settings.Zone && b.slowStartFraction(e) == 1 {
			e.weight *= 1 + zonePreference*b.settings.CrossZoneCost*max(0, 1-e.estimate.reports.utilization)
		}
	}
}

const (
	// reportRelativeError is the relative standard error of a figure in a load report.
	reportRelativeError = 0.07
	// reportWindowSeconds is the length of the window over which an endpoint counts its requests for a
	// report, in seconds.
	reportWindowSeconds = 0.8
	// reportDelaySeconds is the age of a report when it arrives, in seconds.
	reportDelaySeconds = 0.3
	// capacityDriftVariance is the increase per second of the variance of the logarithm of a capacity.
	capacityDriftVariance = 0.03
)

// healthCheckCapacity is a Kalman filter for the logarithm of the capacity that an endpoint reports in
// health checks. The capacity is modelled as a random walk.
type healthCheckCapacity struct {
	logCapacity float64       // logarithm of requests per second
	variance    float64       // of logCapacity, at the time of the latest report
	at          time.Duration // time of the latest report; 0: none
}

// add updates the filter with a report. The variance of the report is the sum of the errors of both
// figures, the error of counting few requests, and the drift over the report's age. A report of an idle
// endpoint is ignored.
func (f *healthCheckCapacity) add(r LoadReport, now time.Duration) {
	if r.Utilization <= minUtilization || r.RequestRate <= 0 {
		return
	}
	measured := math.Log(r.RequestRate / r.Utilization)
	noise := 2*reportRelativeError*reportRelativeError + 1/(1+r.RequestRate*reportWindowSeconds) +
		capacityDriftVariance*(reportDelaySeconds+reportWindowSeconds/2)
	if f.at == 0 {
		f.logCapacity, f.variance = measured, noise
	} else {
		variance := f.varianceAt(now)
		gain := variance / (variance + noise)
		f.logCapacity += gain * (measured - f.logCapacity)
		f.variance = (1 - gain) * variance
	}
	f.at = now
}

// varianceAt is the variance of logCapacity at a time. It grows with the age of the latest report.
func (f *healthCheckCapacity) varianceAt(now time.Duration) float64 {
	return f.variance + capacityDriftVariance*(now-f.at).Seconds()
}

// equivalentResponses is the number of responses to this balancer that carry as much information as the
// reports; 0 without a report.
func (f *healthCheckCapacity) equivalentResponses(now time.Duration) float64 {
	if f.at == 0 {
		return 0
	}
	return 1 / f.varianceAt(now)
}
