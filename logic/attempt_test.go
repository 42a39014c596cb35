package logic

import (
	"testing"
	"time"
)

// A request that still comes in owes nothing to its client and is owed nothing by its server: it makes that server no
// silent one, gets no copy and no deadline, until its end has come.
func TestRequestWithPendingBodyAwaitsNoAnswer(t *testing.T) {
	set := testSettings()
	set.HedgingAllowed = true
	h := newHarness(t, set, 1, 1)
	var to string
	for _, a := range h.Handle(h.clock, Request{ID: "up", Class: 0, BodyPending: true}) {
		switch a.Kind {
		case Send:
			to = a.Endpoint
		default:
			t.Errorf("%+v", a)
		}
	}
	for _, s := range h.endpoints.listed {
		if h.maySend(h.requests["up"], s) {
			t.Errorf("may go to %s beside %s", s.ID, to)
		}
	}
	if actions := h.advance(time.Minute); len(actions) > 0 || h.endpoint(to).health.state != healthy {
		t.Errorf("%+v, ejected: %v", actions, h.endpoint(to).health.state != healthy)
	}
	actions := h.Handle(h.clock, BodyReceived{Request: "up", Deadline: h.clock + time.Second})
	if len(actions) != 1 || actions[0].Kind != SetTimer || actions[0].Delay != time.Second {
		t.Errorf("%+v", actions)
	}
	if h.advance(10 * time.Second); h.endpoint(to).health.state == healthy {
		t.Error("owing an answer for long, it is not ejected")
	}
	if actions := h.Handle(h.clock, BodyReceived{Request: "nobody"}); len(actions) > 0 {
		t.Errorf("%+v", actions)
	}
}

func TestRetryStaysWithinDedupScope(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	for range 30 {
		id, to := h.sendRequest(keyedClass)
		next := h.endAttempt(id, to, 0, Reset, NoLoadReport)
		if len(next) != 1 || next[0].Kind == Send && h.endpoint(next[0].Endpoint).Cell != h.endpoint(to).Cell {
			t.Fatalf("after a reset at %s: %+v", to, next)
		}
		if next[0].Kind == Reject {
			t.Fatal("a keyed request that may have run was refused")
		}
	}
}

func TestRequestWithoutEndpointIsRejected(t *testing.T) {
	h := newHarness(t, testSettings())
	a := h.Handle(h.clock, Request{ID: "x", Deadline: h.clock + 1e9})
	if last := a[len(a)-1]; last.Kind != Reject {
		t.Errorf("with no server: %+v", a)
	}
}

// Guards against a keyed request that leaves the cell of its first attempt because a list has moved that
// attempt's server to another cell since.
func TestRetryStaysInCellOfFirstSend(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	id, to := h.sendRequest(keyedClass)
	cell := h.endpoint(to).Cell
	h.list(Endpoint{ID: to, Weight: 1, Cell: 1 - cell})
	for _, a := range h.endAttempt(id, to, 0, Reset, NoLoadReport) {
		if a.Kind == Send && (a.Endpoint == to || h.endpoint(a.Endpoint).Cell != cell) {
			t.Errorf("first sent to %s in cell %d, then to %s in cell %d", to, cell, a.Endpoint, h.endpoint(a.Endpoint).Cell)
		}
	}
}

// Guards against a Send or a second answer when a request's outcome, its client's leaving and its timer come
// together, in any order.
func TestRequestEndsOnceWhenEventsCoincide(t *testing.T) {
	for _, result := range []Result{Reset, Rejected, TimedOut, OK} {
		for _, order := range [][3]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
			h := newHarness(t, testSettings(), 1, 1, 1)
			id, to := h.sendRequest(nonIdempotentClass)
			h.clock += 2 * time.Second // the deadline
			answers := 0
			for _, k := range order {
				e := []Event{Outcome{Request: id, Endpoint: to, Result: result, Closed: result == OK, LoadReport: NoLoadReport},
					ClientDisconnected{id}, TimerFired{deadlineToken + h.deadlines.timersSet}}[k]
				for _, a := range h.Handle(h.clock, e) {
					switch a.Kind {
					case Send:
						t.Errorf("result %d, order %v: sent at the deadline", result, order)
					case Reject, Fail:
						answers++
					}
				}
			}
			if answers > 1 || len(h.requests) != 0 {
				t.Errorf("result %d, order %v: %d answers, %d requests kept", result, order, answers, len(h.requests))
			}
		}
	}
}
