package logic

import "math"

// Overload: how much load must be shed so that answers come in time.
//
//	level = sheddingSlope * max(0, latency signal, concurrency signal)
//
// The signals take latency ratios (latency over the latency objective of the class), the utilization of the
// endpoints (0 to 1) and the rejection rate (0 to 1). Both compare a latency ratio with the threshold:
//
//   - the latency signal that of answers;
//   - the concurrency signal that of what is in flight, by Little's law.
//
// The utilization says how far each is believed, and the rejection rate lowers the threshold. The level is
// the fraction of requests of mean priority to shed; admission.go decides which.

const (
	// sheddingLatencyRatio is the latency ratio above which requests of mean priority are shed.
	sheddingLatencyRatio = 0.4
	// minSheddingLatencyRatio bounds that threshold from below, whatever the rejection rate.
	minSheddingLatencyRatio = 0.2
	// rejectionThresholdFactor times the rejection rate is subtracted from the threshold.
	rejectionThresholdFactor = 3.5
	// subsetThresholdFactor lowers the threshold where the balancer uses a part of the endpoints only.
	subsetThresholdFactor = 0.9
	// sheddingSlope is the rise of the shedding level with the latency ratio above the threshold.
	sheddingSlope = 6
	// latencyRatioWeight is the weight of a new sample in the latency ratio.
	latencyRatioWeight = 0.1
	// rejectionWeight is the least weight of a new outcome in the rejection rate.
	rejectionWeight = 0.01
	// rejectionPriorOutcomes is the number of outcomes without a rejection that a new balancer starts from.
	rejectionPriorOutcomes = 8
	// idleUtilization is the utilization up to which the concurrency signal counts for nothing.
	idleUtilization = 0.5
	// busyUtilization is the utilization up to which the latency signal counts for nothing, and from which the
	// concurrency signal counts in full.
	busyUtilization = 0.75
	// fullUtilization is the utilization from which the latency signal counts in full.
	fullUtilization = 0.95
	// maxAgeFactor times the mean age of what is in flight bounds the concurrency signal.
	maxAgeFactor = 3
	// priorRateAnswers is the number of answers at which their rate counts for one half.
	priorRateAnswers = 4
	// answerRateHorizons is the time in which counted answers fade to 1/e, in horizons.
	answerRateHorizons = 8
)

// overloadEstimator is the state of the overload signals and what follows from them.
type overloadEstimator struct {
	latencyRatio float64 // moving average of latency over objective; 1 for what has no answer in time
	answers      answerRate
	rejections   rejectionRate

	// Set by updateOverload.
	utilization float64 // of the endpoints, 0 to 1
	threshold   float64 // latency ratio at which shedding begins
	excess      float64 // latency ratio above sheddingLatencyRatio by either signal, whatever the utilization
	level       float64 // fraction of requests of mean priority to shed; may exceed 1
}

// answerRate counts answers and the time in which they came; both fade together.
type answerRate struct {
	count   float64
	seconds float64
}

// rejectionRate is the fraction of attempts that endpoints have rejected lately.
type rejectionRate struct {
	fraction float64
	outcomes float64 // behind the fraction, up to 1/rejectionWeight
}

func (rate *rejectionRate) observe(rejected bool) {
	sample := 0.0
	if rejected {
		sample = 1
	}
	rate.outcomes = min(rate.outcomes+1, 1/rejectionWeight)
	rate.fraction += (sample - rate.fraction) / (rate.outcomes + rejectionPriorOutcomes)
}

// observeLatency takes a sample of the latency ratio; above 1 all are equally late.
func (o *overloadEstimator) observeLatency(ratio float64) {
	o.latencyRatio += latencyRatioWeight * (min(ratio, 1) - o.latencyRatio)
}

// observeOverload takes an outcome into the signals. A rejection counts once for a request at an endpoint,
// and as a late answer unless load is shed outside, by the same rejections.
func (b *Balancer) observeOverload(a *attempt, o Outcome, found evidence) {
	repeated := o.Result == Rejected && a.neverExecutedThereBefore()
	if !repeated {
		switch o.Result {
		case OK, Rejected, TimedOut, Failed:
			b.overload.rejections.observe(o.Result == Rejected)
		}
	}
	switch {
	case found == answerEvidence:
		b.overload.answers.count++
		b.overload.observeLatency(float64(o.Latency) / float64(a.request.class.LatencyObjective))
	case found == overloadEvidence, o.Result == Rejected && !repeated && !b.settings.ExternalAdmission:
		b.overload.observeLatency(1)
	}
}

// updateOverload recomputes the shedding level; the counts fade by a number of ticks, which may be 0.
func (b *Balancer) updateOverload(ticks float64) {
	b.updateWeights() // an ejection since the last time changes the capacities
	concurrency := b.youngConcurrency()
	b.endpoints.subset.byConcurrency = int(concurrency.attempts / attemptsPerSubsetEndpoint)
	b.fadeCounts(ticks)

	o := &b.overload
	usesSubset := b.endpoints.subset.byFleet < len(b.endpoints.listed)
	concurrencyRatio := concurrency.latencyRatio(o.answers)
	o.utilization = b.fleetUtilization()
	o.threshold = sheddingThreshold(o.rejections.fraction, usesSubset)
	o.excess = max(0, o.latencyRatio-sheddingLatencyRatio, concurrencyRatio-sheddingLatencyRatio)
	o.level = sheddingSlope * max(0,
		latencySignal(o.latencyRatio, o.threshold, o.utilization),
		concurrencySignal(concurrencyRatio, o.threshold, o.utilization))
}

