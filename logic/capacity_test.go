package logic

import (
	"math"
	"strconv"
	"testing"
	"time"
)

// endpointID returns the ID of an endpoint of newHarness.
func endpointID(i int) string { return "s" + strconv.Itoa(i) }

// Load reports are noisy. The estimated capacity must follow their mean, and an endpoint without a report
// must get the mean of the others.
func TestCapacityFollowsNoisyReports(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1)
	for i := range 400 {
		h.clock += 50 * time.Millisecond
		h.now = h.clock
		noise := 1 + 0.2*math.Sin(float64(i)*1.7)
		for k, capacity := range []float64{100, 40} {
			h.learnFromReport(h.endpoint(endpointID(k)), loadReport(0.5*noise, 0.5*capacity*(2-noise)))
		}
	}
	h.updateWeights()
	for k, want := range []float64{100, 40, 70} {
		if got := h.endpoint(endpointID(k)).weight; math.Abs(got-want) > 0.15*want {
			t.Errorf("endpoint %d: capacity %v, want about %v", k, got, want)
		}
	}
}

// An idle endpoint reports almost no requests at almost no utilization. The quotient of the two made it
// look small, so it got no requests and stayed idle. Such reports must not lower its capacity.
func TestIdleReportsDoNotLowerCapacity(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1)
	busy, idle := h.endpoint("s0"), h.endpoint("s1")
	for range 50 {
		h.clock += 50 * time.Millisecond
		h.now = h.clock
		h.learnFromReport(busy, loadReport(0.5, 50))
		h.learnFromReport(idle, loadReport(0.01, 0.2))
	}
	h.updateWeights()
	if idle.weight < busy.weight {
		t.Errorf("weight %v of the idle endpoint is below %v of the busy one", idle.weight, busy.weight)
	}
}

// An attempt in another zone has an extra cost. An endpoint in the balancer's own zone must be preferred
// only while it is idle.
func TestOwnZoneIsPreferredWhileIdle(t *testing.T) {
	settings := testSettings()
	settings.CrossZoneCost = 0.1
	h := newHarness(t, settings, 1, 1)
	h.list(Endpoint{ID: "s1", Zone: 1})
	own, other := h.endpoint("s0"), h.endpoint("s1")
	h.updateWeights()
	if own.weight < 2*other.weight {
		t.Errorf("weight %v of an idle endpoint in the own zone, %v in another zone; want at least twice as much", own.weight, other.weight)
	}
	own.estimate.reports.utilization = 1
	h.updateWeights()
	if own.weight != other.weight {
		t.Errorf("weight %v of a fully utilized endpoint in the own zone, %v in another zone; want equal weights", own.weight, other.weight)
	}
}

// One costly request made an endpoint look slow. It then got no requests that could correct the estimate,
// and stayed idle permanently. The estimate must decay to the mean of the other endpoints.
func TestOldEstimateFadesToMean(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1)
	for range 30 {
		id, to := h.sendRequest(cheapClass)
		report := loadReport(0.5, 50)
		if to == "s0" {
			report = loadReport(0.5, 1)
		}
		h.endAttempt(id, to, 0, OK, report)
	}
	slow := h.endpoint("s0")
	if h.updateWeights(); slow.capacity > 10 {
		t.Fatalf("capacity %v after reports of 2 requests per second, want at most 10", slow.capacity)
	}
	end := h.clock + 3*reportDecayHorizons*h.horizon
	for h.clock < end { // the others continue to report
		for _, id := range []string{"s1", "s2"} {
			h.learnFromReport(h.endpoint(id), loadReport(0.5, 50))
		}
		h.advance(h.horizon)
	}
	if h.updateWeights(); slow.capacity < 80 {
		t.Errorf("capacity %v long after the last report, want near 100 like the others", slow.capacity)
	}
}

