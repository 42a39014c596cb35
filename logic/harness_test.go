package logic

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The classes of testSettings, by index.
const (
	cheapClass         = iota // idempotent, low priority
	nonIdempotentClass        // high priority
	keyedClass                // idempotent with a key, deduplicated within a cell
)

func testSettings() Settings {
	const objective, timeout = 600 * time.Millisecond, 2 * time.Second
	return Settings{
		Balancers:                2,
		TimerResolution:          5 * time.Millisecond,
		MaxAttempts:              3,
		SlowStartInitialFraction: 0.3,
		SlowStartWindow:          10 * time.Second,
		Classes: []Class{
			{Name: "cheap", Idempotency: Idempotent,
				LatencyObjective: objective, Timeout: timeout, PriorityWeight: 1},
			{Name: "nonIdempotent", Idempotency: NonIdempotent,
				LatencyObjective: objective, Timeout: timeout, PriorityWeight: 10},
			{Name: "keyed", Idempotency: IdempotentWithKey, DedupScope: DedupCell, IdempotencyWindow: time.Second,
				LatencyObjective: objective, Timeout: timeout, PriorityWeight: 3},
		},
	}
}

// healthCheckSettings returns settings that allow one health check per ten requests, and four per second
// and endpoint.
func healthCheckSettings() Settings {
	settings := testSettings()
	settings.HealthChecksPerRequest, settings.EndpointHealthCheckRate = 0.1, 4
	return settings
}

// largeFleetSettings returns the settings of one of 300 balancers.
func largeFleetSettings(index int) Settings {
	settings := testSettings()
	settings.Balancers, settings.BalancerIndex = 300, index
	settings.SlowStartOverloadFactor, settings.SlowStartInitialFraction = 2.5, 0.2
	settings.HealthChecksPerRequest, settings.EndpointHealthCheckRate = 0.5, 4
	return settings
}

// harness drives one Balancer with a manual clock.
type harness struct {
	*Balancer
	clock time.Duration
	sent  int // requests so far
}

// newHarness returns a started Balancer with endpoints "s0", "s1" and so on that have the given weights,
// two endpoints per cell.
func newHarness(t *testing.T, settings Settings, weights ...float64) *harness {
	t.Helper()
	b, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{Balancer: b, clock: time.Hour}
	h.Start(h.clock)
	list := EndpointList{Full: true}
	for i, weight := range weights {
		list.Endpoints = append(list.Endpoints, Endpoint{ID: fmt.Sprint("s", i), Weight: weight, Cell: i / 2})
	}
	h.Handle(h.clock, list)
	return h
}

// newLargeFleetHarness returns one of 300 balancers, with 200 endpoints. The endpoints with an index of
// firstWarming or higher have just started.
func newLargeFleetHarness(t *testing.T, index, firstWarming int) *harness {
	t.Helper()
	h := newHarness(t, largeFleetSettings(index))
	h.random = rand.New(rand.NewPCG(uint64(index), 1)) // otherwise all balancers draw the same numbers
	list := EndpointList{Full: true}
	for i := range 200 {
		entry := Endpoint{ID: fmt.Sprint("s", i)}
		if i >= firstWarming {
			entry.StartedAt = h.clock
		}
		list.Endpoints = append(list.Endpoints, entry)
	}
	h.Handle(h.clock, list)
	return h
}

// endpoint returns the state of a listed endpoint.
func (h *harness) endpoint(id string) *endpoint { return h.endpoints.byID[id] }

// list delivers a change of the endpoint list.
func (h *harness) list(entries ...Endpoint) []Action {
	return h.Handle(h.clock, EndpointList{Endpoints: entries})
}

// sendRequest delivers a request and returns its ID and the endpoint to which it is sent, or "" if it is
// not sent.
func (h *harness) sendRequest(class int) (id, to string) {
	h.sent++
	id = fmt.Sprint("r", h.sent)
	for _, a := range h.Handle(h.clock, Request{ID: id, Class: class, Deadline: h.clock + 2*time.Second}) {
		if a.Kind == Send {
			to = a.Endpoint
		}
	}
	return id, to
}

// endAttempt ends an attempt of a request and returns the resulting actions.
func (h *harness) endAttempt(id, endpoint string, attempt int, result Result, report LoadReport) []Action {
	return h.Handle(h.clock, Outcome{Request: id, Attempt: attempt, Endpoint: endpoint, Result: result,
		Latency: 50 * time.Millisecond, Closed: result == OK, LoadReport: report})
}

// respond ends the first attempt of a request with a response of the given latency, which closes the
// request.
func (h *harness) respond(id, endpoint string, latency time.Duration, report LoadReport) {
	h.Handle(h.clock, Outcome{Request: id, Endpoint: endpoint, Latency: latency, Closed: true, LoadReport: report})
}

// serveRequests delivers n cheap requests, each of which gets its response before the next one arrives, and
// returns the number of requests sent to the given endpoint.
func (h *harness) serveRequests(n int, endpoint string) (count int) {
	for range n {
		id, to := h.sendRequest(cheapClass)
		if to == endpoint {
			count++
		}
		h.endAttempt(id, to, 0, OK, NoLoadReport)
	}
	return count
}

// advance moves the clock tick by tick and returns the actions other than timers.
func (h *harness) advance(d time.Duration) (actions []Action) {
	for end := h.clock + d; h.clock < end; {
		h.clock += h.horizon / ticksPerHorizon
		actions = append(actions, slices.Clone(h.Handle(h.clock, TimerFired{tickToken}))...)
	}
	return slices.DeleteFunc(actions, func(a Action) bool { return a.Kind == SetTimer })
}

// advanceTick moves the clock by one tick.
func (h *harness) advanceTick() []Action { return h.advance(h.horizon / ticksPerHorizon) }

// setSheddingLevel sets the latency ratio of responses such that the given fraction of requests of mean
// priority is shed.
func (h *harness) setSheddingLevel(level float64) {
	h.overload.latencyRatio, h.overload.rejections.fraction = sheddingLatencyRatio+level/sheddingSlope, 0
}

// loseHealthChecks lets every health check among the actions time out.
func (h *harness) loseHealthChecks(actions []Action) {
	for id := range healthChecksIn(actions) {
		h.Handle(h.clock, HealthChecked{Endpoint: id, Result: TimedOut, LoadReport: NoLoadReport})
	}
}

// healthChecksIn returns the number of health checks among the actions, by endpoint.
func healthChecksIn(actions []Action) map[string]int {
	counts := map[string]int{}
	for _, a := range actions {
		if a.Kind == HealthCheck {
			counts[a.Endpoint]++
		}
	}
	return counts
}

func loadReport(utilization, requestRate float64) LoadReport {
	return LoadReport{Utilization: utilization, RequestRate: requestRate}
}
