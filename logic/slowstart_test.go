package logic

import (
	"fmt"
	"testing"
	"time"
)

// In an overload a newly started endpoint has the lowest load of all. Selection by load alone would send it
// nearly every request and overload it. It must get no more than its share of the requests.
func TestWarmingEndpointIsNotOverloadedWhileOthersAreBusy(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1, 1, 1, 1, 1, 1)
	for range 500 {
		h.sendRequest(nonIdempotentClass)
	}
	h.overload.level = 0
	h.list(Endpoint{ID: "new", StartedAt: h.clock})
	const n = 300
	warming := 0
	for range n {
		if _, to := h.sendRequest(nonIdempotentClass); to == "new" {
			warming++
		}
	}
	if limit := n*0.3/10 + 8; float64(warming) > limit || warming == 0 {
		t.Errorf("a warming endpoint got %d of %d requests, want 1 to %.1f", warming, n, limit)
	}
}

// After a release all endpoints, or all but one, have just started. Of the requests that a warm fleet would
// get, each endpoint must get as many as its current capacity allows, whether or not a warm endpoint is
// left. More requests would overload it.
func TestWarmingFleetGetsItsPresentCapacity(t *testing.T) {
	for _, warm := range []int{0, 1} {
		settings := testSettings()
		settings.SlowStartOverloadFactor = 3
		h := newHarness(t, settings)
		list := EndpointList{Full: true}
		for i := range 10 {
			entry := Endpoint{ID: fmt.Sprint("s", i), StartedAt: h.clock}
			if i < warm {
				entry.StartedAt = 0
			}
			list.Endpoints = append(list.Endpoints, entry)
		}
		h.Handle(h.clock, list)
		const n = 1000
		warming := 0
		for range n {
			h.overload.level = 0
			if _, to := h.sendRequest(nonIdempotentClass); to != "" && h.endpoint(to).StartedAt != 0 {
				warming++
			}
		}
		limit := 1.5*0.3*n*float64(10-warm)/10 + 50
		if float64(warming) > limit || float64(warming) < limit/2 {
			t.Errorf("with %d warm endpoints the others got %d of %d requests, want %.0f to %.0f",
				warm, warming, n, limit/2, limit)
		}
	}
}

// After a release of half of a large fleet, balancers that send few requests each left the new endpoints
// idle, because each balancer drew them too rarely. Together, the balancers must send each new endpoint
// requests in proportion to its current capacity, and no endpoint so many that it is overloaded.
func TestReleaseInLargeFleetUsesWarmingEndpoints(t *testing.T) {
	const balancers, requestsEach = 300, 20
	for name, c := range map[string]struct {
		before   func(h *harness)
		fraction float64 // fraction of their capacity that the warming endpoints have
	}{
		"steady state":      {func(h *harness) { h.serveRequests(200, "") }, 0.2},
		"nothing learned":   {func(*harness) {}, 0.2},
		"two seconds later": {func(h *harness) { h.clock += 2 * time.Second }, 0.36},
	} {
		sent := map[string]int{}
		for index := range balancers {
			h := newLargeFleetHarness(t, index, 100)
			c.before(h)
			for range requestsEach {
				id, to := h.sendRequest(nonIdempotentClass)
				sent[to]++
				if to != "" {
					h.endAttempt(id, to, 0, OK, NoLoadReport)
				}
			}
		}
		highest, total := 0, 0
		for i := 100; i < 200; i++ {
			n := sent[fmt.Sprint("s", i)]
			total, highest = total+n, max(highest, n)
		}
		fair := balancers * requestsEach * c.fraction / 200
		mean := float64(total) / 100
		if mean < fair || mean > 1.5*fair {
			t.Errorf("%s: a warming endpoint got %.1f requests on average, with a current capacity of %.1f", name, mean, fair)
		}
		if float64(highest) > 2.5*fair+2*mean {
			t.Errorf("%s: one warming endpoint got %d requests, with a current capacity of %.1f", name, highest, fair)
		}
	}
}

// The draw of a warming endpoint ignores its load. If a warming endpoint has a request of this balancer in
// flight, the draw must not give it another one while ready endpoints are idle.
func TestBusyWarmingEndpointGetsNoFurtherRequests(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1, 1, 1)
	h.list(Endpoint{ID: "warming", StartedAt: h.clock})
	inFlight := 0
	for range 400 {
		id, to := h.sendRequest(nonIdempotentClass)
		if to == "warming" {
			inFlight++
			continue // gets no response
		}
		h.endAttempt(id, to, 0, OK, NoLoadReport)
	}
	if inFlight != 1 {
		t.Errorf("a warming endpoint has %d requests in flight while ready endpoints are idle, want 1", inFlight)
	}
}
