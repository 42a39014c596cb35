package logic

import (
	"testing"
	"time"
)

// endpointsUsed returns the number of requests per endpoint when one of several balancers sends 60
// requests.
func endpointsUsed(t *testing.T, index, balancers, endpoints int, completed bool) map[string]int {
	t.Helper()
	settings := testSettings()
	settings.BalancerIndex, settings.Balancers = index, balancers
	h := newHarness(t, settings, make([]float64, endpoints)...)
	used := map[string]int{}
	for range 60 {
		id, to := h.sendRequest(nonIdempotentClass)
		used[to]++
		if completed {
			h.respond(id, to, time.Duration(5+h.random.IntN(10))*time.Millisecond, NoLoadReport)
		}
	}
	return used
}

// In a large fleet a balancer must use its own subset of the endpoints, which stays the same after a
// restart. All balancers together must use every endpoint.
func TestSubsetIsStableAndCoversAllEndpoints(t *testing.T) {
	const balancers, endpoints = 200, 40
	all := map[string]int{}
	for index := range balancers {
		first := endpointsUsed(t, index, balancers, endpoints, true)
		again := endpointsUsed(t, index, balancers, endpoints, true)
		if len(first) > minSubsetSize || len(again) != len(first) {
			t.Fatalf("balancer %d uses %d endpoints, after a restart %d", index, len(first), len(again))
		}
		for id := range first {
			if again[id] == 0 {
				t.Fatalf("balancer %d uses %s, but not after a restart", index, id)
			}
			all[id]++
		}
	}
	if len(all) != endpoints {
		t.Errorf("%d balancers use %d of %d endpoints", balancers, len(all), endpoints)
	}
}

// A balancer with many requests in flight overloaded the few endpoints of its subset. The subset must grow
// with the number of attempts in flight.
func TestSubsetGrowsWithConcurrency(t *testing.T) {
	settings := testSettings()
	settings.Balancers = 200
	h := newHarness(t, settings, make([]float64, 40)...)
	used := map[string]bool{}
	for i := range 80 {
		if _, to := h.sendRequest(nonIdempotentClass); i >= 40 {
			used[to] = true
		}
	}
	if len(used) < 2*minSubsetSize {
		t.Errorf("with 40 in flight %d endpoints are used, want at least %d", len(used), 2*minSubsetSize)
	}
}

// In a small fleet each balancer must use all endpoints.
func TestFewBalancersUseAllEndpoints(t *testing.T) {
	if n := len(endpointsUsed(t, 0, 4, 20, false)); n != 20 {
		t.Errorf("one of 4 balancers uses %d of 20 endpoints, want all", n)
	}
}

// An overload makes all endpoints fail. When the ejected fraction was computed over all endpoints of a
// large fleet, it stayed small, and a balancer ejected one endpoint after the other. It must be computed
// over the subset, so that the balancer uses at most a few times as many endpoints as its subset has.
func TestFailingLargeFleetIsNotEjectedOneByOne(t *testing.T) {
	h := newLargeFleetHarness(t, 1, 200)
	used := map[string]bool{}
	for range 2000 {
		id, to := h.sendRequest(nonIdempotentClass)
		if to != "" {
			used[to] = true
			h.endAttempt(id, to, 0, Failed, NoLoadReport)
		}
		h.overload.latencyRatio = 0 // prevents shedding
		h.advance(62 * time.Millisecond)
	}
	if size := h.endpoints.subset.byFleet; len(used) > 4*size || len(used) < size {
		t.Errorf("with all 200 endpoints failing, a balancer with a subset of %d used %d", size, len(used))
	}
}
