package logic

import (
	"math"
	"testing"
	"time"
)

// Endpoints are drawn with probability capacity over total capacity.
func TestDrawsAreProportionalToCapacity(t *testing.T) {
	set := testSettings()
	set.UseListedWeights = true
	h := newHarness(t, set, 1, 2, 3, 4)
	h.updateWeights()
	h.drawCandidates(&request{class: &set.Classes[cheapClass], Request: Request{Deadline: h.clock + 1}})
	const draws = 40000
	drawn := map[string]float64{}
	for range draws {
		drawn[drawByWeight(h.candidates.ready, h.random.Float64()*h.candidates.readyWeight).ID]++
	}
	for i := range 4 {
		want := draws * float64(i+1) / 10
		if got := drawn[endpointID(i)]; math.Abs(got-want) > 4*math.Sqrt(want) {
			t.Errorf("endpoint %d: drawn %v times, want about %v", i, got, want)
		}
	}
}

// Nothing ends, so the counts of two equal endpoints must stay even, but for the draws that miss one of them.
func TestSelectionTakesLowestLoad(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1)
	sent := map[string]int{}
	for range 100 {
		_, to := h.sendRequest(nonIdempotentClass)
		sent[to]++
	}
	if d := sent["s0"] - sent["s1"]; d < -4 || d > 4 {
		t.Errorf("two equal endpoints have %v in flight", sent)
	}
}

// Of nearly equal loads the larger endpoint is taken, of endpoints that are equal in all a random one.
func TestNearTieGoesToLargerEndpointAndFullTieIsRandom(t *testing.T) {
	set := testSettings()
	set.UseListedWeights = true
	h := newHarness(t, set, 1, 1.99)
	if _, to := h.sendRequest(cheapClass); to != "s1" { // stays in flight
		t.Fatalf("the lowest load is at s1, the request went to %s", to)
	}
	// Loads are now 1 and 2/1.99: a little more at the larger, but within the tolerance.
	if n := h.serveRequests(200, "s1"); n < 190 {
		t.Errorf("a near tie went to the larger endpoint %d of 200 times", n)
	}
	h = newHarness(t, testSettings(), 1, 1)
	if n := h.serveRequests(400, "s0"); n < 150 || n > 250 {
		t.Errorf("a full tie went to the first endpoint %d of 400 times", n)
	}
}

// The slices of a selection are reused by the next one. A request that finds no endpoint must not get one
// that the selection before it has found.
func TestSelectionStartsWithoutEarlierCandidates(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1)
	h.sendRequest(cheapClass)
	h.list(Endpoint{ID: "s0", State: Draining}, Endpoint{ID: "s1", State: Removed})
	r := &request{class: &h.settings.Classes[cheapClass], Request: Request{Deadline: h.clock + time.Second}}
	if e := h.selectEndpoint(r); e != nil {
		t.Errorf("%s is selected, which is not ready", e.ID)
	}
}
