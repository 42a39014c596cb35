package logic

import (
	"testing"
	"time"
)

// A request streams its body to its endpoint for a minute. Until the body has arrived the endpoint owes no
// answer: it must not be ejected as silent, and the request has no deadline and no second attempt. From
// then on it owes one.
func TestNoResponseIsDueWhileBodyIsPending(t *testing.T) {
	set := testSettings()
	set.HedgingAllowed = true
	h := newHarness(t, set, 1, 1)
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
			t.Errorf("it may go to %s beside %s", e.ID, to)
		}
	}
	if actions := h.advance(time.Minute); len(actions) > 0 || h.endpoint(to).health.state != healthy {
		t.Errorf("while the body arrives: %+v, %+v", actions, h.endpoint(to).health)
	}
	actions := h.Handle(h.clock, BodyReceived{Request: "upload", Deadline: h.clock + time.Second})
	if len(actions) != 1 || actions[0].Kind != SetTimer || actions[0].Delay != time.Second {
		t.Errorf("after the body: %+v", actions)
	}
	if h.advance(10 * time.Second); h.endpoint(to).health.state == healthy {
		t.Error("an endpoint that gives no answer to the whole request is not ejected")
	}
	if actions := h.Handle(h.clock, BodyReceived{Request: "unknown"}); len(actions) > 0 {
		t.Errorf("for an unknown request: %+v", actions)
	}
}

// A connection breaks and the request may have been executed. A retry in another cell would execute it
// again, as only its own cell drops the repeat. A Reject would make the client do the same.
func TestRetryStaysWithinDedupScope(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	for range 30 {
		id, to := h.sendRequest(keyedClass)
		next := h.endAttempt(id, to, 0, Reset, NoLoadReport)
		if len(next) != 1 || next[0].Kind == Send && h.endpoint(next[0].Endpoint).Cell != h.endpoint(to).Cell {
			t.Fatalf("after a reset at %s: %+v", to, next)
		}
		if next[0].Kind == Reject {
			t.Fatal("a request with a key that may have been executed is rejected")
		}
	}
}

// The endpoint of a request's first attempt moves to another cell, by a change of the list, before the
// retry. The retry must stay in the cell where the first attempt was sent: that is the one that drops the
// repeat.
func TestRetryStaysInCellOfFirstSend(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	id, to := h.sendRequest(keyedClass)
	cell := h.endpoint(to).Cell
	h.list(Endpoint{ID: to, Weight: 1, Cell: 1 - cell})
	for _, a := range h.endAttempt(id, to, 0, Reset, NoLoadReport) {
		if a.Kind == Send && (a.Endpoint == to || h.endpoint(a.Endpoint).Cell != cell) {
			t.Errorf("first sent to %s in cell %d, then to %s in cell %d",
				to, cell, a.Endpoint, h.endpoint(a.Endpoint).Cell)
		}
	}
}

// A connection breaks shortly before the end of the idempotency window. A retry is executed again when it
// arrives after the window, so none may be sent in its last moments, which are as long as a timer may be
// late.
func TestRetryStaysWithinIdempotencyWindow(t *testing.T) {
	set := testSettings()
	window := set.Classes[keyedClass].IdempotencyWindow
	for _, c := range []struct {
		after time.Duration
		want  ActionKind
	}{{window - 2*set.TimerResolution, Send}, {window - set.TimerResolution, Fail}, {window, Fail}} {
		h := newHarness(t, set, 1, 1) // one cell
		id, to := h.sendRequest(keyedClass)
		h.clock += c.after
		if next := h.endAttempt(id, to, 0, Reset, NoLoadReport); len(next) != 1 || next[0].Kind != c.want {
			t.Errorf("%v after the first send, in a window of %v: %+v", c.after, window, next)
		}
	}
}

// With no endpoint listed a request gets its final answer at once.
func TestRequestWithoutEndpointIsRejected(t *testing.T) {
	h := newHarness(t, testSettings())
	actions := h.Handle(h.clock, Request{ID: "x", Deadline: h.clock + time.Second})
	if last := actions[len(actions)-1]; last.Kind != Reject {
		t.Errorf("with no endpoint: %+v", actions)
	}
}

// An outcome, the client's disconnect and the deadline of a request come together, in any order. Nothing
// may be sent then, and there may be one final answer at most.
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
						t.Errorf("result %d, order %v: sent at the deadline", result, order)
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
