package logic

import "math"

// Overload control estimates how much load must be shed so that responses come in time:
//
//	level = sheddingSlope * max(0, latency signal, concurrency signal)
//
// The signals are computed from latency ratios (latency divided by the latency objective of the class), the
// utilization of the endpoints (0 to 1) and the rejection rate (0 to 1). Each signal compares a latency
// ratio with the threshold:
//
//   - the latency signal uses the measured latency ratio of responses;
//   - the concurrency signal uses the latency ratio that Little's law gives for the attempts in flight.
//
// The utilization determines the weight of each signal, and the rejection rate lowers the threshold. The
// level is the fraction of requests of mean priority to shed; admission.go decides which.

const (
	// sheddingLatencyRatio is the latency ratio above which requests of mean priority are shed.
	sheddingLatencyRatio = 0.4
	// minSheddingLatencyRatio is the lower limit of that threshold, however high the rejection rate.
	minSheddingLatencyRatio = 0.2
	// rejectionThresholdFactor times the rejection rate is subtracted from the threshold.
	rejectionThresholdFactor = 3.5
	// subsetThresholdFactor lowers the threshold if the balancer uses only a part of the endpoints.
	subsetThresholdFactor = 0.9
	// sheddingSlope is the increase of the shedding level per unit of latency ratio above the threshold.
	sheddingSlope = 6
	// latencyRatioWeight is the weight of a new sample in the latency ratio.
	latencyRatioWeight = 0.1
	// rejectionWeight is the minimum weight of a new outcome in the rejection rate.
	rejectionWeight = 0.01
	// rejectionPriorOutcomes is the number of outcomes without a rejection that a new balancer starts with.
	rejectionPriorOutcomes = 8
	// idleUtilization is the utilization up to which the concurrency signal is ignored.
	idleUtilization = 0.5
	// busyUtilization is the utilization up to which the latency signal is ignored, and from which the
	// concurrency signal has its full weight.
	busyUtilization = 0.75
	// fullUtilization is the utilization from which the latency signal has its full weight.
	fullUtilization = 0.95
	// maxAgeFactor times the mean relative age of the attempts in flight limits the concurrency signal.
	maxAgeFactor = 3
	// priorRateResponses is the number of responses at which their rate has a weight of one half.
	priorRateResponses = 4
	// responseRateDecayHorizons is the time in which the counted responses decay to 1/e, in horizons.
	responseRateDecayHorizons = 8
)

// overloadEstimator holds the overload signals and the resulting shedding level.
type overloadEstimator struct {
	latencyRatio float64 // moving average of latency over objective; 1 for an attempt without a response in time
	responses    responseRate
	rejections   rejectionRate

	// Set by updateOverload.
	utilization float64 // of the endpoints, 0 to 1
	threshold   float64 // latency ratio at which shedding begins
	// excess is how far the latency ratio of responses or the concurrency ratio, whichever is higher, exceeds
	// sheddingLatencyRatio, whatever the utilization; 0 if neither exceeds it. The concurrency ratio is the
	// latency ratio by Little's law.
	excess float64
	level  float64 // fraction of requests of mean priority to shed; may exceed 1
}

// responseRate counts responses and the time in which they came. Both decay at the same rate.
type responseRate struct {
	count   float64
	seconds float64
}

// rejectionRate is the fraction of recent attempts that endpoints have rejected.
type rejectionRate struct {
	fraction float64
	outcomes float64 // number of outcomes in the fraction, up to 1/rejectionWeight
}

func (rate *rejectionRate) observe(rejected bool) {
	sample := 0.0
	if rejected {
		sample = 1
	}
	rate.outcomes = min(rate.outcomes+1, 1/rejectionWeight)
	rate.fraction += (sample - rate.fraction) / (rate.outcomes + rejectionPriorOutcomes)
}

