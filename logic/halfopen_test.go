package logic

import (
	"testing"
	"time"
)

// In an overload all requests of the class with the lowest priority were shed. Only these requests test
// ejected endpoints, which were therefore never readmitted and stayed idle. A request that tests an
// endpoint must not be shed.
func TestHalfOpenRequestIsNotShed(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1)
	e := h.endpoint("s0")
	h.eject(e)
	h.setSheddingLevel(1e6)
	if id, to := h.sendRequest(cheapClass); to != "" {
		t.Fatalf("%s was sent to %s instead of being shed", id, to)
	}
	h.clock = e.health.ejectedUntil
	if _, to := h.sendRequest(cheapClass); to != "s0" {
		t.Errorf("the half-open request was sent to %q, want s0", to)
	}
	if _, to := h.sendRequest(cheapClass); to != "" {
		t.Errorf("with a half-open request in flight, the next request was sent to %q instead of being shed", to)
	}
}

// An endpoint is ejected while it is warming. A half-open request would exceed the share of requests that
// it can serve, so the endpoint must not be tested until it is warm.
func TestWarmingEndpointIsNotTestedHalfOpen(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1)
	e := h.endpoint("s0")
	e.StartedAt = h.clock
	h.eject(e)
	h.clock = e.health.ejectedUntil + time.Millisecond
	if n := h.serveRequests(20, e.ID); n > 0 || !h.isEjected(e) {
		t.Errorf("%d requests were sent to an ejected, warming endpoint", n)
	}
	h.clock += h.settings.SlowStartWindow
	if h.serveRequests(20, e.ID) == 0 {
		t.Error("the endpoint is not tested after slow start")
	}
}
