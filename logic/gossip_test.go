package logic

import "testing"

// An endpoint has died, and peers report it. It must get no request and no half-open test while they go on
// to report it, and be healthy as soon as they no longer do. A balancer that had an answer from it lately
// ignores them.
func TestPeerReportsEjectWhileRepeated(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	reported := h.endpoint("s0")
	reported.lastSeen = h.clock
	h.Handle(h.clock, PeerReport{Endpoint: "s0", Unhealthy: true})
	if reported.health.state != healthy {
		t.Fatal("a peer's report overruled an answer to this balancer")
	}
	h.clock += 2 * h.horizon
	for range 8 {
		h.Handle(h.clock, PeerReport{Endpoint: "s0", Unhealthy: true})
		for range 10 {
			id, to := h.sendRequest(cheapClass)
			if to == "s0" {
				t.Fatal("a request went to an endpoint that peers report")
			}
			h.endAttempt(id, to, 0, OK, NoLoadReport)
		}
		h.clock += h.horizon / 2
	}
	h.Handle(h.clock, PeerReport{Endpoint: "s0"})
	if reported.health.state != healthy {
		t.Errorf("%+v though no peer reports it any more", reported.health)
	}
	h.Handle(h.clock, PeerReport{Endpoint: "unknown", Unhealthy: true})
}

// Peers may be wrong, or cut off themselves. Their reports must not change an ejection on this balancer's own
// evidence, and must not leave it without endpoints.
func TestPeerReportsDoNotOverrideLocalEjection(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	e := h.endpoint("s0")
	h.eject(e)
	until := e.health.ejectedUntil
	h.clock += 2 * h.horizon
	h.Handle(h.clock, PeerReport{Endpoint: "s0", Unhealthy: true})
	if e.health.ejectedUntil != until || e.health.state != ejectedLocally {
		t.Errorf("a peer's report extended an ejection on own evidence: %+v", e.health)
	}
	h.Handle(h.clock, PeerReport{Endpoint: "s0"})
	if e.health.ejectedUntil != until {
		t.Errorf("a peer's report ended an ejection on own evidence: %+v", e.health)
	}
	for _, e := range h.endpoints.listed {
		h.Handle(h.clock, PeerReport{Endpoint: e.ID, Unhealthy: true})
	}
	h.updateWeights()
	if id, to := h.sendRequest(nonIdempotentClass); to == "" {
		t.Errorf("%s is not sent: peers' reports have ejected all endpoints", id)
	}
}
