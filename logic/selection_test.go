package logic

import (
	"math"
	"testing"
	"time"
)

// Endpoints must be drawn with a probability proportional to their capacity.
func TestDrawsAreProportionalToCapacity(t *testing.T) {
	settings := testSettings()
	settings.UseListedWeights = true
	h := newHarness(t, settings, 1, 2, 3, 4)
	h.updateWeights()
	h.drawCandidates(&request{class: &settings.Classes[cheapClass], Request: Request{Deadline: h.clock + 1}})
	const draws = 40000
	drawn := map[string]float64{}
	for range draws {
		drawn[drawByWeight(h.candidates.ready, h.random.Float64()*h.candidates.readyWeight).ID]++
	}
	for i := range 4 {
		want := draws * float64(i+1) / 10
		if got := drawn[endpointID(i)]; math.Abs(got-want) > 4*math.Sqrt(want) {
			t.Errorf("endpoint %d was drawn %v times, want about %v", i, got, want)
		}
	}
}

// No attempt ends, so two equal endpoints must have nearly the same number of attempts in flight. They
// differ only by requests for which one of the endpoints was never drawn.
func TestSelectionTakesLowestLoad(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1)
	sent := map[string]int{}
	for range 100 {
		_, to := h.sendRequest(nonIdempotentClass)
		sent[to]++
	}
	if d := sent["s0"] - sent["s1"]; d < -4 || d > 4 {
		t.Errorf("attempts in flight at two equal endpoints: %v", sent)
	}
}

// If two loads are nearly equal, the larger endpoint must be selected; if the endpoints are equal in
// everything, a random one.
func TestNearTieGoesToLargerEndpointAndFullTieIsRandom(t *testing.T) {
	settings := testSettings()
	settings.UseListedWeights = true
	h := newHarness(t, settings, 1, 1.99)
	if _, to := h.sendRequest(cheapClass); to != "s1" { // stays in flight
		t.Fatalf("request sent to %s, but s1 has the lowest load", to)
	}
	// The loads are now 1 and 2/1.99. The larger endpoint's load is slightly higher, but within the
	// tolerance.
	if n := h.serveRequests(200, "s1"); n < 190 {
		t.Errorf("a near tie went to the larger endpoint %d of 200 times", n)
	}
	h = newHarness(t, testSettings(), 1, 1)
	if n := h.serveRequests(400, "s0"); n < 150 || n > 250 {
		t.Errorf("a full tie went to the first endpoint %d of 400 times", n)
	}
}

// Each selection reuses the slices of the previous one. A request without a possible endpoint must not get
// an endpoint that the previous selection collected.
func TestSelectionStartsWithoutEarlierCandidates(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1)
	h.sendRequest(cheapClass)
	h.list(Endpoint{ID: "s0", State: Draining}, Endpoint{ID: "s1", State: Removed})
	r := &request{class: &h.settings.Classes[cheapClass], Request: Request{Deadline: h.clock + time.Second}}
	if e := h.selectEndpoint(r); e != nil {
		t.Errorf("%s was selected, but is not ready", e.ID)
	}
}
