package logic

import (
	"testing"
	"time"
)

// A balancer keeps to a part of a large fleet, a part of its own and the same after a restart; all together
// use every server; a small fleet or one with few balancers is used whole.
func TestSubsetIsStableAndCoversAllEndpoints(t *testing.T) {
	used := func(me, balancers, servers int) map[string]int {
		set := testSettings()
		set.BalancerIndex, set.Balancers = me, balancers
		h := newHarness(t, set, make([]float64, servers)...)
		got := map[string]int{}
		for range 60 {
			id, to := h.sendRequest(nonIdempotentClass)
			got[to]++
			if balancers == 200 { // else the few servers would seem crowded
				h.answer(id, to, time.Duration(5+h.random.IntN(10))*time.Millisecond, NoLoadReport)
			}
		}
		return got
	}
	all := map[string]int{}
	for me := range 200 {
		one, again := used(me, 200, 40), used(me, 200, 40)
		if len(one) > minSubsetSize || len(again) != len(one) {
			t.Fatalf("balancer %d uses %d servers, then %d", me, len(one), len(again))
		}
		for id := range one {
			if again[id] == 0 {
				t.Fatalf("balancer %d uses %s, then not", me, id)
			}
			all[id]++
		}
	}
	if len(all) != 40 {
		t.Errorf("200 balancers use %d of 40 servers", len(all))
	}
	set := testSettings() // guards against a busy caller that crowds its few servers (arewa big-2)
	set.Balancers = 200
	h := newHarness(t, set, make([]float64, 40)...)
	got := map[string]bool{}
	for i := range 80 {
		if _, to := h.sendRequest(nonIdempotentClass); i >= 40 {
			got[to] = true
		}
	}
	if len(got) < 2*minSubsetSize {
		t.Errorf("with 40 in flight %d servers are used", len(got))
	}
	if n := len(used(0, 4, 20)); n != 20 {
		t.Errorf("one of 4 balancers uses %d of 20 servers", n)
	}
}

// Guards against a jam that ejects server after server of a large fleet, as the share of it that is kept out never grows: it is the
// own servers that count, and a balancer goes no further than a few times as many.
func TestFailingLargeFleetIsNotEjectedOneByOne(t *testing.T) {
	h := newLargeFleetHarness(t, 1, 200)
	met := map[string]bool{}
	for range 2000 {
		id, to := h.sendRequest(nonIdempotentClass)
		if to != "" {
			met[to] = true
			h.endAttempt(id, to, 0, Failed, NoLoadReport)
		}
		h.overload.latencyRatio = 0 // refusals aside
		h.advance(62 * time.Millisecond)
	}
	if n := len(met); n > 4*h.endpoints.subset.byFleet || n < h.endpoints.subset.byFleet {
		t.Errorf("with all of %d servers failing, a balancer that spreads over %d went to %d", 200, h.endpoints.subset.byFleet, n)
	}
}
