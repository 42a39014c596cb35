package logic

import (
	"fmt"
	"testing"
	"time"
)

// Guards against pushing a cold server over: in a jam it has the lowest load of all.
func TestWarmingEndpointIsNotOverloadedWhileOthersAreBusy(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1, 1, 1, 1, 1, 1)
	for range 500 {
		h.sendRequest(nonIdempotentClass)
	}
	h.overload.level = 0
	h.list(Endpoint{ID: "new", StartedAt: h.clock})
	cold := 0
	const n = 300
	for range n {
		if _, to := h.sendRequest(nonIdempotentClass); to == "new" {
			cold++
		}
	}
	if most := n*0.3/10 + 8; float64(cold) > most || cold == 0 {
		t.Errorf("a cold server got %d of %d, want 1 to %.1f", cold, n, most)
	}
}

// Guards against pushing over what a release of the servers has left cold (incident i724a33): together they
// get what they can do at present of what a warm fleet would be asked, whether a warm server is left or not.
func TestWarmingFleetGetsItsPresentCapacity(t *testing.T) {
	for _, warm := range []int{0, 1} {
		set := testSettings()
		set.SlowStartOverloadFactor = 3
		h := newHarness(t, set)
		l := EndpointList{Full: true}
		for i := range 10 {
			s := Endpoint{ID: fmt.Sprint("s", i), StartedAt: h.clock}
			if i < warm {
				s.StartedAt = 0
			}
			l.Endpoints = append(l.Endpoints, s)
		}
		h.Handle(h.clock, l)
		cold := 0
		const n = 1000
		for range n {
			h.overload.level = 0
			if _, to := h.sendRequest(nonIdempotentClass); to != "" && h.endpoint(to).StartedAt != 0 {
				cold++
			}
		}
		if most := 1.5*0.3*n*float64(10-warm)/10 + 50; float64(cold) > most || float64(cold) < most/2 {
			t.Errorf("with %d warm, cold servers got %d of %d, want at most %.0f", warm, cold, n, most)
		}
	}
}

// Guards against servers that stand idle after a release (herd and roll of the whole fleet: 102 of 200 used): quiet balancers together
// send each cold server its part, about Overload times coldPart of what its present capacity is of all, and none so much as topples it.
func TestReleaseInLargeFleetUsesWarmingEndpoints(t *testing.T) {
	const each = 20
	for name, c := range map[string]struct {
		life func(h *harness)
		warm float64 // the cold servers' share of their capacity
	}{
		"in the steady state": {func(h *harness) { h.serveRequests(200, "") }, 0.2},
		"nothing learnt":      {func(*harness) {}, 0.2},
		"two seconds later":   {func(h *harness) { h.clock += 2 * time.Second }, 0.36},
	} {
		sent := map[string]int{}
		for me := range 300 {
			h := newLargeFleetHarness(t, me, 100)
			c.life(h)
			for range each {
				id, to := h.sendRequest(nonIdempotentClass)
				sent[to]++
				if to != "" {
					h.endAttempt(id, to, 0, OK, NoLoadReport)
				}
			}
		}
		most, all := 0, 0
		for i := 100; i < 200; i++ {
			n := sent[fmt.Sprint("s", i)]
			all, most = all+n, max(most, n)
		}
		fair := 300 * each * c.warm / 200 // its capacity's part
		mean := float64(all) / 100
		if mean < fair || mean > 1.5*fair {
			t.Errorf("%s: a cold server got %.1f on average, its present capacity is worth %.1f", name, mean, fair)
		}
		if float64(most) > 2.5*fair+2*mean {
			t.Errorf("%s: one cold server got %d, %.1f are its part", name, most, fair)
		}
	}
}

// Guards against the own in-flight count not bounding what a cold server gets: one that holds a request of this balancer is not sent
// another for being cold.
func TestBusyWarmingEndpointGetsNoMore(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1, 1, 1)
	h.list(Endpoint{ID: "cold", StartedAt: h.clock})
	held := 0
	for range 400 {
		id, to := h.sendRequest(nonIdempotentClass)
		if to == "cold" {
			held++
			continue // it does not answer
		}
		h.endAttempt(id, to, 0, OK, NoLoadReport)
	}
	if held != 1 {
		t.Errorf("a cold server holds %d requests beside warm ones that idle", held)
	}
}
