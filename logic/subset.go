package logic

// Subsetting: in a large fleet a balancer spreads its requests over only a part of the endpoints. Each
// endpoint then gets requests from few balancers, and each balancer gets many responses from each of its
// endpoints, from which it estimates them. The subset consists of the first endpoints in the balancer's own
// order. That order is random by balancer and stays the same after a restart, and together the balancers
// cover all endpoints evenly.

const (
	// minSubsetSize is the minimum number of endpoints in the subset.
	minSubsetSize = 6
	// minBalancersPerEndpoint is the minimum number of balancers, on average, that have an endpoint in
	// their subset.
	minBalancersPerEndpoint = 20
	// attemptsPerSubsetEndpoint is the number of attempts in flight per endpoint above which the subset
	// grows.
	attemptsPerSubsetEndpoint = 2
)

// subsetSize is the number of endpoints in the subset.
type subsetSize struct {
	byFleet       int // from the numbers of endpoints and balancers
	byConcurrency int // from the attempts in flight, so that a busy balancer doesn't overload its few endpoints
}

func (s subsetSize) size() int { return max(s.byFleet, s.byConcurrency) }

// fleetSubsetSize returns the subset size that follows from the numbers of endpoints and balancers.
func fleetSubsetSize(endpoints, balancers int) int {
	return max(minSubsetSize, int(minBalancersPerEndpoint*float64(endpoints)/float64(balancers)))
}

// chooseSubset marks the endpoints of the subset. An ejected endpoint does not count towards the size; the
// next one in the order is added in its place.
func (set *endpointSet) chooseSubset() {
	remaining := set.subset.size()
	for _, e := range set.listed {
		e.inSubset = e.State == Ready && remaining > 0
		if e.inSubset && e.health.state == healthy {
			remaining--
		}
	}
}

// sumWeights computes the total and the healthy weight of the subset.
func (set *endpointSet) sumWeights() {
	set.subsetWeight, set.healthyWeight = 0, 0
	for _, e := range set.listed {
		if !e.inSubset {
			continue
		}
		set.subsetWeight += e.weight
		if e.health.state == healthy {
			set.healthyWeight += e.weight
		}
	}
}

// SubsetIDs returns the IDs of the endpoints that are currently in the subset, including ejected ones. It
// is for monitoring and changes no state.
func (b *Balancer) SubsetIDs() (ids []string) {
	for _, e := range b.endpoints.listed {
		if e.inSubset {
			ids = append(ids, e.ID)
		}
	}
	return ids
}
