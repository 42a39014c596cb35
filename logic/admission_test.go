package logic

import (
	"testing"
	"time"
)

// Where requests are shed before they come here, a jam refuses none, and being turned away, which is a jam's sign, keeps no
// server out: the shed may hold no request that would be its trial.
func TestExternalAdmissionShedsNothingHere(t *testing.T) {
	set := testSettings()
	set.ExternalAdmission = true
	h := newHarness(t, set, 1, 1, 1, 1)
	h.setSheddingLevel(1e6)
	h.advance(h.horizon)
	if h.OverloadLevel() < 1 {
		t.Errorf("a jam of %v is told", h.OverloadLevel())
	}
	for range 50 {
		id, to := h.sendRequest(cheapClass)
		if to == "" {
			t.Fatal("refused in a jam")
		}
		h.endAttempt(id, to, 0, Rejected, NoLoadReport)
	}
	if n := h.Unavailable(); n > 0 {
		t.Errorf("%d servers are kept out, as they turned requests away", n)
	}
	late := h.overload.latencyRatio
	id, to := h.sendRequest(cheapClass)
	if h.endAttempt(id, to, 0, Rejected, NoLoadReport); h.overload.latencyRatio > late {
		t.Error("what was turned away counts as late")
	}
	h = newHarness(t, set, 1, 1, 1, 1)
	for range 20 {
		ended := map[string]string{}
		for range 16 {
			id, to := h.sendRequest(nonIdempotentClass)
			ended[id] = to
		}
		for id, to := range ended {
			result := OK
			if to == "s0" {
				result = Failed
			}
			h.endAttempt(id, to, 0, result, NoLoadReport)
		}
	}
	if n := h.Unavailable(); n != 1 {
		t.Errorf("%d servers are kept out, of which one fails", n)
	}
}

// Guards against the valuable waiting behind the cheap.
func TestLowPriorityIsShedFirst(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1)
	refused := [2]int{}
	for i := range 2000 {
		h.setSheddingLevel(0.1)
		id, to := h.sendRequest(i % 2)
		if to == "" {
			refused[i%2]++
		} else {
			h.endAttempt(id, to, 0, OK, NoLoadReport)
		}
	}
	if refused[0] < 400 || refused[1] > 120 {
		t.Errorf("refused %d cheap and %d dear of 1000 each", refused[0], refused[1])
	}
}

// Guards against long work crowding out short work of the same worth in a jam.
func TestLongRequestsAreShedFirst(t *testing.T) {
	set := testSettings()
	set.Classes[1].PriorityWeight = set.Classes[0].PriorityWeight
	h := newHarness(t, set, 1, 1)
	refused := [2]int{}
	for i := range 4000 {
		h.setSheddingLevel(0.3)
		id, to := h.sendRequest(i % 2)
		if to == "" {
			refused[i%2]++
			continue
		}
		h.answer(id, to, time.Duration(20+60*(i%2))*time.Millisecond, NoLoadReport)
	}
	if refused[1] < 2*refused[0] {
		t.Errorf("refused %d short and %d long of 2000 each", refused[0], refused[1])
	}
}
