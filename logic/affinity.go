package logic

import (
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
)

// Affinity: weighted rendezvous hashing. An endpoint that has served a key lately has it cached and does less
// work for it, so all balancers prefer the same endpoint for a key; few keys migrate when capacities change.

// affinityWeightFactor is the factor by which the affinity endpoint of a key counts as larger in selection.
// It still loses to endpoints with less load, so that a hot key spreads.
const affinityWeightFactor = 2

// usesAffinity draws whether the affinity endpoint is among those drawn for a request. In a large fleet
// only a part of the requests use it, as one endpoint can't serve the keys of all balancers.
func (b *Balancer) usesAffinity(r *request) bool {
	return b.settings.KeyAffinity && r.Key != "" &&
		b.random.Float64()*float64(b.settings.Balancers) < referenceFleetSize
}

// affinityEndpoint draws as drawByWeight does, with the key in place of the random source.
func affinityEndpoint(from []*endpoint, key string) (best *endpoint) {
	lowest := math.Inf(1)
	for _, e := range from {
		exponential := rand.New(rand.NewPCG(hash(key+e.ID), 0)).ExpFloat64()
		if score := exponential / e.weight; score < lowest || best == nil {
			best, lowest = e, score
		}
	}
	return best
}

// hash returns a number of which all bits change with any change of the text. FNV alone is not enough: its
// high bits hardly change with the last letter, and an order by it favours the same endpoints at all
// balancers.
func hash(text string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, text)
	return rand.NewPCG(h.Sum64(), 0).Uint64()
}
