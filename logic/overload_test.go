package logic

import "testing"

// Traffic rises at once, as when a client returns after a shutdown elsewhere. What is in flight is much for
// the rate of answers so far, but young: that is no overload. The same attempts are one when they stay
// without an answer.
func TestRisingTrafficIsNotOverload(t *testing.T) {
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
		t.Errorf("shedding level %v for requests that have just arrived", h.overload.level)
	}
	if h.advance(h.horizon / 2); h.overload.level == 0 {
		t.Error("nothing is shed while none is answered")
	}
}

// In an overload no endpoint answers in time. Ejecting them all would leave the load to nobody, or to the
// last few. None is ejected; load is shed.
func TestOverloadShedsWithoutEjecting(t *testing.T) {
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
	for _, e := range h.endpoints.listed {
		if h.isEjected(e) {
			t.Errorf("%s is ejected though all endpoints are silent", e.ID)
		}
	}
	if h.overload.level <= 1 {
		t.Errorf("shedding level %v in an overload", h.overload.level)
	}
	rejected := 0
	for range 100 {
		if _, to := h.sendRequest(cheapClass); to == "" {
			rejected++
		}
	}
	if rejected < 99 {
		t.Errorf("%d of 100 cheap requests are shed in an overload", rejected)
	}
}

// A balancer with next to nothing in flight shed a part of its requests, as the few of them clustered by
// chance. Where the endpoints are not busy it must shed none.
func TestBalancerWithLittleTrafficShedsNothing(t *testing.T) {
	set := testSettings()
	set.Balancers = 500
	h := newHarness(t, set, 1, 1, 1, 1)
	for i := range 300 {
		var ids, endpoints []string
		for range 1 + 3*(i%2) { // in clusters
			id, to := h.sendRequest(cheapClass)
			if to == "" {
				t.Fatalf("request %d is shed", i)
			}
			ids, endpoints = append(ids, id), append(endpoints, to)
		}
		h.advance(h.horizon / 2)
		for k := range ids {
			h.respond(ids[k], endpoints[k], h.horizon/2, loadReport(0.35, 35))
		}
		h.advance(h.horizon)
	}
}

// Where endpoints have long queues, late answers show an overload only when the queues are full. What is in
// flight must show it before.
func TestConcurrencyShowsOverloadBeforeLatency(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	for range 200 {
		id, to := h.sendRequest(nonIdempotentClass)
		h.endAttempt(id, to, 0, OK, loadReport(1, 50))
		h.advanceTick()
	}
	if h.overload.level != 0 {
		t.Fatalf("shedding level %v before the overload", h.overload.level)
	}
	for range 40 {
		h.sendRequest(nonIdempotentClass)
	}
	h.advance(2 * h.horizon / ticksPerHorizon) // attempts that have just begun show no overload
	if h.overload.level == 0 {
		t.Error("40 attempts in flight after 200 sends show no overload")
	}
}

// Some requests hang for a reason of their own, while endpoints report low utilization. To shed others
// would not help those that hang, so it must not happen.
func TestHangingAttemptsAtLowUtilizationAreNotOverload(t *testing.T) {
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
		t.Errorf("shedding level %v with endpoints at a utilization of 0.3", h.overload.level)
	}
}

// A few attempts are older than their objective while busy endpoints answer all others. They hang, and are
// no sign of an overload: by then late answers would show one.
func TestAttemptsOlderThanObjectiveAreNotOverload(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	for range 12 {
		h.sendRequest(nonIdempotentClass)
	}
	h.advance(h.settings.Classes[nonIdempotentClass].LatencyObjective + h.horizon/ticksPerHorizon)
	for range 100 {
		id, to := h.sendRequest(nonIdempotentClass)
		h.endAttempt(id, to, 0, OK, loadReport(1, 50))
	}
	h.overload.latencyRatio = 0
	h.advanceTick()
	if h.overload.level != 0 {
		t.Errorf("shedding level %v with a few old attempts", h.overload.level)
	}
}

// Many balancers with few requests each share a fleet. Each of them sees an overload late, when clients of
// all of them retry already, and shedding that begins then did not end it. A balancer that uses a subset
// must shed earlier than one that uses all endpoints.
func TestSubsetBalancerShedsEarlier(t *testing.T) {
	usesAll := newHarness(t, testSettings(), make([]float64, 20)...)
	usesSubset := newLargeFleetHarness(t, 3, 200)
	for _, h := range []*harness{usesAll, usesSubset} {
		h.serveRequests(50, "")
		h.overload.latencyRatio = (sheddingLatencyRatio + subsetThresholdFactor*sheddingLatencyRatio) / 2
		h.overload.rejections.fraction = 0
		h.updateOverload(0)
	}
	if usesAll.overload.level > 0 || usesSubset.overload.level == 0 {
		t.Errorf("at a latency ratio of %.2f the shedding level is %.2f with all endpoints, %.2f with a subset",
			usesAll.overload.latencyRatio, usesAll.overload.level, usesSubset.overload.level)
	}
}
