package logic

import "testing"

// A server that other balancers see fail gets nothing, and no trial while they go on to say so; when they no longer do it is
// in again at once. A balancer that has heard from the server lately believes itself.
func TestHearsay(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1, 1, 1)
	s := h.byID["s0"]
	s.heard = h.at
	h.Handle(h.at, PeerReport{Endpoint: "s0", Unhealthy: true})
	if s.until != 0 {
		t.Fatal("others' word went before an own answer")
	}
	h.at += 2 * h.horizon
	for range 8 {
		h.Handle(h.at, PeerReport{Endpoint: "s0", Unhealthy: true})
		for range 10 {
			if id, to := h.ask(0); to == "s0" {
				t.Fatal("a request or a trial went to a suspect")
			} else {
				h.end(id, to, 0, OK, NoLoadReport)
			}
		}
		h.at += h.horizon / 2
	}
	h.Handle(h.at, PeerReport{Endpoint: "s0"})
	if s.until != 0 {
		t.Error("still out when nobody suspects it")
	}
	h.Handle(h.at, PeerReport{Endpoint: "unknown", Unhealthy: true})
}

// Others' word leaves a server alone that this balancer has put out itself, or tries at the moment, and may not empty the fleet.
func TestHearsayOverrulesNothing(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1, 1, 1)
	own := h.byID["s0"]
	h.eject(own)
	until := own.until
	h.at += 2 * h.horizon
	h.Handle(h.at, PeerReport{Endpoint: "s0", Unhealthy: true})
	if own.until != until || own.told {
		t.Error("an ejection of its own was put off")
	}
	h.Handle(h.at, PeerReport{Endpoint: "s0"})
	if own.until != until {
		t.Error("an ejection of its own was ended")
	}
	for _, s := range h.servers {
		h.Handle(h.at, PeerReport{Endpoint: s.ID, Unhealthy: true})
	}
	h.weigh()
	if id, to := h.ask(1); to == "" {
		t.Errorf("%s goes nowhere: others' word has emptied the fleet", id)
	}
}
