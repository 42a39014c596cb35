package logic

import (
	"slices"
	"time"
)

// Outlier detection: an endpoint that fails, or that takes requests and answers none, is ejected for one
// horizon. It returns by a half-open request (halfopen.go).

const (
	// outcomeWeight is the weight of a new outcome in the failure rate of an endpoint.
	outcomeWeight = 0.3
	// ejectionFailureRate is the failure rate above which an endpoint is ejected: three failures in a row,
	// from 0.
	ejectionFailureRate = 0.6
	// maxMissedAnswers is the number of missed answers above which an endpoint is ejected.
	maxMissedAnswers = 16
	// minHealthyFraction is the part of the subset's weight that healthy endpoints must have for ejections to
	// count. In the sum an ejected endpoint has its weight, which its failure rate has lowered already.
	minHealthyFraction = 0.5
)

// healthState is the state of an endpoint in outlier detection.
//
//	from                  to                    when
//	healthy               ejectedOnOwnEvidence  its failure rate is too high, or it misses too many answers
//	healthy               ejectedByGossip       a peer reports it
//	ejectedByGossip       healthy               no peer reports it any more
//	either ejected state  halfOpen              the ejection time is over and a request tests it
//	halfOpen              healthy               that request is answered
//	halfOpen              ejectedOnOwnEvidence  that request fails, or has no answer for long
//	halfOpen              the state before      the outcome of that request proves nothing
//	any but healthy       ejectedOnOwnEvidence  a health check is lost
//	any                   healthy               the process restarts
//
// An ejected endpoint also becomes healthy by answers to requests from before the ejection, or from a time
// when ejections did not count, once its failure rate is low enough.
type healthState int

const (
	healthy              healthState = iota
	ejectedOnOwnEvidence             // by what this balancer has seen itself
	ejectedByGossip                  // on the reports of peers alone
	halfOpen                         // still ejected, but one request is under way to test it
)

// endpointHealth is the health of one endpoint.
type endpointHealth struct {
	state          healthState
	beforeHalfOpen healthState   // the state to which an undecided half-open request returns
	ejectedUntil   time.Duration // in any state but healthy: when a half-open request may test it
	failureRate    float64       // moving average of outcomes: 1 a failure, 0 an answer
}

// eject ejects on own evidence, from any state.
func (h *endpointHealth) eject(until time.Duration) {
	h.state, h.ejectedUntil = ejectedOnOwnEvidence, until
}

// ejectByGossip ejects, or extends an ejection, on the reports of peers.
func (h *endpointHealth) ejectByGossip(until time.Duration) {
	h.state, h.ejectedUntil = ejectedByGossip, until
}

// readmit ends an ejection.
func (h *endpointHealth) readmit() { h.state, h.ejectedUntil = healthy, 0 }

// awaitsTest reports whether the endpoint is ejected and no request tests it.
func (h *endpointHealth) awaitsTest() bool {
	return h.state == ejectedOnOwnEvidence || h.state == ejectedByGossip
}

// beginHalfOpen marks that a request tests the endpoint.
func (h *endpointHealth) beginHalfOpen() { h.state, h.beforeHalfOpen = halfOpen, h.state }

// abandonHalfOpen ends a test that proves nothing; another request may test the endpoint at once.
func (h *endpointHealth) abandonHalfOpen() {
	if h.state == halfOpen {
		h.state = h.beforeHalfOpen
	}
}

// eject ejects an endpoint on own evidence for one horizon from now.
func (b *Balancer) eject(e *endpoint) { e.health.eject(b.now + b.horizon) }

// isEjected reports whether the endpoint is avoided: it gets the half-open request that tests it, and others
// only where no other endpoint may get them. While healthy endpoints have less than minHealthyFraction of
// the subset's weight, no ejection counts: in an overload all endpoints are late, and to eject them leaves
// the load to the few others.
func (b *Balancer) isEjected(e *endpoint) bool {
	set := &b.endpoints
	return e.health.state != healthy && set.healthyWeight >= minHealthyFraction*set.subsetWeight
}

// Unavailable returns the number of listed endpoints that are avoided now: draining, or ejected where
// ejections count. It falls to the draining ones when most endpoints fail and ejections stop counting.
func (b *Balancer) Unavailable() (n int) {
	for _, e := range b.endpoints.listed {
		if e.State != Ready || b.isEjected(e) {
			n++
		}
	}
	return n
}

// evidence is what an outcome says of the endpoint.
type evidence int

