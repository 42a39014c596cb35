package logic

import (
	"math"
	"time"
)

// Knowledge: what a balancer has learned, persisted for the next process in the same place, and remembered of
// endpoints that leave the list.

// Knowledge is what a Balancer has learned of its endpoints and classes. Times in it are ages, so that it
// can be read on another clock.
type Knowledge struct {
	Endpoints       []EndpointKnowledge
	BaselineLatency []time.Duration // mean latency, by class
	MeanPriority    float64         // mean of weight over baseline latency in nanoseconds
}

// EndpointKnowledge is what was learned of one endpoint.
type EndpointKnowledge struct {
	ID                  string
	Age                 time.Duration // time since its start; 0: long ago
	MeanLatency         float64       // of this balancer's own answers, in seconds
	Samples             float64       // answers behind MeanLatency
	FailureRate         float64       // of the latest outcomes, 0 to 1
	EjectionRemaining   time.Duration // time until it may be tested; 0: healthy, or due, and restored as healthy
	LogCapacity         float64       // logarithm of the requests a second that health checks reported
	LogCapacityVariance float64       // variance of LogCapacity; 0: nothing was reported
}

// startTimeTolerance is the difference up to which two start times are of the same incarnation, as they
// come by different clocks.
const startTimeTolerance = 100 * time.Millisecond

// minKnownAnswers is the number of answers, or reports that say as much, from which an endpoint is persisted.
const minKnownAnswers = 1

// Knowledge returns what has been learned so far.
func (b *Balancer) Knowledge(now time.Duration) Knowledge {
	b.now = now
	k := Knowledge{MeanPriority: b.meanPriority}
	for _, latency := range b.baseline {
		k.BaselineLatency = append(k.BaselineLatency, time.Duration(latency))
	}
	for _, e := range b.endpoints.listed {
		known := e.estimate.answers.samples+e.estimate.checked.equivalentAnswers(now) >= minKnownAnswers
		if e.State == Ready && (known || e.health.state != healthy) {
			k.Endpoints = append(k.Endpoints, b.knowledgeOf(e))
		}
	}
	return k
}

func (b *Balancer) knowledgeOf(e *endpoint) EndpointKnowledge {
	k := EndpointKnowledge{
		ID:                e.ID,
		MeanLatency:       e.estimate.answers.mean,
		Samples:           e.estimate.answers.samples,
		FailureRate:       e.health.failureRate,
		EjectionRemaining: max(0, e.health.ejectedUntil-b.now),
	}
	if e.StartedAt != 0 {
		k.Age = b.now - e.StartedAt
	}
	if checked := &e.estimate.checked; checked.at != 0 {
		k.LogCapacity, k.LogCapacityVariance = checked.logCapacity, checked.varianceAt(b.now)
	}
	return k
}

// Restore starts from what an earlier Balancer with the same settings had learned, ago before now. It must
// be called before the first event. What concerns an endpoint is used when the list brings it with the same
// start time. The latencies and the priority are ignored where the number of classes differs.
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

// maxRememberedEndpoints bounds the memory of endpoints that are not listed.
const maxRememberedEndpoints = 1024

// rememberedEndpoints is what is known of endpoints that are not listed, by ID.
type rememberedEndpoints map[string]rememberedEndpoint

type rememberedEndpoint struct {
	EndpointKnowledge
	at time.Duration // as of this time
}

// add remembers an endpoint that is not listed. Where there are too many the oldest is dropped: an endpoint
// that was replaced never returns, and would fill the memory for good.
func (m rememberedEndpoints) add(k EndpointKnowledge, at time.Duration) {
	if _, known := m[k.ID]; !known && len(m) >= maxRememberedEndpoints {
		delete(m, m.oldest())
	}
	m[k.ID] = rememberedEndpoint{k, at}
}

// oldest returns the ID of the oldest entry; of several the lowest ID.
func (m rememberedEndpoints) oldest() string {
	oldest := rememberedEndpoint{at: math.MaxInt64}
	for _, k := range m {
		if k.at < oldest.at || k.at == oldest.at && k.ID < oldest.ID {
			oldest = k
		}
	}
	return oldest.ID
}

// take removes and returns what is known of an endpoint.
func (m rememberedEndpoints) take(id string) (rememberedEndpoint, bool) {
	k, ok := m[id]
	delete(m, id)
	return k, ok
}

// sameIncarnation reports whether the entry is about a process that started at that time.
func (k rememberedEndpoint) sameIncarnation(startedAt time.Duration) bool {
	if (k.Age == 0) != (startedAt == 0) {
		return false
	}
	difference := k.at - k.Age - startedAt
	return k.Age == 0 || max(difference, -difference) <= startTimeTolerance
}

// restoreEndpoint gives a newly listed endpoint what was remembered of the same incarnation, aged by the time
// since. An ejection that has ended meanwhile is due for a test.
func (b *Balancer) restoreEndpoint(e *endpoint) {
	k, ok := b.remembered.take(e.ID)
	if !ok || !k.sameIncarnation(e.StartedAt) {
		return
	}
	passed := b.now - k.at
	if k.MeanLatency > 0 && k.Samples > 0 && !b.loadReported {
		e.estimate.answers = answerLatency{mean: k.MeanLatency, samples: k.Samples}
		e.estimate.rate = 1 / k.MeanLatency
		e.estimate.fade(ticksPerHorizon*float64(passed)/float64(b.horizon), b.loadReported)
	}
	e.health.failureRate = min(1, max(0, k.FailureRate))
	if k.EjectionRemaining > 0 {
		e.health.restoreEjection(b.now + max(0, min(k.EjectionRemaining-passed, b.horizon)))
	}
	if k.LogCapacityVariance > 0 {
		e.estimate.checked = checkedCapacity{logCapacity: k.LogCapacity, variance: k.LogCapacityVariance, at: k.at}
	}
}

// restoreEjection ejects until a time; at the time 0 of the clock nothing can be ejected.
func (h *endpointHealth) restoreEjection(until time.Duration) {
	if until > 0 {
		h.eject(until)
	}
}
