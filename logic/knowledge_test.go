package logic

import (
	"math"
	"testing"
	"time"
)

// What was learnt goes to the next process on its own clock, less the later it comes, and only to the same life of a server.
func TestKnowledgeIsRestoredForSameIncarnation(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	for i := range 200 {
		h.learnFromAnswer(h.endpoint("s0"), 20*time.Millisecond)
		h.learnFromAnswer(h.endpoint("s1"), time.Duration(80+i%2)*time.Millisecond)
		h.learnFromAnswer(h.endpoint("s3"), 40*time.Millisecond)
	}
	h.endpoint("s3").StartedAt = h.clock - time.Minute
	h.eject(h.endpoint("s2"))
	k := h.Knowledge(h.clock)
	next := func(ago time.Duration, restarted bool) *Balancer {
		b, err := New(testSettings(), 2)
		if err != nil {
			t.Fatal(err)
		}
		at := 3 * time.Second // another clock
		b.Restore(at, k, ago)
		b.Start(at)
		started := at - ago - time.Minute
		if restarted {
			started = at
		}
		b.Handle(at, EndpointList{Full: true, Endpoints: []Endpoint{{ID: "s0"}, {ID: "s1"}, {ID: "s2"}, {ID: "s3", StartedAt: started}, {ID: "new"}}})
		b.updateWeights()
		return b
	}
	b := next(100*time.Millisecond, false)
	if x := b.endpoints.byID["s0"].weight / b.endpoints.byID["s1"].weight; math.Abs(x-4) > 0.4 {
		t.Errorf("the faster one weighs %.2f times the slower", x)
	}
	if b.endpoints.byID["s2"].health.state == healthy || b.endpoints.byID["new"].estimate.answers.samples != 0 || b.endpoints.byID["s3"].estimate.answers.samples == 0 {
		t.Errorf("out until %v, %v answers of a new one, %v of the third", b.endpoints.byID["s2"].health.ejectedUntil, b.endpoints.byID["new"].estimate.answers.samples, b.endpoints.byID["s3"].estimate.answers.samples)
	}
	if b := next(100*time.Millisecond, true); b.endpoints.byID["s3"].estimate.answers.samples != 0 {
		t.Error("a server that has started anew is taken for the one before")
	}
	if b := next(time.Minute, false); b.endpoints.byID["s0"].estimate.uncertainty(b.now) < 0.9 || b.baseline[0] != h.baseline[0] {
		t.Errorf("a minute later the doubt is %.2f", b.endpoints.byID["s0"].estimate.uncertainty(b.now))
	}
	b = next(0, false) // of another number of classes
	b.Restore(b.now, Knowledge{BaselineLatency: make([]time.Duration, 9), MeanPriority: 7}, 0)
	if b.meanPriority == 7 {
		t.Error("figures of other classes were taken")
	}
}

// A server that leaves the list and comes back in the same life is known still; what is kept is bounded.
func TestDelistedEndpointIsRemembered(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1)
	for range 50 {
		h.learnFromAnswer(h.endpoint("s0"), 20*time.Millisecond)
	}
	known := h.endpoint("s0").estimate.answers.samples
	h.list(Endpoint{ID: "s0", State: Removed})
	h.list(Endpoint{ID: "s0", Weight: 1})
	if got := h.endpoint("s0").estimate.answers.samples; got != known {
		t.Errorf("%v of %v answers are known after it came back", got, known)
	}
	for i := range 2 * maxRememberedEndpoints {
		id := time.Duration(i).String()
		h.list(Endpoint{ID: id})
		h.list(Endpoint{ID: id, State: Removed})
	}
	if len(h.remembered) > maxRememberedEndpoints {
		t.Errorf("%d servers are kept in mind", len(h.remembered))
	}
}

// Where more servers have come and gone than are kept in mind, it is the latest that are known.
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
			t.Errorf("of server %d of %d a share of failures of %v is known", i, maxRememberedEndpoints+2, got)
		}
	}
}