// If no endpoint reports its load, capacities are estimated from latencies: with enough responses, an
// endpoint that responds in half the time has twice the capacity. After one response the estimate must
// still be near the mean of the others, and without a response equal to it.
func TestCapacityFollowsLatencyWithoutReports(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	latencies := []time.Duration{40 * time.Millisecond, 80 * time.Millisecond}
	for i := range 400 {
		jitter := time.Duration(i%5-2) * time.Millisecond
		h.learnFromResponse(h.endpoint(endpointID(i%2)), latencies[i%2]+jitter)
	}
	h.learnFromResponse(h.endpoint("s2"), time.Second)
	h.updateWeights()
	for i, want := range []float64{25, 12.5, 15.2, 18.7} { // s2: a fifth of 1 plus four fifths of the mean
		if got := h.endpoint(endpointID(i)).weight; math.Abs(got-want) > 0.1*want {
			t.Errorf("endpoint %d has the weight %v, want about %v", i, got, want)
		}
	}
	known, unknown := &h.endpoint("s0").estimate, &h.endpoint("s3").estimate
	if got := known.uncertainty(h.now); got > 0.1 {
		t.Errorf("uncertainty %v after many responses", got)
	}
	if got := unknown.uncertainty(h.now); got != 1 {
		t.Errorf("uncertainty %v without a response, want 1", got)
	}
	h.advance(60 * h.horizon)
	if got := known.uncertainty(h.now); got < 0.9 {
		t.Errorf("uncertainty %v long after the last response", got)
	}
}

// noisyReport returns the load report of an endpoint with the given capacity in requests per second. The
// utilization is random, and the figures have counting and measurement errors.
func (h *harness) noisyReport(capacity float64) LoadReport {
	utilization := 0.4 + 0.6*h.random.Float64()
	mean := utilization * capacity * reportWindowSeconds
	counted := math.Round(mean * (1 + h.random.NormFloat64()/math.Sqrt(mean)))
	measuringError := func() float64 { return 1 + 0.05*h.random.NormFloat64() }
	return LoadReport{
		RequestRate: max(0, counted/reportWindowSeconds*measuringError()),
		Utilization: min(1, utilization*measuringError()),
	}
}

// The Kalman filter states the variance of its estimate. With noisy reports nearly all capacities must lie
// within two standard errors, even after a change, and the variance must grow with age.
func TestCheckedCapacityStaysWithinStatedError(t *testing.T) {
	h := newHarness(t, healthCheckSettings(), 1)
	within, samples := 0, 0
	for range 400 {
		e := &endpoint{}
		checked := &e.estimate.healthChecks
		logCapacity := math.Log(40)
		for i := range 24 {
			if i == 12 {
				logCapacity -= 1 // the endpoint has become 2.7 times slower
			}
			h.clock += time.Second
			h.now = h.clock
			h.learnFromHealthCheck(e, h.noisyReport(math.Exp(logCapacity)))
			if settled := i > 4 && i < 12 || i > 18; !settled {
				continue
			}
			samples++
			if math.Abs(checked.logCapacity-logCapacity) < 2*math.Sqrt(checked.varianceAt(h.now)) {
				within++
			}
		}
		before := checked.varianceAt(h.now)
		h.now += time.Minute
		if after := checked.varianceAt(h.now); after < 4*before {
			t.Fatalf("variance %v, and %v a minute later, want at least four times as much", before, after)
		}
	}
	if fraction := float64(within) / float64(samples); fraction < 0.9 {
		t.Errorf("a fraction of %.2f of the capacities is within two standard errors, want at least 0.9", fraction)
	}
}

// A report without figures, or of an idle endpoint, must not produce a capacity estimate.
func TestEmptyReportsGiveNoCapacity(t *testing.T) {
	h := newHarness(t, healthCheckSettings(), 1)
	e := &endpoint{}
	for _, report := range []LoadReport{NoLoadReport, loadReport(0, 10), loadReport(0.5, 0)} {
		if h.learnFromHealthCheck(e, report); e.estimate.healthChecks.at != 0 {
			t.Errorf("report %+v produced a log capacity of %v", report, e.estimate.healthChecks.logCapacity)
		}
	}
}
