package logic

import (
	"math"
	"time"
)

// Knowledge is persisted for the next process of the same balancer. The same data is kept in memory for
// endpoints that leave the list.

// Knowledge is what a Balancer has learned about its endpoints and classes. Times in it are ages, so that a
// process with a different clock can use it.
type Knowledge struct {
	Endpoints       []EndpointKnowledge
	BaselineLatency []time.Duration // mean latency, by class
	MeanPriority    float64         // mean of weight divided by baseline latency in nanoseconds
}

// EndpointKnowledge is what was learned about one endpoint.
type EndpointKnowledge struct {
	ID                  string
	Age                 time.Duration // time since its start; 0: started long ago
	MeanLatency         float64       // of this balancer's own responses, in seconds
	Samples             float64       // number of responses in MeanLatency
	FailureRate         float64       // of recent outcomes, 0 to 1
	EjectionRemaining   time.Duration // time until it may be tested; 0: healthy or due now, restored as healthy
	LogCapacity         float64       // logarithm of requests per second, from health checks
	LogCapacityVariance float64       // variance of LogCapacity; 0: no health check reported a load
}

// startTimeTolerance is the maximum difference between two start times of the same incarnation, as they are
// read from different clocks.
const startTimeTolerance = 100 * time.Millisecond

// minPersistedResponses is the minimum number of responses, or of reports with as much information, for an
// endpoint to be persisted.
const minPersistedResponses = 1

// Knowledge returns what the Balancer has learned so far.
func (b *Balancer) Knowledge(now time.Duration) Knowledge {
	b.now = now
	k := Knowledge{MeanPriority: b.meanPriority}
	for _, latency := range b.baseline {
		k.BaselineLatency = append(k.BaselineLatency, time.Duration(latency))
	}
	for _, e := range b.endpoints.listed {
		known := e.estimate.responses.samples+
			e.estimate.healthChecks.equivalentResponses(now) >= minPersistedResponses
		if e.State == Ready && (known || e.health.state != healthy) {
			k.Endpoints = append(k.Endpoints, b.knowledgeOf(e))
		}
	}
	return k
}

func (b *Balancer) knowledgeOf(e *endpoint) EndpointKnowledge {
	k := EndpointKnowledge{
		ID:                e.ID,
		MeanLatency:       e.estimate.responses.mean,
		Samples:           e.estimate.responses.samples,
		FailureRate:       e.health.failureRate,
		EjectionRemaining: max(0, e.health.ejectedUntil-b.now),
	}
	if e.StartedAt != 0 {
		k.Age = b.now - e.StartedAt
	}
	if checked := &e.estimate.healthChecks; checked.at != 0 {
		k.LogCapacity, k.LogCapacityVariance = checked.logCapacity, checked.varianceAt(b.now)
	}
	return k
}

// Restore loads what an earlier Balancer with the same settings had learned. The knowledge is as old as
// age. Restore must be called before the first event. The knowledge of an endpoint is used when the
// endpoint is listed with the same start time. The latencies and the priority are ignored if the number of
// classes differs.
func (b *Balancer) Restore(now time.Duration, k Knowledge, age time.Duration) {
	if len(k.BaselineLatency) == len(b.baseline) {
		for i, latency := range k.BaselineLatency {
			if latency > 0 && latency <= b.settings.Classes[i].Timeout {
				b.baseline[i] = float64(latency)
			}
		}
		b.meanPriority = max(0, k.MeanPriority)
	}
	for _, e := range k.Endpoints {
		b.remembered.add(e, now-age)
	}
}

// maxRememberedEndpoints limits the number of unlisted endpoints that are remembered.
const maxRememberedEndpoints = 1024

// rememberedEndpoints is what was learned about endpoints that are not listed, by ID.
type rememberedEndpoints map[string]rememberedEndpoint

type rememberedEndpoint struct {
	EndpointKnowledge
	at time.Duration // time at which the knowledge was recorded
}

// add remembers an endpoint that is not listed. If there are too many, it drops the oldest: replaced
// endpoints never return and would otherwise stay in memory forever.
func (m rememberedEndpoints) add(k EndpointKnowledge, at time.Duration) {
	if _, known := m[k.ID]; !known && len(m) >= maxRememberedEndpoints {
		delete(m, m.oldest())
	}
	m[k.ID] = rememberedEndpoint{k, at}
}

// oldest returns the ID of the oldest entry, or the lowest ID of several.
func (m rememberedEndpoints) oldest() string {
	oldest := rememberedEndpoint{at: math.MaxInt64}
	for _, k := range m {
		if k.at < oldest.at || k.at == oldest.at && k.ID < oldest.ID {
			oldest = k
		}
	}
	return oldest.ID
}

// take removes the entry of an endpoint and returns it.
func (m rememberedEndpoints) take(id string) (rememberedEndpoint, bool) {
	k, ok := m[id]
	delete(m, id)
	return k, ok
}

// sameIncarnation reports whether the entry belongs to the process that started at the given time.
func (k rememberedEndpoint) sameIncarnation(startedAt time.Duration) bool {
	if (k.Age == 0) != (startedAt == 0) {
		return false
	}
	difference := k.at - k.Age - startedAt
	return k.Age == 0 || max(difference, -difference) <= startTimeTolerance
}

// restoreEndpoint restores what was learned about the same incarnation of a newly listed endpoint, aged by
// the time that has passed. If its ejection has ended in the meantime, a half-open request is due.
func (b *Balancer) restoreEndpoint(e *endpoint) {
	k, ok := b.remembered.take(e.ID)
	if !ok || !k.sameIncarnation(e.StartedAt) {
		return
	}
	passed := b.now - k.at
	if k.MeanLatency > 0 && k.Samples > 0 && !b.loadReported {
		e.estimate.responses = responseLatency{mean: k.MeanLatency, samples: k.Samples}
		e.estimate.rate = 1 / k.MeanLatency
		e.estimate.decay(ticksPerHorizon*float64(passed)/float64(b.horizon), b.loadReported)
	}
	e.health.failureRate = min(1, max(0, k.FailureRate))
	if k.EjectionRemaining > 0 {
		e.health.restoreEjection(b.now + max(0, min(k.EjectionRemaining-passed, b.horizon)))
	}
	if k.LogCapacityVariance > 0 {
		e.estimate.healthChecks = healthCheckCapacity{
			logCapacity: k.LogCapacity,
			variance:    k.LogCapacityVariance,
			at:          k.at,
		}
	}
}

// restoreEjection ejects the endpoint until the given time. It does nothing unless that is after time 0 of
// the clock: an ejectedUntil of 0 stands for a healthy endpoint.
func (h *endpointHealth) restoreEjection(until time.Duration) {
	if until > 0 {
		h.eject(until)
	}
}