const (
	noEvidence       evidence = iota // cancelled or not sent
	answerEvidence                   // it answers
	faultEvidence                    // it fails
	overloadEvidence                 // it answers other requests, but not this one in time
)

// evidenceOf classifies the outcome of an attempt. A timeout at an endpoint that has answered others
// meanwhile shows a costly request or an overload, no fault. A rejection counts as a fault: an endpoint
// that rejects several requests in a row is avoided for a horizon, whatever the cause.
func evidenceOf(a *attempt, result Result) evidence {
	switch result {
	case OK:
		return answerEvidence
	case TimedOut:
		if a.endpoint.lastSeen > a.answerDueFrom && a.endpoint.health.state == healthy {
			return overloadEvidence
		}
		return faultEvidence
	case Failed, Rejected, ConnectFailed, Reset:
		return faultEvidence
	}
	return noEvidence
}

// learnFromOutcome takes the outcome of an attempt into latencies, capacity, the overload signals and the
// health of its endpoint. An attempt on an earlier incarnation says nothing of the present one.
func (b *Balancer) learnFromOutcome(a *attempt, o Outcome) {
	e := a.endpoint
	if a.sentAt < e.restartedAt {
		return
	}
	if b.timedOutEarly(a, o.Result) {
		e.health.abandonHalfOpen()
		return
	}
	found := evidenceOf(a, o.Result)
	b.observeOverload(a, o, found)
	switch found {
	case noEvidence:
		e.health.abandonHalfOpen()
	case answerEvidence:
		b.baseline.observe(a.request.Class, o.Latency)
		e.lastSeen = b.now
		b.learnFromAnswer(e, o.Latency)
		b.updateHealth(e, o.Result)
	case faultEvidence:
		b.updateHealth(e, o.Result)
	}
}

// timedOutEarly reports whether the client waited for less than the latency objective: its timeout says
// nothing of the endpoint or of overload. Guards against clients with short deadlines that would eject
// healthy endpoints.
func (b *Balancer) timedOutEarly(a *attempt, result Result) bool {
	return result == TimedOut && a.awaitsAnswer() && b.now-a.answerDueFrom < a.request.class.LatencyObjective
}

// updateHealth takes an answer or a failure into the failure rate, and ejects or readmits the endpoint. The
// failure rate also lowers its weight: failures come fast and make an endpoint look idle.
func (b *Balancer) updateHealth(e *endpoint, result Result) {
	h := &e.health
	failure := 1.0
	if result == OK {
		failure = 0
	}
	h.failureRate += outcomeWeight * (failure - h.failureRate)
	switch h.state {
	case healthy:
		// With ExternalAdmission the owner sheds by rejections. If they also ejected, the owner might then admit
		// no request that could test the endpoint.
		shedOutside := b.settings.ExternalAdmission && result == Rejected
		if h.failureRate > ejectionFailureRate && !shedOutside {
			b.eject(e)
		}
	case halfOpen:
		if result != OK {
			b.eject(e)
			return
		}
		h.readmit()
		h.failureRate = 0
	default:
		if result == OK && h.failureRate < ejectionFailureRate {
			h.readmit()
			h.failureRate = 0
		}
	}
}

// neverExecutedThereBefore reports whether an earlier attempt of the request at the same endpoint had no
// effect: a further rejection there says nothing new.
func (a *attempt) neverExecutedThereBefore() bool {
	return slices.ContainsFunc(a.request.attempts, func(other *attempt) bool {
		return other != a && other.endpoint == a.endpoint && !other.inFlight && other.neverExecuted
	})
}

// ejectSilentEndpoints ejects endpoints that take requests and answer none.
func (b *Balancer) ejectSilentEndpoints() {
	for _, e := range b.endpoints.listed {
		undecided := e.health.state == healthy || e.health.state == halfOpen
		if undecided && b.missedAnswers(e) > maxMissedAnswers {
			b.eject(e)
		}
	}
}

// missedAnswers is the number of answers that the endpoint would usually have given since it was last seen:
// the time that each attempt in flight waits, over the baseline latency of its class. The sum over all that
// is in flight tells a silent endpoint from one costly request.
func (b *Balancer) missedAnswers(e *endpoint) (n float64) {
	for _, a := range e.inFlight {
		if a.awaitsAnswer() {
			n += float64(b.now-max(a.answerDueFrom, e.lastSeen)) / b.baseline[a.request.Class]
		}
	}
	return n
}
