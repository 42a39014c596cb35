package logic

import (
	"math"
	"testing"
	"time"
)

// What was learnt goes to the next process on its own clock, less the later it comes, and only to the same life of a server.
func TestRecall(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1, 1, 1)
	for i := range 200 {
		h.ownRate(h.byID["s0"], 20*time.Millisecond)
		h.ownRate(h.byID["s1"], time.Duration(80+i%2)*time.Millisecond)
		h.ownRate(h.byID["s3"], 40*time.Millisecond)
	}
	h.byID["s3"].StartedAt = h.at - time.Minute
	h.eject(h.byID["s2"])
	k := h.Knowledge(h.at)
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
		b.weigh()
		return b
	}
	b := next(100*time.Millisecond, false)
	if x := b.byID["s0"].weight / b.byID["s1"].weight; math.Abs(x-4) > 0.4 {
		t.Errorf("the faster one weighs %.2f times the slower", x)
	}
	if b.byID["s2"].until == 0 || b.byID["new"].known != 0 || b.byID["s3"].known == 0 {
		t.Errorf("out until %v, %v answers of a new one, %v of the third", b.byID["s2"].until, b.byID["new"].known, b.byID["s3"].known)
	}
	if b := next(100*time.Millisecond, true); b.byID["s3"].known != 0 {
		t.Error("a server that has started anew is taken for the one before")
	}
	if b := next(time.Minute, false); b.doubt(b.byID["s0"]) < 0.9 || b.usual[0] != h.usual[0] {
		t.Errorf("a minute later the doubt is %.2f", b.doubt(b.byID["s0"]))
	}
	b = next(0, false) // of another number of classes
	b.Restore(b.now, Knowledge{BaselineLatency: make([]time.Duration, 9), MeanPriority: 7}, 0)
	if b.worth == 7 {
		t.Error("figures of other classes were taken")
	}
}

// A server that leaves the list and comes back in the same life is known still; what is kept is bounded.
func TestListChangeForgetsNothing(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1)
	for range 50 {
		h.ownRate(h.byID["s0"], 20*time.Millisecond)
	}
	known := h.byID["s0"].known
	h.Handle(h.at, EndpointList{Endpoints: []Endpoint{{ID: "s0", State: Removed}}})
	h.Handle(h.at, EndpointList{Endpoints: []Endpoint{{ID: "s0", Weight: 1}}})
	if got := h.byID["s0"].known; got != known {
		t.Errorf("%v of %v answers are known after it came back", got, known)
	}
	for i := range 2 * mostKept {
		id := time.Duration(i).String()
		h.Handle(h.at, EndpointList{Endpoints: []Endpoint{{ID: id}}})
		h.Handle(h.at, EndpointList{Endpoints: []Endpoint{{ID: id, State: Removed}}})
	}
	if len(h.kept) > mostKept {
		t.Errorf("%d servers are kept in mind", len(h.kept))
	}
}

// Where more servers have come and gone than are kept in mind, it is the latest that are known.
func TestLatestAreKept(t *testing.T) {
	h := newBench(t, testSettings(), 1)
	id := func(i int) string { return time.Duration(i).String() }
	for i := range mostKept + 2 {
		h.at += time.Second
		h.Handle(h.at, EndpointList{Endpoints: []Endpoint{{ID: id(i), Weight: 1}}})
		h.byID[id(i)].failing = 0.5
		h.Handle(h.at, EndpointList{Endpoints: []Endpoint{{ID: id(i), State: Removed}}})
	}
	for i, want := range map[int]float64{0: 0, 1: 0, 2: 0.5, mostKept + 1: 0.5} {
		h.Handle(h.at, EndpointList{Endpoints: []Endpoint{{ID: id(i), Weight: 1}}})
		if got := h.byID[id(i)].failing; got != want {
			t.Errorf("of server %d of %d a share of failures of %v is known", i, mostKept+2, got)
		}
	}
}
