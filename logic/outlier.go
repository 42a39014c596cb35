package logic

import (
	"slices"
	"time"
)

// Outlier detection ejects an endpoint for one horizon, the longest latency objective of all classes, if its
// requests fail, or if it accepts requests without responding. The endpoint is readmitted by a half-open
// request (halfopen.go).

const (
	// outcomeWeight is the weight of a new outcome in the failure rate of an endpoint.
	outcomeWeight = 0.3
	// ejectionFailureRate is the failure rate above which an endpoint is ejected. Starting from 0, three
	// consecutive failures exceed it.
	ejectionFailureRate = 0.6
	// maxMissedResponses is the number of missed responses above which an endpoint is ejected.
	maxMissedResponses = 16
	// minHealthyFraction is the minimum fraction of the subset's weight that is healthy; below it ejections
	// are ignored. The weight of an ejected endpoint in this sum has already been lowered by its failure
	// rate.
	minHealthyFraction = 0.5
)

// healthState is the state of an endpoint in outlier detection.
//
//	from               to               when
//	healthy            ejectedLocally   its failure rate is too high, or it misses more than maxMissedResponses
//	healthy            ejectedLocally   it misses more than checkMissedResponses, and a health check gets none
//	healthy            ejectedByGossip  a peer reports it as unhealthy
//	ejectedByGossip    healthy          no peer reports it as unhealthy any more
//	ejected, either    halfOpen         the ejection time is over and a request tests the endpoint
//	halfOpen           healthy          that request succeeds
//	halfOpen           ejectedLocally   that request fails, or the endpoint misses more than maxMissedResponses
//	halfOpen           previous state   the outcome of that request is inconclusive
//	any but healthy    ejectedLocally   a health check gets no response
//	any                healthy          the process restarts
//
// An ejected endpoint also becomes healthy when successful responses lower its failure rate enough. These
// belong to attempts that were sent before the ejection, while ejections were ignored, or because no other
// endpoint could get the request.
type healthState int

const (
	healthy         healthState = iota
	ejectedLocally              // because of this balancer's own observations
	ejectedByGossip             // because of reports of peers alone
	halfOpen                    // still ejected, while one request tests it
)

// endpointHealth is the health of one endpoint.
type endpointHealth struct {
	state          healthState
	beforeHalfOpen healthState   // the state restored by an inconclusive half-open request
	ejectedUntil   time.Duration // from when on a half-open request may test it; 0 while healthy
	failureRate    float64       // moving average of outcomes: 1 for a failure, 0 for a success
}

// eject ejects the endpoint from any state, because of local observations.
func (h *endpointHealth) eject(until time.Duration) {
	h.state, h.ejectedUntil = ejectedLocally, until
}

// ejectByGossip ejects the endpoint, or extends its ejection, because of reports of peers.
func (h *endpointHealth) ejectByGossip(until time.Duration) {
	h.state, h.ejectedUntil = ejectedByGossip, until
}

// readmit ends an ejection.
func (h *endpointHealth) readmit() { h.state, h.ejectedUntil = healthy, 0 }

// awaitsTest reports whether the endpoint is ejected and no half-open request is in flight.
func (h *endpointHealth) awaitsTest() bool {
	return h.state == ejectedLocally || h.state == ejectedByGossip
}

// beginHalfOpen records that a request tests the endpoint.
func (h *endpointHealth) beginHalfOpen() { h.state, h.beforeHalfOpen = halfOpen, h.state }

// abandonHalfOpen ends an inconclusive test. Another request may test the endpoint immediately.
func (h *endpointHealth) abandonHalfOpen() {
	if h.state == halfOpen {
		h.state = h.beforeHalfOpen
	}
}

// eject ejects an endpoint for one horizon from now, because of local observations.
func (b *Balancer) eject(e *endpoint) { e.health.eject(b.now + b.horizon) }

// isEjected reports whether the endpoint is avoided: apart from the half-open request that tests it, it
// gets requests only if no other endpoint may get them. While healthy endpoints have less than
// minHealthyFraction of the subset's weight, ejections are ignored: in an overload all endpoints are late,
// and ejecting them would move their load to the few others.
func (b *Balancer) isEjected(e *endpoint) bool {
	set := &b.endpoints
	return e.health.state != healthy && set.healthyWeight >= minHealthyFraction*set.subsetWeight
}

// Unavailable returns the number of listed endpoints that are avoided now: the draining ones, and the
// ejected ones unless ejections are ignored. When most endpoints fail, ejections are ignored and the number
// drops to the draining ones.
func (b *Balancer) Unavailable() (n int) {
	for _, e := range b.endpoints.listed {
		if e.State != Ready || b.isEjected(e) {
			n++
		}
	}
	return n
}

