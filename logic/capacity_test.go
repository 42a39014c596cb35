package logic

import (
	"math"
	"strconv"
	"testing"
	"time"
)

// endpointID is the ID of an endpoint of newHarness.
func endpointID(i int) string { return "s" + strconv.Itoa(i) }

// The figures of load reports are noisy. The capacity must follow their mean; an endpoint without a report
// counts as the mean of the others.
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

// An idle endpoint reports next to no requests at next to no utilization. The quotient called it small, so
// it got no requests and stayed idle. Such reports must not lower its capacity.
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
		t.Errorf("the idle endpoint has the weight %v, the busy one %v", idle.weight, busy.weight)
	}
}

// An attempt in another zone costs more. An endpoint of the own zone is preferred while it is idle, and no
// longer.
func TestOwnZoneIsPreferredWhileIdle(t *testing.T) {
	set := testSettings()
	set.CrossZoneCost = 0.1
	h := newHarness(t, set, 1, 1)
	h.list(Endpoint{ID: "s1", Zone: 1})
	own, other := h.endpoint("s0"), h.endpoint("s1")
	h.updateWeights()
	if own.weight < 2*other.weight {
		t.Errorf("an idle endpoint of the own zone has the weight %v, the other %v", own.weight, other.weight)
	}
	own.estimate.reports.utilization = 1
	h.updateWeights()
	if own.weight != other.weight {
		t.Errorf("a full endpoint of the own zone has the weight %v, the other %v", own.weight, other.weight)
	}
}

// One costly request made an endpoint look slow. It then got nothing to show better with, and stood idle
// for good. Its estimate must fade to the mean of the others.
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
		t.Fatalf("after reports of 2 requests a second the capacity is %v", slow.capacity)
	}
	end := h.clock + 3*reportDecayHorizons*h.horizon
	for h.clock < end { // the others go on to report
		for _, id := range []string{"s1", "s2"} {
			h.learnFromReport(h.endpoint(id), loadReport(0.5, 50))
		}
		h.advance(h.horizon)
	}
	if h.updateWeights(); slow.capacity < 80 {
		t.Errorf("long after its last report the capacity is %v, want near 100 as the others", slow.capacity)
	}
}

// Where no endpoint reports its load, latencies tell of it: one that answers in half the time counts twice,
// as far as there are answers enough to say so. One answer says little, and none leaves an endpoint at the
// mean of the others.
func TestCapacityFollowsLatencyWithoutReports(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	latencies := []time.Duration{40 * time.Millisecond, 80 * time.Millisecond}
	for i := range 400 {
		jitter := time.Duration(i%5-2) * time.Millisecond
		h.learnFromResponse(h.endpoint(endpointID(i%2)), latencies[i%2]+jitter)
	}
	h.learnFromResponse(h.endpoint("s2"), time.Second)
	h.updateWeights()
	for i, want := range []float64{25, 12.5, 15.2, 18.7} { // s2: a fifth of 1 and four fifths of the mean
		if got := h.endpoint(endpointID(i)).weight; math.Abs(got-want) > 0.1*want {
			t.Errorf("endpoint %d has the weight %v, want about %v", i, got, want)
		}
	}
	known, unknown := &h.endpoint("s0").estimate, &h.endpoint("s3").estimate
	if got := known.uncertainty(h.now); got > 0.1 {
		t.Errorf("uncertainty %v after many answers", got)
	}
	if got := unknown.uncertainty(h.now); got != 1 {
		t.Errorf("uncertainty %v without an answer, want 1", got)
	}
	h.advance(60 * h.horizon)
	if got := known.uncertainty(h.now); got < 0.9 {
		t.Errorf("uncertainty %v long after the last answer", got)
	}
}

// noisyReport is the load report of an endpoint of a capacity, in requests a second: at a random
// utilization, with errors of counting and of measuring.
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

// The Kalman filter states an error. With noisy reports nearly all capacities must lie within two standard
// errors, also after a change, and the stated error must grow with age.
func TestCheckedCapacityStaysWithinStatedError(t *testing.T) {
	h := newHarness(t, healthCheckSettings(), 1)
	within, samples := 0, 0
	for range 400 {
		e := &endpoint{}
		checked := &e.estimate.healthChecks
		logCapacity := math.Log(40)
		for i := range 24 {
			if i == 12 {
				logCapacity -= 1 // it has become 2.7 times slower
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
			t.Fatalf("the variance is %v, and %v a minute later", before, after)
		}
	}
	if fraction := float64(within) / float64(samples); fraction < 0.9 {
		t.Errorf("%.2f of the capacities lie within two standard errors", fraction)
	}
}

// A report without figures, or of an idle endpoint, says nothing of its capacity.
func TestEmptyReportsGiveNoCapacity(t *testing.T) {
	h := newHarness(t, healthCheckSettings(), 1)
	e := &endpoint{}
	for _, report := range []LoadReport{NoLoadReport, loadReport(0, 10), loadReport(0.5, 0)} {
		if h.learnFromHealthCheck(e, report); e.estimate.healthChecks.at != 0 {
			t.Errorf("%+v gives a capacity of %v", report, e.estimate.healthChecks.logCapacity)
		}
	}
}
