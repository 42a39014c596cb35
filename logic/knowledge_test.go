package logic

import (
	"math"
	"testing"
	"time"
)

// balancerWithKnowledge returns a balancer that has learned of s0 and s1 from answers, ejected s2, and learned of s3,
// which started a minute age.
func balancerWithKnowledge(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	for i := range 200 {
		h.learnFromResponse(h.endpoint("s0"), 20*time.Millisecond)
		h.learnFromResponse(h.endpoint("s1"), time.Duration(80+i%2)*time.Millisecond)
		h.learnFromResponse(h.endpoint("s3"), 40*time.Millisecond)
	}
	h.endpoint("s3").StartedAt = h.clock - time.Minute
	h.eject(h.endpoint("s2"))
	return h
}

// restoredBalancer returns the next process with that knowledge, on another clock, some time later. The start of s3
// comes by the list: a minute before the knowledge, or now where it has restarted.
func restoredBalancer(t *testing.T, k Knowledge, age time.Duration, restarted bool) *harness {
	t.Helper()
	b, err := New(testSettings(), 2)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{Balancer: b, clock: 3 * time.Second}
	h.Restore(h.clock, k, age)
	h.Start(h.clock)
	startedAt := h.clock - age - time.Minute
	if restarted {
		startedAt = h.clock
	}
	h.Handle(h.clock, EndpointList{Full: true, Endpoints: []Endpoint{
		{ID: "s0"}, {ID: "s1"}, {ID: "s2"}, {ID: "s3", StartedAt: startedAt}, {ID: "new"}}})
	h.updateWeights()
	return h
}

// What was learned goes to the next process on its own clock, the less the later it comes, and only to the
// same incarnation of an endpoint.
func TestKnowledgeIsRestoredForSameIncarnation(t *testing.T) {
	before := balancerWithKnowledge(t)
	k := before.Knowledge(before.clock)

	h := restoredBalancer(t, k, 100*time.Millisecond, false)
	if ratio := h.endpoint("s0").weight / h.endpoint("s1").weight; math.Abs(ratio-4) > 0.4 {
		t.Errorf("the faster endpoint has %.2f times the weight of the slower, want about 4", ratio)
	}
	if h.endpoint("s2").health.state == healthy {
		t.Error("an ejected endpoint is restored as healthy")
	}
	if n := h.endpoint("new").estimate.responses.samples; n != 0 {
		t.Errorf("%v answers of a new endpoint are known", n)
	}
	if h.endpoint("s3").estimate.responses.samples == 0 {
		t.Error("nothing is known of an endpoint of the same incarnation")
	}

	h = restoredBalancer(t, k, 100*time.Millisecond, true)
	if n := h.endpoint("s3").estimate.responses.samples; n != 0 {
		t.Errorf("%v answers of an earlier incarnation are known", n)
	}

	h = restoredBalancer(t, k, time.Minute, false)
	if u := h.endpoint("s0").estimate.uncertainty(h.now); u < 0.9 || h.baseline[0] != before.baseline[0] {
		t.Errorf("a minute later the uncertainty is %.2f, the baseline %v, before %v", u, h.baseline[0], before.baseline[0])
	}
}

// The knowledge of a process with other classes is about other requests, and must not be taken for these.
func TestKnowledgeOfOtherClassesIsIgnored(t *testing.T) {
	h := newHarness(t, testSettings(), 1)
	h.Restore(h.clock, Knowledge{BaselineLatency: make([]time.Duration, 9), MeanPriority: 7}, 0)
	if h.meanPriority == 7 {
		t.Error("the mean priority of other classes is restored")
	}
}

// An endpoint leaves the list by mistake and returns in the same incarnation. What is known of it must not
// be lost. The memory of endpoints that have left is bounded.
func TestDelistedEndpointIsRemembered(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1)
	for range 50 {
		h.learnFromResponse(h.endpoint("s0"), 20*time.Millisecond)
	}
	before := h.endpoint("s0").estimate.responses.samples
	h.list(Endpoint{ID: "s0", State: Removed})
	h.list(Endpoint{ID: "s0", Weight: 1})
	if after := h.endpoint("s0").estimate.responses.samples; after != before {
		t.Errorf("%v of %v answers are known after it has returned", after, before)
	}
	for i := range 2 * maxRememberedEndpoints {
		id := time.Duration(i).String()
		h.list(Endpoint{ID: id})
		h.list(Endpoint{ID: id, State: Removed})
	}
	if len(h.remembered) > maxRememberedEndpoints {
		t.Errorf("%d endpoints are remembered, at most %d are allowed", len(h.remembered), maxRememberedEndpoints)
	}
}

// More endpoints have come and gone than are remembered, as each release replaces them all. It is the
// latest that must be remembered: the oldest never return.
func TestLatestDelistedEndpointsAreRemembered(t *testing.T) {
	h := newHarness(t, testSettings(), 1)
	id := func(i int) string { return time.Duration(i).String() }
	for i := range maxRememberedEndpoints + 2 {
		h.clock += time.Second
		h.list(Endpoint{ID: id(i), Weight: 1})
		h.endpoint(id(i)).health.failureRate = 0.5
		h.list(Endpoint{ID: id(i), State: Removed})
	}
	for i, want := range map[int]float64{0: 0, 1: 0, 2: 0.5, maxRememberedEndpoints + 1: 0.5} {
		h.list(Endpoint{ID: id(i), Weight: 1})
		if got := h.endpoint(id(i)).health.failureRate; got != want {
			t.Errorf("endpoint %d of %d has the failure rate %v, want %v", i, maxRememberedEndpoints+2, got, want)
		}
	}
}

// The capacity that health checks have shown goes to the next process with its error, which has grown with
// its age.
func TestCheckedCapacityIsRestored(t *testing.T) {
	h := newHarness(t, healthCheckSettings(), 1)
	h.now = h.clock
	h.learnFromHealthCheck(h.endpoint("s0"), loadReport(0.5, 50))
	before := h.endpoint("s0").estimate.healthChecks
	const age = time.Second
	next := restoredBalancer(t, h.Knowledge(h.clock), age, false)
	after := next.endpoint("s0").estimate.healthChecks
	if after.logCapacity != before.logCapacity {
		t.Errorf("the logarithm of the capacity is %v, before %v", after.logCapacity, before.logCapacity)
	}
	want := before.variance + capacityDriftVariance*age.Seconds()
	if got := after.varianceAt(next.clock); math.Abs(got-want) > 1e-9 {
		t.Errorf("the variance is %v, want %v", got, want)
	}
}
