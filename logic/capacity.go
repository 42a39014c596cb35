package logic

import (
	"math"
	"time"
)

// Capacity: what an endpoint can serve, and how certain that is. Three sources tell of it:
//
//   - load reports in answers: completed requests a second over utilization;
//   - without those, the latencies of this balancer's own answers;
//   - load reports in health checks, through a Kalman filter of their own.
//
// What is not certain is taken from the mean of the other endpoints, in proportion to the listed weights.

const (
	// minUtilization is the utilization below which a report says nothing of capacity: the quotient of two
	// small figures would call an idle endpoint small, and keep it idle.
	minUtilization = 0.05
	// reportFadeHorizons is the time in which load reports in answers fade to 1/e, in horizons.
	reportFadeHorizons = 4
	// answerFadeHorizons is the time in which the count of own answers fades to 1/e, in horizons.
	answerFadeHorizons = 6
	// priorAnswers is the number of own answers that the mean of the other endpoints counts for.
	priorAnswers = 4
	// zonePreference times CrossZoneCost is the factor by which an idle endpoint of the own zone counts as
	// larger.
	zonePreference = 60
)

// capacityEstimate is what is known of the capacity of one endpoint.
type capacityEstimate struct {
	rate      float64 // requests a second at full utilization, or 1/s of latency; 0 without an estimate
	certainty float64 // of requestRate: from 0 to 1, fading with time
	answers   answerLatency
	reports   reportedLoad
	checked   checkedCapacity
}

// answerLatency is the mean latency of this balancer's own answers.
type answerLatency struct {
	mean    float64 // seconds
	samples float64 // answers behind the mean, fading with time
}

// reportedLoad is the load that the endpoint reports in answers.
type reportedLoad struct {
	requestRate       float64       // requests a second, smoothed
	utilization       float64       // fraction, smoothed
	latestUtilization float64       // fraction, as last reported
	at                time.Duration // latest report; 0: none
}

// learnFromReport takes the load report of an answer. One of a warming endpoint says nothing of its capacity.
func (b *Balancer) learnFromReport(e *endpoint, r LoadReport) {
	if r.Utilization < 0 || r.RequestRate < 0 || b.slowStartFraction(e) < 1 {
		return
	}
	b.loadReported = true
	e.estimate.addReport(r, b.now, b.horizon)
}