// observeLatency adds a sample of the latency ratio. Samples above 1 count as 1.
func (o *overloadEstimator) observeLatency(ratio float64) {
	o.latencyRatio += latencyRatioWeight * (min(ratio, 1) - o.latencyRatio)
}

// observeOverload updates the signals with an outcome. Repeated rejections of a request at the same
// endpoint count once. A rejection also counts as a late response, unless the owner already sheds load
// based on rejections.
func (b *Balancer) observeOverload(a *attempt, o Outcome, ev evidence) {
	repeated := o.Result == Rejected && a.hasUnexecutedAttemptAtSameEndpoint()
	if !repeated {
		switch o.Result {
		case OK, Rejected, TimedOut, Failed:
			b.overload.rejections.observe(o.Result == Rejected)
		}
	}
	switch {
	case ev == responseEvidence:
		b.overload.responses.count++
		b.overload.observeLatency(float64(o.Latency) / float64(a.request.class.LatencyObjective))
	case ev == overloadEvidence, o.Result == Rejected && !repeated && !b.settings.ExternalAdmission:
		b.overload.observeLatency(1)
	}
}

// updateOverload recomputes the shedding level. The counts decay by a number of ticks, which may be 0.
func (b *Balancer) updateOverload(ticks float64) {
	b.updateWeights() // an ejection since the last update changes the capacities
	concurrency := b.sampleConcurrency()
	b.endpoints.subset.byConcurrency = int(concurrency.attempts / attemptsPerSubsetEndpoint)
	b.decayCounts(ticks)

	o := &b.overload
	usesSubset := b.endpoints.subset.byFleet < len(b.endpoints.listed)
	concurrencyRatio := concurrency.latencyRatio(o.responses)
	o.utilization = b.fleetUtilization()
	o.threshold = sheddingThreshold(o.rejections.fraction, usesSubset)
	o.excess = max(0, o.latencyRatio-sheddingLatencyRatio, concurrencyRatio-sheddingLatencyRatio)
	o.level = sheddingSlope * max(0,
		latencySignal(o.latencyRatio, o.threshold, o.utilization),
		concurrencySignal(concurrencyRatio, o.threshold, o.utilization))
}

// sheddingThreshold returns the latency ratio at which shedding begins. Rejections lower it: they are the
// endpoints' own report of an overload, and an endpoint that stays saturated for long also stays slow for
// longer. It is also lower for a balancer that uses a part of the fleet. Such a balancer detects an
// overload late, when the clients of all balancers are already retrying.
func sheddingThreshold(rejectionRate float64, usesSubset bool) float64 {
	threshold := max(minSheddingLatencyRatio, sheddingLatencyRatio-rejectionThresholdFactor*rejectionRate)
	if usesSubset {
		threshold *= subsetThresholdFactor
	}
	return threshold
}

// latencySignal is the difference between the latency ratio of responses and the threshold, weighted by how
// busy the endpoints are. Without that weight, a single slow endpoint, or random variation at a balancer
// with few requests, would look like an overload.
func latencySignal(latencyRatio, threshold, utilization float64) float64 {
	confidence := min(1, max(0, (utilization-busyUtilization)/(fullUtilization-busyUtilization)))
	return confidence * (latencyRatio - threshold)
}

// concurrencySignal is the difference between the latency ratio by Little's law and the threshold, weighted
// by how much the endpoints are in use. If they are idle, attempts that stay in flight are hanging, and
// shedding other requests would not help them. Each request shed would lower the rate of responses, so that
// the same few attempts would look like a growing overload.
func concurrencySignal(concurrencyRatio, threshold, utilization float64) float64 {
	confidence := min(1, max(0, (utilization-idleUtilization)/(busyUtilization-idleUtilization)))
	return confidence * (concurrencyRatio - threshold)
}

// concurrencySample summarizes the attempts in flight that are not older than the latency objective of
// their class. Older attempts are left out: they hang, or their latency shows in late responses.
type concurrencySample struct {
	attempts          float64
	inverseObjectives float64 // sum of 1/objective, in 1/s
	relativeAge       float64 // sum of age/objective
}

