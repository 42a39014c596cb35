package logic

import "testing"

// Traffic rises suddenly, for example because clients return after an outage elsewhere. The attempts in
// flight are many relative to the previous rate of responses, but recent, so they must not count as an
// overload. They must count when they stay without a response.
func TestRisingTrafficIsNotOverload(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	for range 100 { // little traffic, with immediate responses
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
		t.Error("nothing is shed while no response comes")
	}
}

// In an overload no endpoint responds in time. Ejecting them all would leave no endpoint, or only a few,
// for the load. None may be ejected; load must be shed instead.
func TestOverloadShedsWithoutEjecting(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	for range 200 { // normal operation at first
		id, to := h.sendRequest(nonIdempotentClass)
		h.endAttempt(id, to, 0, OK, loadReport(0.5, 50))
		h.advanceTick()
	}
	for range 300 { // then no response comes
		h.sendRequest(nonIdempotentClass)
	}
	h.advance(h.horizon)
	h.updateWeights()
	for _, e := range h.endpoints.listed {
		if h.isEjected(e) {
			t.Errorf("%s is ejected although all endpoints are unresponsive", e.ID)
		}
	}
	if h.overload.level <= 1 {
		t.Errorf("shedding level %v in an overload, want above 1", h.overload.level)
	}
	rejected := 0
	for range 100 {
		if _, to := h.sendRequest(cheapClass); to == "" {
			rejected++
		}
	}
	if rejected < 99 {
		t.Errorf("%d of 100 cheap requests were shed in an overload, want at least 99", rejected)
	}
}

// A balancer with almost nothing in flight shed some of its requests, because they clustered randomly. If
// the endpoints are not busy, it must shed none.
func TestBalancerWithLittleTrafficShedsNothing(t *testing.T) {
	settings := testSettings()
	settings.Balancers = 500
	h := newHarness(t, settings, 1, 1, 1, 1)
	for i := range 300 {
		var ids, endpoints []string
		for range 1 + 3*(i%2) { // alternately one request and a cluster of four
			id, to := h.sendRequest(cheapClass)
			if to == "" {
				t.Fatalf("request of round %d was shed", i)
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

// If endpoints have long queues, late responses indicate an overload only once the queues are full. The
// attempts in flight must indicate it earlier.
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
	h.advance(2 * h.horizon / ticksPerHorizon) // attempts that have just begun do not indicate an overload
	if h.overload.level == 0 {
		t.Error("40 attempts in flight do not indicate an overload")
	}
}

// Some requests hang for an unrelated reason, while endpoints report a low utilization. Shedding other
// requests would not help them, so none may be shed.
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

// A few attempts are older than their latency objective, while busy endpoints respond to all others. These
// attempts hang and must not count as an overload: in an overload, late responses would have shown it by
// then.
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
		t.Errorf("shedding level %v with a few attempts older than the objective", h.overload.level)
	}
}

// Many balancers with few requests each share a fleet. Each detected an overload late, when the clients of
// all of them were already retrying, and shedding from then on did not end the overload. A balancer that
// uses a subset must begin to shed earlier than one that uses all endpoints.
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
