package logic

// Subsetting: in a large fleet a balancer spreads its requests over a part of the endpoints only, so that
// each endpoint has few balancers and each balancer knows its endpoints from many answers. The subset is
// the first endpoints in the balancer's own order, which is random by balancer and the same after a
// restart; together the balancers cover all endpoints evenly.

const (
	// minSubsetSize is the fewest endpoints in the subset.
	minSubsetSize = 6
	// minBalancersPerEndpoint is the fewest balancers that have an endpoint in their subset, on average.
	minBalancersPerEndpoint = 20
	// attemptsPerSubsetEndpoint is the number of attempts in flight for each endpoint above which the subset
	// grows.
	attemptsPerSubsetEndpoint = 2
)

// subsetSize is the number of endpoints over which a balancer spreads its requests.
type subsetSize struct {
	byFleet       int // from the numbers of endpoints and balancers
	byConcurrency int // from the attempts in flight: a busy balancer must not overload its few endpoints
}

func (s subsetSize) size() int { return max(s.byFleet, s.byConcurrency) }

// fleetSubsetSize returns the size that follows from the fleet alone.
func fleetSubsetSize(endpoints, balancers int) int {
	return max(minSubsetSize, int(minBalancersPerEndpoint*float64(endpoints)/float64(balancers)))
}

// chooseSubset marks the endpoints of the subset. An ejected one does not count towards its size: the next in
// the order takes its place.
func (set *endpointSet) chooseSubset() {
	remaining := set.subset.size()
	for _, e := range set.listed {
		e.inSubset = e.State == Ready && remaining > 0
		if e.inSubset && e.health.state == healthy {
			remaining--
		}
	}
}

// sumWeights adds up the weights of the subset.
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

// SubsetIDs returns the IDs of the endpoints over which the Balancer spreads its requests at present,
// ejected or not. It is for observation and changes nothing.
func (b *Balancer) SubsetIDs() (ids []string) {
	for _, e := range b.endpoints.listed {
		if e.inSubset {
			ids = append(ids, e.ID)
		}
	}
	return ids
}
