package logic

import (
	"fmt"
	"testing"
	"time"
)

// An event may come late, for a request or endpoint that is gone, or be of a caller in error. It must have
// no effect.
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
			t.Errorf("%#v: %+v", e, actions)
		}
	}
}

// A balancer is idle when no request is open or in flight and no poll is scheduled. The owner may then
// deliver timers late; a poll that is late would leave it without a list.
func TestIdleWithoutRequestsAndPolls(t *testing.T) {
	set := testSettings()
	set.SubscriptionRequired = true
	h := newHarness(t, set, 1)
	if !h.Idle() {
		t.Error("not idle without requests")
	}
	id, to := h.sendRequest(cheapClass)
	h.Handle(h.clock, ClientDisconnected{id})
	if h.Idle() {
		t.Error("idle with an attempt in flight")
	}
	if h.endAttempt(id, to, 0, Cancelled, NoLoadReport); !h.Idle() {
		t.Error("not idle after its outcome")
	}
	if h.Handle(h.clock, DiscoveryUnavailable{}); h.Idle() {
		t.Error("idle with a poll scheduled")
	}
	if h.Handle(h.clock, TimerFired{pollToken}); !h.Idle() {
		t.Error("not idle after the poll")
	}
}

// BenchmarkHandle measures a request and its answer with a load report.
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
