package logic

import (
	"math"
	"testing"
	"time"
)

// balancerWithKnowledge returns a balancer that has learned about s0 and s1 from responses, has ejected s2,
// and has learned about s3, which started a minute ago.
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

// restoredBalancer returns a balancer of the next process, with a different clock, that has restored the
// knowledge at the given age. The list reports the start of s3 as one minute before the knowledge was
// recorded, or as now if s3 has restarted.
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

// The next process must restore the knowledge on its own clock. The older the knowledge, the less it must
// count, and it must apply only to the same incarnation of an endpoint.
func TestKnowledgeIsRestoredForSameIncarnation(t *testing.T) {
	before := balancerWithKnowledge(t)
	k := before.Knowledge(before.clock)

	h := restoredBalancer(t, k, 100*time.Millisecond, false)
	if ratio := h.endpoint("s0").weight / h.endpoint("s1").weight; math.Abs(ratio-4) > 0.4 {
		t.Errorf("the faster endpoint has %.2f times the weight of the slower, want about 4", ratio)
	}
	if h.endpoint("s2").health.state == healthy {
		t.Error("an ejected endpoint was restored as healthy")
	}
	if n := h.endpoint("new").estimate.responses.samples; n != 0 {
		t.Errorf("a new endpoint has %v samples, want 0", n)
	}
	if h.endpoint("s3").estimate.responses.samples == 0 {
		t.Error("knowledge of the same incarnation was not restored")
	}

	h = restoredBalancer(t, k, 100*time.Millisecond, true)
	if n := h.endpoint("s3").estimate.responses.samples; n != 0 {
		t.Errorf("%v samples of an earlier incarnation were restored, want 0", n)
	}

	h = restoredBalancer(t, k, time.Minute, false)
	if u := h.endpoint("s0").estimate.uncertainty(h.now); u < 0.9 || h.baseline[0] != before.baseline[0] {
		t.Errorf("a minute later: uncertainty %.2f, want at least 0.9; baseline %v, want %v", u, h.baseline[0], before.baseline[0])
	}
}

// The knowledge of a process with different classes is about different requests and must be ignored.
func TestKnowledgeOfOtherClassesIsIgnored(t *testing.T) {
	h := newHarness(t, testSettings(), 1)
	h.Restore(h.clock, Knowledge{BaselineLatency: make([]time.Duration, 9), MeanPriority: 7}, 0)
	if h.meanPriority == 7 {
		t.Error("the mean priority of other classes was restored")
	}
}

// An endpoint is removed from the list by mistake and returns in the same incarnation. What was learned
// about it must not be lost. The number of remembered endpoints must stay limited.
func TestDelistedEndpointIsRemembered(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1)
	for range 50 {
		h.learnFromResponse(h.endpoint("s0"), 20*time.Millisecond)
	}
	before := h.endpoint("s0").estimate.responses.samples
	h.list(Endpoint{ID: "s0", State: Removed})
	h.list(Endpoint{ID: "s0", Weight: 1})
	if after := h.endpoint("s0").estimate.responses.samples; after != before {
		t.Errorf("%v of %v samples are known after the endpoint has returned", after, before)
	}
	for i := range 2 * maxRememberedEndpoints {
		id := time.Duration(i).String()
		h.list(Endpoint{ID: id})
		h.list(Endpoint{ID: id, State: Removed})
	}
	if len(h.remembered) > maxRememberedEndpoints {
		t.Errorf("%d endpoints are remembered, want at most %d", len(h.remembered), maxRememberedEndpoints)
	}
}

// Each release replaces all endpoints, so more endpoints come and go than are remembered. The latest ones
// must be remembered, because the oldest never return.
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

// The capacity estimated from health checks must be restored with its variance, increased by the age of the
// knowledge.
func TestCheckedCapacityIsRestored(t *testing.T) {
	h := newHarness(t, healthCheckSettings(), 1)
	h.now = h.clock
	h.learnFromHealthCheck(h.endpoint("s0"), loadReport(0.5, 50))
	before := h.endpoint("s0").estimate.healthChecks
	const age = time.Second
	next := restoredBalancer(t, h.Knowledge(h.clock), age, false)
	after := next.endpoint("s0").estimate.healthChecks
	if after.logCapacity != before.logCapacity {
		t.Errorf("log capacity %v after restoring, want %v", after.logCapacity, before.logCapacity)
	}
	want := before.variance + capacityDriftVariance*age.Seconds()
	if got := after.varianceAt(next.clock); math.Abs(got-want) > 1e-9 {
		t.Errorf("variance %v after restoring, want %v", got, want)
	}
}
