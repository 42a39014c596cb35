package logic

import (
	"fmt"
	"testing"
	"time"
)

// An event may arrive late, refer to a request or endpoint that no longer exists, or be a caller's mistake.
// It must have no effect.
func TestUnknownEventsHaveNoEffect(t *testing.T) {
	h := newHarness(t, testSettings(), 1)
	for _, e := range []Event{
		Outcome{Request: "unknown"},
		Outcome{Request: "unknown", Attempt: -1},
		ClientDisconnected{"unknown"},
		ResponseStarted{Request: "unknown"},
		HealthChecked{Endpoint: "unknown"},
		TimerFired{99},
		Request{ID: "x", Class: 9},
	} {
		if actions := h.Handle(h.clock, e); len(actions) != 0 {
			t.Errorf("%#v resulted in actions: %+v", e, actions)
		}
	}
}

// A balancer is idle if no request is open or in flight and no poll is scheduled. While it is idle, the
// owner may deliver timers late. If it were idle with a poll scheduled, the poll could be late and leave
// the balancer without an endpoint list.
func TestIdleWithoutRequestsAndPolls(t *testing.T) {
	settings := testSettings()
	settings.SubscriptionRequired = true
	h := newHarness(t, settings, 1)
	if !h.Idle() {
		t.Error("not idle, but there are no requests")
	}
	id, to := h.sendRequest(cheapClass)
	h.Handle(h.clock, ClientDisconnected{id})
	if h.Idle() {
		t.Error("idle while an attempt is in flight")
	}
	if h.endAttempt(id, to, 0, Cancelled, NoLoadReport); !h.Idle() {
		t.Error("not idle after the outcome of the last attempt")
	}
	if h.Handle(h.clock, DiscoveryUnavailable{}); h.Idle() {
		t.Error("idle while a poll is scheduled")
	}
	if h.Handle(h.clock, TimerFired{pollToken}); !h.Idle() {
		t.Error("not idle after the poll")
	}
}

// BenchmarkHandle measures one request and its response with a load report.
func BenchmarkHandle(b *testing.B) {
	for _, size := range []int{20, 200} {
		b.Run(fmt.Sprintf("endpoints=%d", size), func(b *testing.B) {
			balancer, err := New(testSettings(), 1)
			if err != nil {
				b.Fatal(err)
			}
			now := time.Hour
			balancer.Start(now)
			list := EndpointList{Full: true}
			for i := range size {
				list.Endpoints = append(list.Endpoints, Endpoint{ID: fmt.Sprint("s", i)})
			}
			balancer.Handle(now, list)
			b.ReportAllocs()
			for b.Loop() {
				now += time.Millisecond
				to := ""
				for _, a := range balancer.Handle(now, Request{ID: "r", Deadline: now + time.Second}) {
					if a.Kind == Send {
						to = a.Endpoint
					}
				}
				balancer.Handle(now, Outcome{Request: "r", Endpoint: to, Result: OK, Latency: time.Millisecond,
					Closed: true, LoadReport: LoadReport{Utilization: 0.5, RequestRate: 50}})
			}
		})
	}
}
