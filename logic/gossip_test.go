package logic

import (
	"testing"
)

// A server that other balancers see fail gets nothing, and no trial while they go on to say so; when they no longer do it is
// in again at once. A balancer that has heard from the server lately believes itself.
func TestPeerReportsEjectWhileRepeated(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	s := h.endpoint("s0")
	s.lastSeen = h.clock
	h.Handle(h.clock, PeerReport{Endpoint: "s0", Unhealthy: true})
	if s.health.state != healthy {
		t.Fatal("others' word went before an own answer")
	}
	h.clock += 2 * h.horizon
	for range 8 {
		h.Handle(h.clock, PeerReport{Endpoint: "s0", Unhealthy: true})
		for range 10 {
			if id, to := h.sendRequest(cheapClass); to == "s0" {
				t.Fatal("a request or a trial went to a suspect")
			} else {
				h.endAttempt(id, to, 0, OK, NoLoadReport)
			}
		}
		h.clock += h.horizon / 2
	}
	h.Handle(h.clock, PeerReport{Endpoint: "s0"})
	if s.health.state != healthy {
		t.Error("still out when nobody suspects it")
	}
	h.Handle(h.clock, PeerReport{Endpoint: "unknown", Unhealthy: true})
}

// Others' word leaves a server alone that this balancer has put out itself, or tries at the moment, and may not empty the fleet.
func TestPeerReportsOverruleNoOwnEvidence(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	own := h.endpoint("s0")
	h.eject(own)
	until := own.health.ejectedUntil
	h.clock += 2 * h.horizon
	h.Handle(h.clock, PeerReport{Endpoint: "s0", Unhealthy: true})
	if own.health.ejectedUntil != until || own.health.state != ejected {
		t.Error("an ejection of its own was put off")
	}
	h.Handle(h.clock, PeerReport{Endpoint: "s0"})
	if own.health.ejectedUntil != until {
		t.Error("an ejection of its own was ended")
	}
	for _, s := range h.endpoints.listed {
		h.Handle(h.clock, PeerReport{Endpoint: s.ID, Unhealthy: true})
	}
	h.updateWeights()
	if id, to := h.sendRequest(nonIdempotentClass); to == "" {
		t.Errorf("%s goes nowhere: others' word has emptied the fleet", id)
	}
}
