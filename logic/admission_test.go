package logic

import (
	"testing"
	"time"
)

// If load is shed before it arrives at the balancer, the balancer itself must shed nothing, or load would
// be shed twice. Endpoints that reject requests in an overload must not be ejected, because the requests
// that would test them may never arrive.
func TestExternalAdmissionShedsNothingHere(t *testing.T) {
	settings := testSettings()
	settings.ExternalAdmission = true
	h := newHarness(t, settings, 1, 1, 1, 1)
	h.setSheddingLevel(1e6)
	h.advance(h.horizon)
	if h.OverloadLevel() < 1 {
		t.Errorf("overload level %v, want at least 1", h.OverloadLevel())
	}
	for range 50 {
		id, to := h.sendRequest(cheapClass)
		if to == "" {
			t.Fatal("a request was shed despite external admission")
		}
		h.endAttempt(id, to, 0, Rejected, NoLoadReport)
	}
	if n := h.Unavailable(); n > 0 {
		t.Errorf("%d endpoints were ejected because they rejected requests", n)
	}
	latencyRatio := h.overload.latencyRatio
	id, to := h.sendRequest(cheapClass)
	if h.endAttempt(id, to, 0, Rejected, NoLoadReport); h.overload.latencyRatio > latencyRatio {
		t.Error("a rejection counted as a late response")
	}
}

// With external admission, a failing endpoint must still be ejected.
func TestExternalAdmissionEjectsFailingEndpoint(t *testing.T) {
	settings := testSettings()
	settings.ExternalAdmission = true
	h := newHarness(t, settings, 1, 1, 1, 1)
	for range 20 {
		sentTo := map[string]string{}
		for range 16 {
			id, to := h.sendRequest(nonIdempotentClass)
			sentTo[id] = to
		}
		for id, to := range sentTo {
			result := OK
			if to == "s0" {
				result = Failed
			}
			h.endAttempt(id, to, 0, result, NoLoadReport)
		}
	}
	if n := h.Unavailable(); n != 1 {
		t.Errorf("%d endpoints were ejected, want the one that fails", n)
	}
}

// In an overload, requests of low priority must be shed before requests of high priority.
func TestLowPriorityIsShedFirst(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1)
	rejected := [2]int{}
	for i := range 2000 {
		h.setSheddingLevel(0.1)
		class := i % 2
		id, to := h.sendRequest(class)
		if to == "" {
			rejected[class]++
		} else {
			h.endAttempt(id, to, 0, OK, NoLoadReport)
		}
	}
	if rejected[cheapClass] < 400 || rejected[nonIdempotentClass] > 120 {
		t.Errorf("shed %v of 1000 requests each of low and high priority", rejected)
	}
}

// In an overload, long requests must not displace short ones of the same weight, because a long request
// uses the capacity of several short ones.
func TestLongRequestsAreShedFirst(t *testing.T) {
	settings := testSettings()
	settings.Classes[1].PriorityWeight = settings.Classes[0].PriorityWeight
	h := newHarness(t, settings, 1, 1)
	rejected := [2]int{}
	for i := range 4000 {
		h.setSheddingLevel(0.3)
		class := i % 2
		id, to := h.sendRequest(class)
		if to == "" {
			rejected[class]++
			continue
		}
		h.respond(id, to, time.Duration(20+60*class)*time.Millisecond, NoLoadReport)
	}
	if rejected[1] < 2*rejected[0] {
		t.Errorf("shed %d short and %d long requests of 2000 each", rejected[0], rejected[1])
	}
}