// evidence is what an outcome shows about the endpoint.
type evidence int

const (
	noEvidence       evidence = iota // nothing: the attempt was cancelled or not sent
	responseEvidence                 // it responds
	faultEvidence                    // it fails
	overloadEvidence                 // it responds to other requests, but not to this one in time
)

// evidenceOf classifies the outcome of an attempt. A timeout is not a fault if the endpoint is healthy when
// the attempt ends and has responded to another request since it received this one: the request is costly
// or the endpoint overloaded. A rejection counts as a fault, so that an endpoint that rejects several
// requests in a row is avoided for a horizon, whatever the cause.
func evidenceOf(a *attempt, result Result) evidence {
	switch result {
	case OK:
		return responseEvidence
	case TimedOut:
		if a.endpoint.lastSeen > a.responseDueFrom && a.endpoint.health.state == healthy {
			return overloadEvidence
		}
		return faultEvidence
	case Failed, Rejected, ConnectFailed, Reset:
		return faultEvidence
	}
	return noEvidence
}

// learnFromOutcome updates latencies, capacity, the overload signals and the endpoint's health with the
// outcome of an attempt. An attempt at an earlier incarnation is ignored, because it shows nothing about
// the current one.
func (b *Balancer) learnFromOutcome(a *attempt, o Outcome) {
	e := a.endpoint
	if a.sentAt < e.restartedAt {
		return
	}
	if b.timedOutBeforeObjective(a, o.Result) {
		e.health.abandonHalfOpen()
		return
	}
	ev := evidenceOf(a, o.Result)
	b.observeOverload(a, o, ev)
	switch ev {
	case noEvidence:
		e.health.abandonHalfOpen()
	case responseEvidence:
		b.baseline.observe(a.request.Class, o.Latency)
		e.lastSeen = b.now
		b.learnFromResponse(e, o.Latency)
		b.updateHealth(e, o.Result)
	case faultEvidence:
		b.updateHealth(e, o.Result)
	}
}

// timedOutBeforeObjective reports whether an attempt timed out although the endpoint had less time than the
// latency objective to respond, counted from when it had received the whole request. Such a timeout
// indicates neither a fault of the endpoint nor an overload. If it did, clients with short deadlines would
// cause the ejection of healthy endpoints.
func (b *Balancer) timedOutBeforeObjective(a *attempt, result Result) bool {
	return result == TimedOut && a.fullySent() && b.now-a.responseDueFrom < a.request.class.LatencyObjective
}

// updateHealth updates the failure rate with a success or a failure, and ejects or readmits the endpoint.
// The failure rate also lowers the endpoint's weight, because an endpoint that fails fast looks idle.
func (b *Balancer) updateHealth(e *endpoint, result Result) {
	h := &e.health
	failure := 1.0
	if result == OK {
		failure = 0
	}
	h.failureRate += outcomeWeight * (failure - h.failureRate)
	switch h.state {
	case healthy:
		// With ExternalAdmission the owner sheds load based on rejections. If rejections also ejected
		// endpoints, the owner might admit no request that could test them.
		shedExternally := b.settings.ExternalAdmission && result == Rejected
		if h.failureRate > ejectionFailureRate && !shedExternally {
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

// hasUnexecutedAttemptAtSameEndpoint reports whether another ended attempt of the request at the same
// endpoint was provably not executed: it was rejected, or not connected or sent. When the endpoint rejects
// the request after that, the rejection adds no information about an overload.
func (a *attempt) hasUnexecutedAttemptAtSameEndpoint() bool {
	return slices.ContainsFunc(a.request.attempts, func(other *attempt) bool {
		return other != a && other.endpoint == a.endpoint && !other.inFlight && other.neverExecuted
	})
}

// ejectUnresponsiveEndpoints ejects endpoints that accept requests without responding.
func (b *Balancer) ejectUnresponsiveEndpoints() {
	for _, e := range b.endpoints.listed {
		undecided := e.health.state == healthy || e.health.state == halfOpen
		if undecided && b.missedResponses(e) > maxMissedResponses {
			b.eject(e)
		}
	}
}

// missedResponses estimates the number of responses that the endpoint should have given since it was last
// seen: for each attempt in flight, the time that it has waited divided by the baseline latency of its
// class. The sum distinguishes an unresponsive endpoint from a single costly request.
func (b *Balancer) missedResponses(e *endpoint) (n float64) {
	for _, a := range e.inFlight {
		if a.fullySent() {
			n += float64(b.now-max(a.responseDueFrom, e.lastSeen)) / b.baseline[a.request.Class]
		}
	}
	return n
}
