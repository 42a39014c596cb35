package logic

import (
	"testing"
)

// Traffic that rises at once, as when a caller returns from a drain, is no jam: what is in flight is many for the rate
// so far, but young. The same many are one when they have been out for long.
func TestRisingTrafficIsNoOverload(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	for range 100 { // little traffic, answered at once
		id, to := h.sendRequest(cheapClass)
		h.endAttempt(id, to, 0, OK, NoLoadReport)
		h.advance(h.horizon)
	}
	for range 30 {
		h.sendRequest(cheapClass)
	}
	if h.advance(1); h.overload.level > 0 {
		t.Errorf("refuses by %v what has just begun to come", h.overload.level)
	}
	if h.advance(h.horizon / 2); h.overload.level == 0 {
		t.Error("refuses nothing when none is answered")
	}
}

// Guards against ejecting the fleet in a jam, and against a backlog that leaves the ejected out.
func TestOverloadShedsAndEjectsNone(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	for range 200 { // an ordinary start
		id, to := h.sendRequest(nonIdempotentClass)
		h.endAttempt(id, to, 0, OK, loadReport(0.5, 50))
		h.advanceTick()
	}
	for range 300 { // then nothing is answered
		h.sendRequest(nonIdempotentClass)
	}
	h.advance(h.horizon)
	h.updateWeights()
	for _, s := range h.endpoints.listed {
		if h.isEjected(s) {
			t.Error("a server is kept out though all are silent")
		}
	}
	if h.overload.level <= 1 {
		t.Errorf("shed level %v in a jam", h.overload.level)
	}
	refused := 0
	for range 100 {
		if _, to := h.sendRequest(cheapClass); to == "" {
			refused++
		}
	}
	if refused < 99 {
		t.Errorf("%d of 100 cheap requests refused in a jam", refused)
	}
}

// Guards against a balancer with next to nothing in flight that refuses because its few requests bunch by
// chance (arewa quiet: 18% refused in a fleet used to a third): in a fleet that is not busy it refuses none.
func TestQuietBalancerShedsNone(t *testing.T) {
	set := testSettings()
	set.Balancers = 500
	h := newHarness(t, set, 1, 1, 1, 1)
	for i := range 300 {
		var ids, tos []string
		for range 1 + 3*(i%2) { // bunched
			id, to := h.sendRequest(cheapClass)
			if to == "" {
				t.Fatalf("request %d is refused", i)
			}
			ids, tos = append(ids, id), append(tos, to)
		}
		h.advance(h.horizon / 2)
		for k := range ids {
			h.answer(ids[k], tos[k], h.horizon/2, loadReport(0.35, 35))
		}
		h.advance(h.horizon)
	}
}

// Guards against refusing too late where queues are deep: what is in flight tells before late answers do.
func TestConcurrencyShowsOverloadBeforeLatency(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	for range 200 {
		id, to := h.sendRequest(nonIdempotentClass)
		h.endAttempt(id, to, 0, OK, loadReport(1, 50))
		h.advanceTick()
	}
	if h.overload.level != 0 {
		t.Fatalf("shed level %v before the jam", h.overload.level)
	}
	for range 40 {
		h.sendRequest(nonIdempotentClass)
	}
	h.advance(2 * h.horizon / ticksPerHorizon) // what has just come is no jam yet
	if h.overload.level == 0 {
		t.Error("40 in flight of 200 sends say nothing")
	}
}

// What hangs is no jam: while servers report little use, requests that stay in flight refuse no others.
func TestHangingAttemptsAreNoOverloadAtLowUtilization(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	for range 200 {
		id, to := h.sendRequest(nonIdempotentClass)
		h.endAttempt(id, to, 0, OK, loadReport(0.3, 50))
		h.advanceTick()
	}
	for range 40 {
		h.sendRequest(nonIdempotentClass)
	}
	h.advanceTick()
	if h.overload.level != 0 {
		t.Errorf("shed level %v with servers at three tenths", h.overload.level)
	}
}

// Also where servers are busy, what is out for longer than its aim is stuck: late answers tell of a jam by then.
func TestAttemptsOlderThanObjectiveAreNoOverload(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	for range 12 {
		h.sendRequest(nonIdempotentClass)
	}
	h.advance(h.settings.Classes[1].LatencyObjective + h.horizon/ticksPerHorizon)
	for range 100 {
		id, to := h.sendRequest(nonIdempotentClass)
		h.endAttempt(id, to, 0, OK, loadReport(1, 50))
	}
	h.overload.latencyRatio = 0
	h.advanceTick()
	if h.overload.level != 0 {
		t.Errorf("shed level %v with a few stuck", h.overload.level)
	}
}

// Guards against refusals that begin too late where many quiet balancers share a fleet (calm of the whole fleet, seed 5: 36% refused to
// the end, at 2.2 tries a request): one that uses a part of the servers begins earlier than one that uses them all.
func TestSubsetBalancerShedsEarlier(t *testing.T) {
	whole := newHarness(t, testSettings(), make([]float64, 20)...)
	part := newLargeFleetHarness(t, 3, 200)
	for _, h := range []*harness{whole, part} {
		h.serveRequests(50, "")
		h.overload.latencyRatio, h.overload.rejections.fraction = (sheddingLatencyRatio+subsetThresholdFactor*sheddingLatencyRatio)/2, 0
		h.updateOverload(0)
	}
	if whole.overload.level > 0 || part.overload.level == 0 {
		t.Errorf("at a mean of %.2f of the aim %.2f is refused by one that uses all servers, %.2f by one of a large fleet", whole.overload.latencyRatio, whole.overload.level, part.overload.level)
	}
}
