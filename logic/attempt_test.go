package logic

import (
	"testing"
	"time"
)

// A request streams its body to its endpoint for a minute. Until the body has arrived, no response is due:
// the endpoint must not be ejected as unresponsive, and the request must have no deadline and no second
// attempt. Afterwards the response is due.
func TestNoResponseIsDueWhileBodyIsPending(t *testing.T) {
	settings := testSettings()
	settings.HedgingAllowed = true
	h := newHarness(t, settings, 1, 1)
	var to string
	for _, a := range h.Handle(h.clock, Request{ID: "upload", Class: cheapClass, BodyPending: true}) {
		switch a.Kind {
		case Send:
			to = a.Endpoint
		default:
			t.Errorf("%+v", a)
		}
	}
	for _, e := range h.endpoints.listed {
		if h.maySend(h.requests["upload"], e) {
			t.Errorf("the request may be sent to %s although %s is receiving its body", e.ID, to)
		}
	}
	if actions := h.advance(time.Minute); len(actions) > 0 || h.endpoint(to).health.state != healthy {
		t.Errorf("while the body arrives: actions %+v, health %+v", actions, h.endpoint(to).health)
	}
	actions := h.Handle(h.clock, BodyReceived{Request: "upload", Deadline: h.clock + time.Second})
	if len(actions) != 1 || actions[0].Kind != SetTimer || actions[0].Delay != time.Second {
		t.Errorf("actions after the body: %+v, want a deadline timer", actions)
	}
	if h.advance(10 * time.Second); h.endpoint(to).health.state == healthy {
		t.Error("the endpoint was not ejected although it did not respond to the complete request")
	}
	if actions := h.Handle(h.clock, BodyReceived{Request: "unknown"}); len(actions) > 0 {
		t.Errorf("actions for an unknown request: %+v", actions)
	}
}

// A connection breaks and the request may have been executed. A retry in another cell would execute it
// again, because only the first cell drops repeats. After a Reject, the client would retry with the same
// effect.
func TestRetryStaysWithinDedupScope(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	for range 30 {
		id, to := h.sendRequest(keyedClass)
		next := h.endAttempt(id, to, 0, Reset, NoLoadReport)
		if len(next) != 1 || next[0].Kind == Send && h.endpoint(next[0].Endpoint).Cell != h.endpoint(to).Cell {
			t.Fatalf("actions after a reset at %s: %+v", to, next)
		}
		if next[0].Kind == Reject {
			t.Fatal("a keyed request that may have been executed was rejected")
		}
	}
}

// A change of the list moves the endpoint of a request's first attempt to another cell before the retry.
// The retry must stay in the cell to which the first attempt was sent, because that cell drops the repeat.
func TestRetryStaysInCellOfFirstSend(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	id, to := h.sendRequest(keyedClass)
	cell := h.endpoint(to).Cell
	h.list(Endpoint{ID: to, Weight: 1, Cell: 1 - cell})
	for _, a := range h.endAttempt(id, to, 0, Reset, NoLoadReport) {
		if a.Kind == Send && (a.Endpoint == to || h.endpoint(a.Endpoint).Cell != cell) {
			t.Errorf("first attempt sent to %s in cell %d, retry sent to %s in cell %d",
				to, cell, a.Endpoint, h.endpoint(a.Endpoint).Cell)
		}
	}
}

// A connection breaks shortly before the end of the idempotency window. A retry that arrives after the
// window is executed again. No retry may therefore be sent within one timer resolution of the window's end.
func TestRetryStaysWithinIdempotencyWindow(t *testing.T) {
	settings := testSettings()
	window := settings.Classes[keyedClass].IdempotencyWindow
	for _, c := range []struct {
		after time.Duration
		want  ActionKind
	}{{window - 2*settings.TimerResolution, Send}, {window - settings.TimerResolution, Fail}, {window, Fail}} {
		h := newHarness(t, settings, 1, 1) // both in one cell
		id, to := h.sendRequest(keyedClass)
		h.clock += c.after
		if next := h.endAttempt(id, to, 0, Reset, NoLoadReport); len(next) != 1 || next[0].Kind != c.want {
			t.Errorf("actions after a reset %v after the first send, with a window of %v: %+v", c.after, window, next)
		}
	}
}

// If no endpoint is listed, a request must get its final response immediately.
func TestRequestWithoutEndpointIsRejected(t *testing.T) {
	h := newHarness(t, testSettings())
	actions := h.Handle(h.clock, Request{ID: "x", Deadline: h.clock + time.Second})
	if last := actions[len(actions)-1]; last.Kind != Reject {
		t.Errorf("actions without endpoints: %+v, want a Reject", actions)
	}
}

// An outcome, the client's disconnect and the deadline of a request coincide, in any order. Nothing may be
// sent afterwards, and there must be at most one final response.
func TestRequestEndsOnceWhenEventsCoincide(t *testing.T) {
	for _, result := range []Result{Reset, Rejected, TimedOut, OK} {
		for _, order := range [][3]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
			h := newHarness(t, testSettings(), 1, 1, 1)
			id, to := h.sendRequest(nonIdempotentClass)
			h.clock += 2 * time.Second // the deadline
			events := [3]Event{
				Outcome{Request: id, Endpoint: to, Result: result, Closed: result == OK, LoadReport: NoLoadReport},
				ClientDisconnected{id},
				TimerFired{h.deadlines.latestToken()},
			}
			finalResponses := 0
			for _, next := range order {
				for _, a := range h.Handle(h.clock, events[next]) {
					switch a.Kind {
					case Send:
						t.Errorf("result %d, order %v: attempt sent at the deadline", result, order)
					case Reject, Fail:
						finalResponses++
					}
				}
			}
			if finalResponses > 1 || len(h.requests) != 0 {
				t.Errorf("result %d, order %v: %d final responses, %d requests left", result, order, finalResponses, len(h.requests))
			}
		}
	}
}
