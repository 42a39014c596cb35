package logic

import (
	"fmt"
	"math"
	"testing"
)

func TestDrawsAreProportionalToCapacity(t *testing.T) {
	set := testSettings()
	set.UseListedWeights = true
	h := newHarness(t, set, 1, 2, 3, 4)
	h.updateWeights()
	h.drawCandidates(&request{class: &set.Classes[0], Request: Request{Deadline: h.clock + 1}})
	const n = 40000
	got := map[string]float64{}
	for range n {
		got[drawByWeight(h.candidates.ready, h.random.Float64()*h.candidates.readyWeight).ID]++
	}
	for i := range 4 {
		want := n * float64(i+1) / 10
		if d := got[fmt.Sprint("s", i)] - want; math.Abs(d) > 4*math.Sqrt(want) {
			t.Errorf("server %d: drawn %v times, want about %v", i, want+d, want)
		}
	}
}

func TestSelectionTakesLowestLoad(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1)
	sent := map[string]int{}
	for range 100 { // nothing ends: the counts of two equal servers stay even, but for draws that miss one
		_, to := h.sendRequest(nonIdempotentClass)
		sent[to]++
	}
	if d := sent["s0"] - sent["s1"]; d < -4 || d > 4 {
		t.Errorf("two equal servers have %v in flight", sent)
	}
}

func TestNearTieGoesToLargerEndpointAndFullTieIsRandom(t *testing.T) {
	set := testSettings()
	set.UseListedWeights = true
	h := newHarness(t, set, 1, 1.99)
	if _, to := h.sendRequest(cheapClass); to != "s1" { // stays in flight
		t.Fatalf("the lowest load is at s1, the request went to %s", to)
	}
	// Loads are now 1 and 2/1.99: a little more at the larger, within the tolerance, and so the larger wins.
	if large := h.serveRequests(200, "s1"); large < 190 {
		t.Errorf("near-tie went to the larger %d of 200 times", large)
	}
	h = newHarness(t, testSettings(), 1, 1) // equal in all: at random
	if first := h.serveRequests(400, "s0"); first < 150 || first > 250 {
		t.Errorf("a full tie went to the first %d of 400 times", first)
	}
}