// sheddingThreshold is the latency ratio at which shedding begins. The more attempts the endpoints reject,
// the earlier: that is their own report of overload, and one that stays full for long becomes slow for
// longer. A balancer that uses a part of a fleet sees an overload late, when clients of all balancers retry
// already.
func sheddingThreshold(rejectionRate float64, usesSubset bool) float64 {
	threshold := max(minSheddingLatencyRatio, sheddingLatencyRatio-rejectionThresholdFactor*rejectionRate)
	if usesSubset {
		threshold *= subsetThresholdFactor
	}
	return threshold
}

// latencySignal is how far the latency ratio of answers exceeds the threshold, as far as the endpoints are
// busy. Otherwise one slow endpoint, or chance at a balancer with few requests, would pass for an overload.
func latencySignal(latencyRatio, threshold, utilization float64) float64 {
	confidence := min(1, max(0, (utilization-busyUtilization)/(fullUtilization-busyUtilization)))
	return confidence * (latencyRatio - threshold)
}

// concurrencySignal is how far the latency ratio by Little's law exceeds the threshold, as far as the
// endpoints are in use. Where they are idle, what stays in flight hangs: to shed other requests would not
// help it, and as answers become fewer with each request shed, the same few in flight would look like a
// growing overload.
func concurrencySignal(concurrencyRatio, threshold, utilization float64) float64 {
	confidence := min(1, max(0, (utilization-idleUtilization)/(busyUtilization-idleUtilization)))
	return confidence * (concurrencyRatio - threshold)
}

// concurrencySample is what is in flight and younger than the latency objective of its class. An older
// attempt hangs, or late answers show its latency.
type concurrencySample struct {
	attempts  float64
	perSecond float64 // sum of 1/objective, 1/s
	age       float64 // sum of age over objective
}

func (b *Balancer) youngConcurrency() (sample concurrencySample) {
	for _, e := range b.endpoints.listed {
		if b.isEjected(e) {
			continue
		}
		for _, a := range e.inFlight {
			objective := a.request.class.LatencyObjective
			if a.awaitsAnswer() && b.now-a.answerDueFrom <= objective {
				sample.attempts++
				sample.perSecond += 1 / objective.Seconds()
				sample.age += float64(b.now-a.answerDueFrom) / float64(objective)
			}
		}
	}
	return sample
}

// latencyRatio estimates the mean latency ratio by Little's law: what is in flight, each by one over its
// objective, over the rate of answers. It shows an overload with each request, before late answers do. Few
// attempts in flight cluster by chance, and few answers make no rate: both count for less. Traffic that
// rises or comes in a burst is ahead of the rate of answers and is no overload, but then all is young,
// which bounds it.
func (sample concurrencySample) latencyRatio(answers answerRate) float64 {
	ratio := sample.perSecond * answers.seconds / (answers.count + 1) *
		(1 - 1/math.Sqrt(max(sample.attempts, 1))) * answers.count / (answers.count + priorRateAnswers)
	return min(ratio, maxAgeFactor*sample.age/max(sample.attempts, 1))
}

// fadeCounts lets the counts age by a number of ticks, and adds the time of those ticks.
func (b *Balancer) fadeCounts(ticks float64) {
	retainedByTick := math.Exp(-1.0 / ticksPerHorizon / answerRateHorizons)
	retained := math.Pow(retainedByTick, ticks)
	o := &b.overload
	o.answers.count = retained * o.answers.count
	o.answers.seconds = retained*o.answers.seconds +
		b.horizon.Seconds()/ticksPerHorizon*(1-retained)/(1-retainedByTick)
	o.latencyRatio = retained * o.latencyRatio
	b.quotas.fade(retained)
}

// fleetUtilization is the utilization of the endpoints that are not ejected, weighted by capacity: by the
// reports in answers, or where there are none by health checks. An old report counts as full utilization,
// as in an overload no answers come.
func (b *Balancer) fleetUtilization() float64 {
	used, capacity := 0.0, 0.0
	for _, e := range b.endpoints.listed {
		if e.estimate.reports.at > 0 && !b.isEjected(e) {
			used += (1 - e.estimate.certainty*(1-e.estimate.reports.latestUtilization)) * e.capacity
			capacity += e.capacity
		}
	}
	if capacity == 0 {
		return b.checkedFleetUtilization()
	}
	return used / capacity
}

// checkedFleetUtilization is the utilization of the subset by health checks; what they have not shown to be
// idle counts as full.
func (b *Balancer) checkedFleetUtilization() float64 {
	used, capacity := 0.0, 0.0
	for _, e := range b.endpoints.listed {
		if e.inSubset && !b.isEjected(e) {
			used += (1 - b.utilizationCertainty(e)*(1-e.utilization.value)) * e.capacity
			capacity += e.capacity
		}
	}
	if capacity == 0 {
		return 1
	}
	return used / capacity
}

// OverloadLevel returns the fraction of requests of mean priority to shed. Below 0 there is no overload: -1
// times the distance of the latency ratio from the threshold, as a fraction of the threshold.
func (b *Balancer) OverloadLevel() float64 {
	if b.overload.level > 0 {
		return b.overload.level
	}
	return min(0, b.overload.latencyRatio/b.overload.threshold-1)
}
