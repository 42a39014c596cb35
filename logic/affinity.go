package logic

import (
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
)

// Affinity uses weighted rendezvous hashing. An endpoint that has recently served a key has it cached and
// does less work for it, so all balancers prefer the same endpoint for a key. Few keys migrate when
// capacities change.

// affinityWeightFactor is the factor by which selection raises the weight of a key's affinity endpoint. The
// endpoint still loses to less loaded ones, so that the requests of a hot key are spread.
const affinityWeightFactor = 2

// drawAffinity draws whether the affinity endpoint is among the endpoints considered for a request. In a
// large fleet only a fraction of the requests use it, because one endpoint can't serve a key for all
// balancers.
func (b *Balancer) drawAffinity(r *request) bool {
	return b.settings.KeyAffinity && r.Key != "" &&
		b.random.Float64()*float64(b.settings.Balancers) < referenceFleetSize
}

// affinityEndpoint returns the affinity endpoint of a key. It draws by weight as drawByWeight does, but
// takes its random numbers from the key.
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

// hash returns a number in which a change of any letter of the text can change every bit. FNV alone is not
// sufficient: its high bits hardly depend on the last letter, and an order by it would favour the same
// endpoints at all balancers.
func hash(text string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, text)
	return rand.NewPCG(h.Sum64(), 0).Uint64()
}
