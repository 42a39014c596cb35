package logic

import "testing"

// An endpoint has died, and peers report it as unhealthy. While the reports are repeated, it must get no
// requests and no half-open tests; as soon as they end, it must be healthy. A balancer that recently had a
// response from the endpoint must ignore the reports.
func TestPeerReportsEjectWhileRepeated(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	reported := h.endpoint("s0")
	reported.lastSeen = h.clock
	h.Handle(h.clock, PeerReport{Endpoint: "s0", Unhealthy: true})
	if reported.health.state != healthy {
		t.Fatal("a peer's report overrode a recent response to this balancer")
	}
	h.clock += 2 * h.horizon
	for range 8 {
		h.Handle(h.clock, PeerReport{Endpoint: "s0", Unhealthy: true})
		for range 10 {
			id, to := h.sendRequest(cheapClass)
			if to == "s0" {
				t.Fatal("a request was sent to an endpoint that peers report as unhealthy")
			}
			h.endAttempt(id, to, 0, OK, NoLoadReport)
		}
		h.clock += h.horizon / 2
	}
	h.Handle(h.clock, PeerReport{Endpoint: "s0"})
	if reported.health.state != healthy {
		t.Errorf("health %+v after the peers' reports ended, want healthy", reported.health)
	}
	h.Handle(h.clock, PeerReport{Endpoint: "unknown", Unhealthy: true})
}

// Peers may be wrong, or partitioned themselves. Their reports must not change an ejection that this
// balancer made itself, and must not leave the balancer without endpoints.
func TestPeerReportsDoNotOverrideLocalEjection(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	e := h.endpoint("s0")
	h.eject(e)
	until := e.health.ejectedUntil
	h.clock += 2 * h.horizon
	h.Handle(h.clock, PeerReport{Endpoint: "s0", Unhealthy: true})
	if e.health.ejectedUntil != until || e.health.state != ejectedLocally {
		t.Errorf("a peer's report changed a local ejection: %+v", e.health)
	}
	h.Handle(h.clock, PeerReport{Endpoint: "s0"})
	if e.health.ejectedUntil != until {
		t.Errorf("a peer's report ended a local ejection: %+v", e.health)
	}
	for _, e := range h.endpoints.listed {
		h.Handle(h.clock, PeerReport{Endpoint: e.ID, Unhealthy: true})
	}
	h.updateWeights()
	if id, to := h.sendRequest(nonIdempotentClass); to == "" {
		t.Errorf("%s was not sent after peers reported all endpoints as unhealthy", id)
	}
}
