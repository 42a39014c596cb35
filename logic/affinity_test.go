package logic

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// The affinity endpoint of a key is drawn in proportion to capacity, and is the same at every balancer.
func TestAffinityEndpointIsSharedAndProportionalToCapacity(t *testing.T) {
	set := testSettings()
	set.UseListedWeights, set.KeyAffinity = true, true
	h, other := newHarness(t, set, 1, 2, 3, 4), newHarness(t, set, 1, 2, 3, 4)
	other.random.Uint64() // its random source has another state
	h.updateWeights()
	other.updateWeights()
	const keys = 20000
	count := map[string]float64{}
	for i := range keys {
		key := fmt.Sprint("key", i)
		e := affinityEndpoint(h.endpoints.listed, key)
		if affinityEndpoint(other.endpoints.listed, key).ID != e.ID {
			t.Fatalf("%s has different endpoints at two balancers", key)
		}
		count[e.ID]++
	}
	for i := range 4 {
		want := keys * float64(i+1) / 10
		if got := count[endpointID(i)]; math.Abs(got-want) > 4*math.Sqrt(want) {
			t.Errorf("endpoint %d has %v keys, want about %v", i, got, want)
		}
	}
}

// All requests have the same key and nothing ends. The key's endpoint fills up, and the others must get the
// rest.
func TestHotKeySpreadsUnderLoad(t *testing.T) {
	set := testSettings()
	set.UseListedWeights, set.KeyAffinity = true, true
	h := newHarness(t, set, 1, 2, 3, 4)
	sent := map[string]int{}
	for i := range 40 {
		r := Request{ID: fmt.Sprint("r", i), Key: "hot", Class: nonIdempotentClass, Deadline: h.clock + time.Second}
		for _, a := range h.Handle(h.clock, r) {
			if a.Kind == Send {
				sent[a.Endpoint]++
			}
		}
	}
	if len(sent) < 4 {
		t.Errorf("a hot key stays at %v", sent)
	}
}
