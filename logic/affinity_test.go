package logic

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Keys must be assigned to affinity endpoints in proportion to capacity, and identically at all balancers.
func TestAffinityEndpointIsSharedAndProportionalToCapacity(t *testing.T) {
	settings := testSettings()
	settings.UseListedWeights, settings.KeyAffinity = true, true
	h, other := newHarness(t, settings, 1, 2, 3, 4), newHarness(t, settings, 1, 2, 3, 4)
	other.random.Uint64() // advances its random source
	h.updateWeights()
	other.updateWeights()
	const keys = 20000
	count := map[string]float64{}
	for i := range keys {
		key := fmt.Sprint("key", i)
		e := affinityEndpoint(h.endpoints.listed, key)
		if affinityEndpoint(other.endpoints.listed, key).ID != e.ID {
			t.Fatalf("two balancers have different affinity endpoints for %s", key)
		}
		count[e.ID]++
	}
	for i := range 4 {
		want := keys * float64(i+1) / 10
		if got := count[endpointID(i)]; math.Abs(got-want) > 4*math.Sqrt(want) {
			t.Errorf("endpoint %d is the affinity endpoint of %v keys, want about %v", i, got, want)
		}
	}
}

// All requests have the same key and no attempt ends. As the key's endpoint fills up, the other endpoints
// must get the remaining requests.
func TestHotKeySpreadsUnderLoad(t *testing.T) {
	settings := testSettings()
	settings.UseListedWeights, settings.KeyAffinity = true, true
	h := newHarness(t, settings, 1, 2, 3, 4)
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
		t.Errorf("the requests of a hot key were sent only to %v", sent)
	}
}