func (c *capacityEstimate) addReport(r LoadReport, now, horizon time.Duration) {
	load := &c.reports
	retained := math.Exp(-float64(now-load.at) / (reportFadeHorizons * float64(horizon)))
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

// learnFromAnswer takes the latency of an own answer where no endpoint reports its load. By Little's law the
// served rate over the mean number in flight is one over the mean latency.
func (b *Balancer) learnFromAnswer(e *endpoint, latency time.Duration) {
	if b.loadReported || latency <= 0 {
		return
	}
	e.estimate.addAnswer(latency)
}

func (c *capacityEstimate) addAnswer(latency time.Duration) {
	own := &c.answers
	own.samples++
	own.mean += max(averageSampleWeight, 1/own.samples) * (latency.Seconds() - own.mean)
	c.rate, c.certainty = 1/own.mean, own.samples/(own.samples+priorAnswers)
}

// fadeEstimates lets what is known of the capacities age by a number of ticks.
func (b *Balancer) fadeEstimates(ticks float64) {
	for _, e := range b.endpoints.listed {
		e.estimate.fade(ticks, b.loadReported)
	}
}

func (c *capacityEstimate) fade(ticks float64, loadReported bool) {
	if loadReported {
		c.certainty *= math.Exp(-ticks / ticksPerHorizon / reportFadeHorizons)
		return
	}
	c.answers.samples *= math.Exp(-ticks / ticksPerHorizon / answerFadeHorizons)
	c.certainty = c.answers.samples / (c.answers.samples + priorAnswers)
}

// uncertainty is the part of the capacity that rests on the mean of the other endpoints: 1 where nothing is
// known of this one.
func (c *capacityEstimate) uncertainty(now time.Duration) float64 {
	return priorAnswers / (priorAnswers + c.answers.samples + c.checked.equivalentAnswers(now))
}

// fleetCapacity is the means over all endpoints that an uncertain one is estimated by.
type fleetCapacity struct {
	ratePerWeight float64 // requests a second for each unit of listed weight
	checkedLog    float64 // mean logarithm of the capacities from health checks
}

func (set *endpointSet) meanCapacity(now time.Duration) fleetCapacity {
	rate, weight, checkedLog, checkedAnswers := 0.0, 0.0, 0.0, 0.0
	for _, e := range set.listed {
		rate += e.estimate.rate * e.estimate.certainty
		weight += e.Weight * e.estimate.certainty
		if n := e.estimate.checked.equivalentAnswers(now); n > 0 {
			checkedLog += n * e.estimate.checked.logCapacity
			checkedAnswers += n
		}
	}
	mean := fleetCapacity{ratePerWeight: 1}
	if weight > 0 {
		mean.ratePerWeight = rate / weight
	}
	if checkedAnswers > 0 {
		mean.checkedLog = checkedLog / checkedAnswers
	}
	return mean
}

// combine returns the capacity of an endpoint of a listed weight. Each source counts by its certainty, and
// the mean of the others as priorAnswers answers: without that, an endpoint that once looked slow would get
// nothing by which to correct it, and a balancer with few requests would follow chance.
func (c *capacityEstimate) combine(listedWeight float64, mean fleetCapacity, now time.Duration) float64 {
	typical := mean.ratePerWeight * listedWeight
	capacity := typical + (c.rate-typical)*c.certainty
	if n := c.checked.equivalentAnswers(now); n > 0 {
		checked := typical * math.Exp(c.checked.logCapacity-mean.checkedLog)
		capacity += (checked - capacity) * n / (n + c.answers.samples + priorAnswers)
	}
	return capacity
}

// updateWeights sets the capacity and weight of each endpoint, the subset and its capacity, for the event at
// hand. The zone preference comes last: it steers selection and is no capacity.
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

// preferOwnZone raises the weight of endpoints in the balancer's own zone, the less the more they are used.
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
	// reportCountingSeconds is the time over which an endpoint counts its requests for a report, in seconds.
	reportCountingSeconds = 0.8
	// reportDelaySeconds is the age of a report when it arrives, in seconds.
	reportDelaySeconds = 0.3
	// capacityDriftVariance is the variance that the logarithm of a capacity gains, per second.
	capacityDriftVariance = 0.03
)

// checkedCapacity is a Kalman filter of the logarithm of the capacity that health checks report. Its state
// drifts as a random walk.
type checkedCapacity struct {
	logCapacity float64       // logarithm of requests a second
	variance    float64       // of logCapacity at the time of the latest report
	at          time.Duration // latest report; 0: none
}

// add takes a report. Its error is that of both figures, of counting few requests, and of its age. A report
// of an idle endpoint says nothing.
func (f *checkedCapacity) add(r LoadReport, now time.Duration) {
	if r.Utilization <= minUtilization || r.RequestRate <= 0 {
		return
	}
	measured := math.Log(r.RequestRate / r.Utilization)
	noise := 2*reportRelativeError*reportRelativeError + 1/(1+r.RequestRate*reportCountingSeconds) +
		capacityDriftVariance*(reportDelaySeconds+reportCountingSeconds/2)
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

// varianceAt is the variance of the logarithm at a time: it grows with the age of the latest report.
func (f *checkedCapacity) varianceAt(now time.Duration) float64 {
	return f.variance + capacityDriftVariance*(now-f.at).Seconds()
}

// equivalentAnswers is the number of own answers that would say as much as the reports do; 0 without one.
func (f *checkedCapacity) equivalentAnswers(now time.Duration) float64 {
	if f.at == 0 {
		return 0
	}
	return 1 / f.varianceAt(now)
}
