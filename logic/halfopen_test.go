package logic

import (
	"testing"
	"time"
)

// Guards against a jam in which all of the cheapest class is refused, so that ejected servers never get the
// cheap request that tries them and stand empty (incident if77e79).
func TestHalfOpenRequestIsNotShed(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1)
	s := h.endpoint("s0")
	h.eject(s)
	h.setSheddingLevel(1e6)
	if id, to := h.sendRequest(cheapClass); to != "" {
		t.Fatalf("%s was sent to %s, not refused", id, to)
	}
	h.clock = s.health.ejectedUntil
	if _, to := h.sendRequest(cheapClass); to != "s0" {
		t.Errorf("a trial went to %q", to)
	}
	if _, to := h.sendRequest(cheapClass); to != "" {
		t.Errorf("with the trial under way a request went to %q", to)
	}
}

// A server that was ejected while it starts is tried once it is warm, not before: a trial is no part of what a cold one may get.
func TestWarmingEndpointIsNotTestedHalfOpen(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1)
	s := h.endpoint("s0")
	s.StartedAt = h.clock
	h.eject(s)
	ask := func() (sent int) {
		for range 20 {
			id, to := h.sendRequest(cheapClass)
			if to == s.ID {
				sent++
			}
			h.endAttempt(id, to, 0, OK, NoLoadReport)
		}
		return sent
	}
	h.clock = s.health.ejectedUntil + time.Millisecond
	if n := ask(); n > 0 || !h.isEjected(s) {
		t.Errorf("%d requests went to an ejected server that is cold", n)
	}
	if h.clock += h.settings.SlowStartWindow; ask() == 0 {
		t.Error("it is not tried when it is warm")
	}
}
