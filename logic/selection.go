package logic

import "math"

// Selection implements Algorithm 1 of "Balls into non-uniform bins", a power of d choices for endpoints of
// different capacities. It draws d endpoints, each with a probability proportional to its capacity, and
// takes the one that has the lowest load after the request is added. Ties go to the endpoint with the
// largest weight, and further ties to a random one.

const (
	// endpointsDrawn is the number of endpoints drawn for a request, the d of the paper.
	endpointsDrawn = 16
	// loadTolerance is the relative difference up to which two loads count as equal.
	loadTolerance = 0.01
)

// candidateSet is the set of endpoints that may get the current request. Its slices are reused by the next
// selection.
type candidateSet struct {
	ready       []*endpoint // at full capacity
	readyWeight float64     // sum of the weights of ready
	warming     []*endpoint // in slow start
	// visitedCapacity is the sum of the capacities of all Ready endpoints that collectCandidates visited,
	// including ejected ones. Warming endpoints count with the capacity that they have once slow start has
	// ended.
	visitedCapacity float64
}

func (c *candidateSet) reset() {
	*c = candidateSet{ready: c.ready[:0], warming: c.warming[:0]}
}

// selectEndpoint returns the endpoint for the next attempt of a request, or nil if no endpoint may get it.
// It prefers an ejected endpoint that is due for a half-open request, then a warming endpoint that was
// drawn and is idle, then the result of Algorithm 1.
func (b *Balancer) selectEndpoint(r *request) *endpoint {
	b.updateWeights()
	if e := b.halfOpenCandidate(r); e != nil {
		e.health.beginHalfOpen()
		e.lastSeen = b.now
		return e
	}
	candidates := &b.candidates
	warming := b.drawCandidates(r)
	if len(candidates.ready) == 0 {
		return warming
	}
	var drawn [endpointsDrawn]*endpoint
	for i := range drawn {
		drawn[i] = drawByWeight(candidates.ready, b.random.Float64()*candidates.readyWeight)
	}
	switch {
	case warming != nil && len(warming.inFlight) == 0:
		return warming // by load it would lose to every idle ready endpoint
	case warming != nil:
		drawn[0] = warming
	case b.drawAffinity(r):
		drawn[0] = affinityEndpoint(candidates.ready, r.Key)
		drawn[0].weight *= affinityWeightFactor
	}
	return b.leastLoaded(drawn[:])
}

// drawCandidates collects the endpoints that may get the request in b.candidates, and returns the warming
// endpoint that was drawn for it, or nil. It first considers healthy endpoints without an earlier attempt
// of the request; if there are none, all endpoints that maySend allows.
func (b *Balancer) drawCandidates(r *request) (warming *endpoint) {
	chance := b.random.Float64()
	for _, preferred := range []bool{true, false} {
		b.collectCandidates(r, preferred)
		warming = b.drawWarming(&b.candidates, chance)
		if len(b.candidates.ready) > 0 || warming != nil {
			break
		}
	}
	return warming
}

// collectCandidates visits the endpoints in this balancer's order until it has as many candidates as the
// subset has endpoints. If preferred is true, it skips ejected endpoints and those with an earlier attempt
// of the request.
func (b *Balancer) collectCandidates(r *request, preferred bool) {
	candidates := &b.candidates
	candidates.reset()
	count, limit := 0, b.endpoints.subset.size()
	for _, e := range b.endpoints.listed {
		if count >= limit {
			break
		}
		if e.State == Ready {
			candidates.visitedCapacity += e.capacity
		}
		if !b.maySend(r, e) || preferred && (b.isEjected(e) || r.attemptedAt(e)) {
			continue
		}
		count++
		if b.slowStartFraction(e) == 1 {
			candidates.ready = append(candidates.ready, e)
			candidates.readyWeight += e.weight
		} else {
			candidates.warming = append(candidates.warming, e)
		}
	}
}

// drawByWeight returns the endpoint at position x on the line of cumulative weights.
func drawByWeight(from []*endpoint, x float64) *endpoint {
	for _, e := range from {
		if x -= e.weight; x < 0 {
			return e
		}
	}
	return from[len(from)-1]
}

// leastLoaded returns the drawn endpoint with the lowest load. Among endpoints within the tolerance it
// takes the one with the largest weight, and among equal weights a random one.
func (b *Balancer) leastLoaded(drawn []*endpoint) *endpoint {
	lowest := math.Inf(1)
	for _, e := range drawn {
		lowest = min(lowest, e.loadAfterRequest())
	}
	var best *endpoint
	equal := 0
	for _, e := range drawn {
		switch {
		case e.loadAfterRequest() > lowest*(1+loadTolerance) || best != nil && e.weight < best.weight:
			continue
		case best == nil || e.weight > best.weight:
			best, equal = e, 1
		default:
			if equal++; b.random.IntN(equal) == 0 {
				best = e
			}
		}
	}
	return best
}
