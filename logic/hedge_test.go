package logic

import (
	"testing"
	"time"
)

// An answer that is late may never come: a second copy goes out where the class allows one and servers are not busy.
func TestLateRequestIsHedgedWhereClassAndUtilizationAllow(t *testing.T) {
	for name, c := range map[string]struct {
		class, copies int
		util          float64
	}{"safe": {0, 1, 0.3}, "keyed": {1, 1, 0.3}, "unsafe": {2, 0, 0.3}, "busy": {0, 0, 0.9}} {
		set := testSettings()
		set.HedgingAllowed = true
		set.Classes = []Class{{Name: "s", Idempotency: Idempotent, LatencyObjective: time.Second, Timeout: 3 * time.Second, PriorityWeight: 1},
			{Name: "k", Idempotency: IdempotentWithKey, IdempotencyWindow: 3 * time.Second, LatencyObjective: time.Second, Timeout: 3 * time.Second, PriorityWeight: 1},
			{Name: "u", Idempotency: NonIdempotent, LatencyObjective: time.Second, Timeout: 3 * time.Second, PriorityWeight: 1}}
		h := newHarness(t, set, 1, 1, 1, 1)
		for range 100 {
			id, to := h.sendRequest(cheapClass)
			h.endAttempt(id, to, 0, OK, loadReport(c.util, 50))
		}
		h.advanceTick()
		id, to := h.sendRequest(c.class)
		copies, saved := 0, h.retries.available
		for _, a := range h.advance(time.Duration(2 * hedgeDelayFactor * h.baseline[c.class])) {
			if a.Kind == Send && a.Request == id {
				copies++
				if a.Endpoint == to {
					t.Errorf("%s: the copy went to the same server", name)
				}
			}
		}
		if copies != c.copies || h.retries.available != saved-float64(copies) {
			t.Errorf("%s: %d copies, %v of %v are left for more", name, copies, h.retries.available, saved)
		}
	}
}
