package logic

import (
	"testing"
	"time"
)

// The response to a request is late and may never come, because the connection is broken without notice or
// the endpoint hangs. A hedged request must be sent to another endpoint if the class allows it and the
// endpoints are not busy. Each hedged request must spend one retry of the budget.
func TestLateRequestIsHedgedWhereClassAndUtilizationAllow(t *testing.T) {
	const idempotent, withKey, nonIdempotent = 0, 1, 2
	class := func(idempotency Idempotency) Class {
		return Class{Idempotency: idempotency, IdempotencyWindow: 3 * time.Second, LatencyObjective: time.Second,
			Timeout: 3 * time.Second, PriorityWeight: 1}
	}
	settings := testSettings()
	settings.HedgingAllowed = true
	settings.Classes = []Class{class(Idempotent), class(IdempotentWithKey), class(NonIdempotent)}
	for name, c := range map[string]struct {
		class, hedges int
		utilization   float64
	}{
		"idempotent":     {idempotent, 1, 0.3},
		"with key":       {withKey, 1, 0.3},
		"non-idempotent": {nonIdempotent, 0, 0.3},
		"busy endpoints": {idempotent, 0, 0.9},
	} {
		h := newHarness(t, settings, 1, 1, 1, 1)
		for range 100 {
			id, to := h.sendRequest(idempotent)
			h.endAttempt(id, to, 0, OK, loadReport(c.utilization, 50))
		}
		h.advanceTick()
		id, to := h.sendRequest(c.class)
		hedges, before := 0, h.retryBudget.available
		for _, a := range h.advance(time.Duration(2 * hedgeDelayFactor * h.baseline[c.class])) {
			if a.Kind == Send && a.Request == id {
				hedges++
				if a.Endpoint == to {
					t.Errorf("%s: the hedged request was sent to the same endpoint", name)
				}
			}
		}
		if hedges != c.hedges || h.retryBudget.available != before-float64(hedges) {
			t.Errorf("%s: %d hedged requests, want %d; retry budget %v, was %v",
				name, hedges, c.hedges, h.retryBudget.available, before)
		}
	}
}

// Hedging a response that is arriving would have an endpoint execute a request in vain. One that has stopped
// arriving is late again.
func TestResponseIsHedgedOnlyWhileNothingOfItArrives(t *testing.T) {
	settings := testSettings()
	settings.HedgingAllowed = true
	h := newHarness(t, settings, 1, 1, 1, 1)
	for range 100 {
		id, to := h.sendRequest(cheapClass)
		h.endAttempt(id, to, 0, OK, loadReport(0.3, 50))
	}
	h.advanceTick()
	id, _ := h.sendRequest(cheapClass)
	hedgedWithin := func(ticks int, arriving bool) bool {
		for range ticks {
			if arriving {
				h.Handle(h.clock, ResponseUnderWay{Request: id, ArrivedAt: h.clock})
			}
			for _, a := range h.advanceTick() {
				if a.Kind == Send && a.Request == id {
					return true
				}
			}
		}
		return false
	}
	const ticks = ticksPerHorizon
	if hedgedWithin(ticks, true) {
		t.Error("hedged while it arrived")
	}
	if !hedgedWithin(ticks, false) {
		t.Error("not hedged after it stopped arriving")
	}
}
