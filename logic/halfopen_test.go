package logic

import (
	"testing"
	"time"
)

// In an overload all requests of the cheapest class were shed. Those are the requests that test ejected
// endpoints, which therefore never returned and stood idle. A request that tests an endpoint must not be
// shed.
func TestHalfOpenRequestIsNotShed(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1)
	e := h.endpoint("s0")
	h.eject(e)
	h.setSheddingLevel(1e6)
	if id, to := h.sendRequest(cheapClass); to != "" {
		t.Fatalf("%s was sent to %s, not shed", id, to)
	}
	h.clock = e.health.ejectedUntil
	if _, to := h.sendRequest(cheapClass); to != "s0" {
		t.Errorf("the half-open request went to %q", to)
	}
	if _, to := h.sendRequest(cheapClass); to != "" {
		t.Errorf("with a half-open request under way the next went to %q", to)
	}
}

// An endpoint is ejected while it warms up. A half-open request would come on top of the part of the
// requests that it can serve, so it must be tested when it is warm and not before.
func TestWarmingEndpointIsNotTestedHalfOpen(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1)
	e := h.endpoint("s0")
	e.StartedAt = h.clock
	h.eject(e)
	h.clock = e.health.ejectedUntil + time.Millisecond
	if n := h.serveRequests(20, e.ID); n > 0 || !h.isEjected(e) {
		t.Errorf("%d requests went to an ejected endpoint that warms up", n)
	}
	h.clock += h.settings.SlowStartWindow
	if h.serveRequests(20, e.ID) == 0 {
		t.Error("it is not tested when it is warm")
	}
}