// sampleConcurrency summarizes the attempts in flight at endpoints that are not ejected.
func (b *Balancer) sampleConcurrency() (sample concurrencySample) {
	for _, e := range b.endpoints.listed {
		if b.isEjected(e) {
			continue
		}
		for _, a := range e.inFlight {
			objective := a.request.class.LatencyObjective
			if a.fullySent() && b.now-a.responseDueFrom <= objective {
				sample.attempts++
				sample.inverseObjectives += 1 / objective.Seconds()
				sample.relativeAge += float64(b.now-a.responseDueFrom) / float64(objective)
			}
		}
	}
	return sample
}

// latencyRatio estimates the mean latency ratio by Little's law: the sum of 1/objective over the attempts
// in flight, divided by the rate of responses. It is updated with each request and so shows an overload
// before late responses do. A small number of attempts in flight varies randomly, and few responses give no
// reliable rate, so both reduce the estimate. When traffic rises or comes in a burst, the attempts in
// flight increase before the rate of responses does, which is not an overload; the attempts are recent
// then, and their mean age limits the estimate.
func (sample concurrencySample) latencyRatio(rate responseRate) float64 {
	ratio := sample.inverseObjectives * rate.seconds / (rate.count + 1) *
		(1 - 1/math.Sqrt(max(sample.attempts, 1))) * rate.count / (rate.count + priorRateResponses)
	return min(ratio, maxAgeFactor*sample.relativeAge/max(sample.attempts, 1))
}

// decayCounts decays the counts by a number of ticks, and adds the time of those ticks.
func (b *Balancer) decayCounts(ticks float64) {
	retainedByTick := math.Exp(-1.0 / ticksPerHorizon / responseRateDecayHorizons)
	retained := math.Pow(retainedByTick, ticks)
	o := &b.overload
	o.responses.count = retained * o.responses.count
	o.responses.seconds = retained*o.responses.seconds +
		b.horizon.Seconds()/ticksPerHorizon*(1-retained)/(1-retainedByTick)
	o.latencyRatio = retained * o.latencyRatio
	b.quotas.decay(retained)
}

// fleetUtilization is the utilization of the endpoints that are not ejected, weighted by capacity. It is
// computed from load reports in responses, or from health checks if there are none. As a report ages, the
// utilization is taken to approach 1, because in an overload no responses arrive.
func (b *Balancer) fleetUtilization() float64 {
	used, capacity := 0.0, 0.0
	for _, e := range b.endpoints.listed {
		if e.estimate.reports.at > 0 && !b.isEjected(e) {
			used += (1 - e.estimate.certainty*(1-e.estimate.reports.latestUtilization)) * e.capacity
			capacity += e.capacity
		}
	}
	if capacity == 0 {
		return b.healthCheckFleetUtilization()
	}
	return used / capacity
}

// healthCheckFleetUtilization is the utilization of the subset according to health checks. Endpoints
// without a recent health check count as fully utilized.
func (b *Balancer) healthCheckFleetUtilization() float64 {
	used, capacity := 0.0, 0.0
	for _, e := range b.endpoints.listed {
		if e.inSubset && !b.isEjected(e) {
			used += (1 - b.utilizationCertainty(e)*(1-e.healthCheckUtilization.value)) * e.capacity
			capacity += e.capacity
		}
	}
	if capacity == 0 {
		return 1
	}
	return used / capacity
}

// OverloadLevel returns the fraction of requests of mean priority to shed. A value below 0 means that there
// is no overload: its magnitude is the distance of the latency ratio below the threshold, as a fraction of
// the threshold.
func (b *Balancer) OverloadLevel() float64 {
	if b.overload.level > 0 {
		return b.overload.level
	}
	return min(0, b.overload.latencyRatio/b.overload.threshold-1)
}
