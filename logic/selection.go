package logic

import "math"

// Selection: Algorithm 1 of "Balls into non-uniform bins", a power of d choices for endpoints of different
// capacity. It draws endpoints with probability capacity over total capacity, and takes the one with the
// lowest load after the request; of several the one with the largest weight; of several at random.

const (
	// endpointsDrawn is the number of draws for a request, the paper's d.
	endpointsDrawn = 16
	// loadTolerance is the relative difference up to which loads count as equal.
	loadTolerance = 0.01
)

// candidateSet is the endpoints that may get a request. Its slices are reused from one selection to the next.
type candidateSet struct {
	ready       []*endpoint // at full capacity
	readyWeight float64     // sum of their weights
	warming     []*endpoint // in slow start
	// visitedCapacity is the capacity after slow start of all Ready endpoints that were visited, ejected too.
	visitedCapacity float64
}

func (c *candidateSet) reset() {
	*c = candidateSet{ready: c.ready[:0], warming: c.warming[:0]}
}

// selectEndpoint returns the endpoint for the next attempt of a request, nil where none may get it. A
// half-open request goes first, then an endpoint in slow start that is due, then Algorithm 1.
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
		return warming // by load it would lose to any ready endpoint that is idle
	case warming != nil:
		drawn[0] = warming
	case b.usesAffinity(r):
		drawn[0] = affinityEndpoint(candidates.ready, r.Key)
		drawn[0].weight *= affinityWeightFactor
	}
	return b.leastLoaded(drawn[:])
}

// drawCandidates collects the endpoints that may get the request in b.candidates, and returns one that is
// in slow start and drawn for it, or nil. Healthy endpoints that the request was not sent to go first; where
// there are none, any that the guard allows.
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

// collectCandidates visits the endpoints in this balancer's order until it has as many as the subset is
// large. With preferred it leaves out ejected endpoints and those that the request has met.
func (b *Balancer) collectCandidates(r *request, preferred bool) {
	found := &b.candidates
	found.reset()
	count, limit := 0, b.endpoints.subset.size()
	for _, e := range b.endpoints.listed {
		if count >= limit {
			break
		}
		if e.State == Ready {
			found.visitedCapacity += e.capacity
		}
		if !b.maySend(r, e) || preferred && (b.isEjected(e) || r.attemptedAt(e)) {
			continue
		}
		count++
		if b.slowStartFraction(e) == 1 {
			found.ready = append(found.ready, e)
			found.readyWeight += e.weight
		} else {
			found.warming = append(found.warming, e)
		}
	}
}

// drawByWeight returns the endpoint at the point x of the sum of weights.
func drawByWeight(from []*endpoint, x float64) *endpoint {
	for _, e := range from {
		if x -= e.weight; x < 0 {
			return e
		}
	}
	return from[len(from)-1]
}

// leastLoaded returns the drawn endpoint with the lowest load; of those within the tolerance the one with the
// largest weight; of equal ones one at random.
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
