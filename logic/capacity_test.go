package logic

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestCapacityFollowsNoisyReports(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1)
	for i := range 400 {
		h.clock += 50 * time.Millisecond
		noise := 1 + 0.2*math.Sin(float64(i)*1.7)
		for s, c := range []float64{100, 40} {
			h.now = h.clock
			h.learnFromReport(h.endpoint(fmt.Sprint("s", s)), loadReport(0.5*noise, 0.5*c*(2-noise)))
		}
	}
	h.updateWeights()
	for s, want := range []float64{100, 40, 70} { // the last has no estimate: the mean of the others
		if got := h.endpoint(fmt.Sprint("s", s)).weight; math.Abs(got-want) > 0.15*want {
			t.Errorf("server %d: capacity %v, want about %v", s, got, want)
		}
	}
}

// Guards against the idle trap: rate over floored use called an idle server small, and so it stayed idle.
func TestIdleEndpointIsNotTakenForSmall(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1)
	for range 50 {
		h.clock += 50 * time.Millisecond
		h.now = h.clock
		h.learnFromReport(h.endpoint("s0"), loadReport(0.5, 50))
		h.learnFromReport(h.endpoint("s1"), loadReport(0.01, 0.2))
	}
	h.updateWeights()
	if h.endpoint("s1").weight < h.endpoint("s0").weight {
		t.Errorf("idle server weighs %v, a busy one %v", h.endpoint("s1").weight, h.endpoint("s0").weight)
	}
}

// An own-zone server is preferred while it has room, and no longer.
func TestOwnZoneIsPreferredWhileIdle(t *testing.T) {
	set := testSettings()
	set.CrossZoneCost = 0.1
	h := newHarness(t, set, 1, 1)
	h.list(Endpoint{ID: "s1", Zone: 1})
	h.updateWeights()
	if h.endpoint("s0").weight < 2*h.endpoint("s1").weight {
		t.Error("an idle server of the own zone is not preferred")
	}
	h.endpoint("s0").estimate.reports.utilization = 1
	h.updateWeights()
	if h.endpoint("s0").weight != h.endpoint("s1").weight {
		t.Error("a full server of the own zone is preferred")
	}
}

// Guards against a server that one costly request made look slow and that then stood idle for good, since it
// got nothing to show better with (almaty rough-1: two of 15 servers for 30 s).
func TestOldEstimateFadesToMean(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1)
	for range 30 {
		id, to := h.sendRequest(cheapClass)
		r := loadReport(0.5, 50)
		if to == "s0" {
			r = loadReport(0.5, 1)
		}
		h.endAttempt(id, to, 0, OK, r)
	}
	slow := h.endpoint("s0")
	if h.updateWeights(); slow.capacity > 10 {
		t.Fatalf("after reports of 2 a second at most the capacity is %v", slow.capacity)
	}
	late := h.clock + 3*reportFadeHorizons*h.horizon
	for h.clock < late { // the others go on
		for _, s := range []string{"s1", "s2"} {
			h.learnFromReport(h.endpoint(s), loadReport(0.5, 50))
		}
		h.advance(h.horizon)
	}
	if h.updateWeights(); slow.capacity < 80 {
		t.Errorf("long after its last report its capacity counts as %v, want near 100 as the others", slow.capacity)
	}
}

// Where no server reports, own answers tell: the one that answers in half the time counts twice, as far as there are
// answers enough to say so; one answer alone says little, and none leaves a server at the mean of the others.
func TestCapacityFollowsLatencyWithoutReports(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	took := []time.Duration{40 * time.Millisecond, 80 * time.Millisecond}
	for i := range 400 {
		h.learnFromAnswer(h.endpoint(fmt.Sprint("s", i%2)), took[i%2]+time.Duration(i%5-2)*time.Millisecond)
	}
	h.learnFromAnswer(h.endpoint("s2"), time.Second)
	h.updateWeights()
	for i, want := range []float64{25, 12.5, 15.2, 18.7} { // s2: a fifth of 1 and four fifths of the mean
		if got := h.endpoint(fmt.Sprint("s", i)).weight; math.Abs(got-want) > 0.1*want {
			t.Errorf("server %d weighs %v, want about %v", i, got, want)
		}
	}
	if known, none := h.endpoint("s0").estimate.uncertainty(h.now), h.endpoint("s3").estimate.uncertainty(h.now); known > 0.1 || none != 1 {
		t.Errorf("doubt of %v in one that is known well and of %v in one that is not known", known, none)
	}
	h.advance(60 * h.horizon)
	if got := h.endpoint("s0").estimate.uncertainty(h.now); got < 0.9 {
		t.Errorf("doubt of %v long after the last answer", got)
	}
}

// The filter's stated error holds: of many servers with noisy reports nearly all capacities lie within two standard errors,
// also after a change, and what is stated grows with age.
func TestCheckedCapacityStaysWithinStatedError(t *testing.T) {
	h := newHarness(t, healthCheckSettings(), 1)
	inside, n := 0, 0
	for k := range 400 {
		s := &endpoint{Endpoint: Endpoint{ID: fmt.Sprint("x", k)}}
		truth := math.Log(40)
		for i := range 24 {
			if i == 12 {
				truth -= 1 // it has become 2.7 times slower
			}
			h.clock += time.Second
			h.now = h.clock
			util := 0.4 + 0.6*h.random.Float64()
			counted := math.Round(util * math.Exp(truth) * reportCountingSeconds * (1 + h.random.NormFloat64()/math.Sqrt(util*math.Exp(truth)*reportCountingSeconds)))
			noise := func() float64 { return 1 + 0.05*h.random.NormFloat64() }
			h.learnFromHealthCheck(s, LoadReport{RequestRate: max(0, counted/reportCountingSeconds*noise()), Utilization: min(1, util*noise())})
			if i > 4 && i < 12 || i > 18 {
				n++
				if math.Abs(s.estimate.checked.logCapacity-truth) < 2*math.Sqrt(s.estimate.checked.varianceAt(h.now)) {
					inside++
				}
			}
		}
		before := s.estimate.checked.varianceAt(h.now)
		h.now += time.Minute
		if s.estimate.checked.varianceAt(h.now) < 4*before {
			t.Fatalf("the variance is %v, and %v a minute later", before, s.estimate.checked.varianceAt(h.now))
		}
	}
	if part := float64(inside) / float64(n); part < 0.9 {
		t.Errorf("%.2f of the capacities lie within two standard errors", part)
	}
	s := &endpoint{}
	for _, bad := range []LoadReport{NoLoadReport, {Utilization: 0, RequestRate: 10}, {Utilization: 0.5, RequestRate: 0}} {
		if h.learnFromHealthCheck(s, bad); s.estimate.checked.at != 0 {
			t.Errorf("%+v makes a capacity of %v", bad, s.estimate.checked.logCapacity)
		}
	}
}
