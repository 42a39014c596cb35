package logic

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func probeSettings() Settings {
	set := testSettings()
	set.HealthChecksPerRequest, set.EndpointHealthCheckRate = 0.1, 4
	return set
}

// probesIn counts the probes among actions, a server each.
func probesIn(actions []Action) map[string]int {
	out := map[string]int{}
	for _, a := range actions {
		if a.Kind == HealthCheck {
			out[a.Endpoint]++
		}
	}
	return out
}

// lose lets every probe among actions be lost.
func (h *bench) lose(actions []Action) {
	for id := range probesIn(actions) {
		h.Handle(h.at, HealthChecked{Endpoint: id, Result: TimedOut, LoadReport: NoLoadReport})
	}
}

// Guards against a quiet balancer that suddenly gets busy and leans on a dead server, which owes it too few answers to tell:
// it is asked, and is out as soon as that is lost, too.
func TestSilentServerIsAsked(t *testing.T) {
	set := probeSettings()
	set.EndpointHealthCheckRate = 100
	h := newBench(t, set, 1, 1, 1)
	h.probes = probesSaved
	dead := h.byID["s0"]
	for range 40 {
		if id, to := h.ask(1); to != "s0" {
			h.end(id, to, 0, OK, NoLoadReport)
		}
		h.lose(h.tick(h.horizon / ticks))
		if dead.until > 0 {
			break
		}
	}
	if dead.until == 0 || h.missed(dead) >= missedMost {
		t.Fatalf("out until %v with %.1f answers owed", dead.until, h.missed(dead))
	}
	for range 50 {
		if id, to := h.ask(1); to == "s0" {
			t.Fatal("the dead server gets more")
		} else {
			h.end(id, to, 0, OK, NoLoadReport)
		}
	}
	// When it is due again it is asked first, and a lost probe keeps it out without the cost of a request.
	for range 6 {
		h.lose(h.tick(h.horizon))
		if id, to := h.ask(0); to == "s0" {
			t.Fatal("a request was risked on a server that answers no probe")
		} else {
			h.end(id, to, 0, OK, NoLoadReport)
		}
	}
}

// Guards against taking a probe's word for a request's: a server that answers probes and fails requests is avoided all the
// same, and one that loses probes and serves requests stays in.
func TestProbesAndRequestsFailApart(t *testing.T) {
	h := newBench(t, probeSettings(), 1, 1, 1)
	failed := 0
	for i := range 60 {
		id, to := h.ask(1)
		if to == "s0" {
			failed++
		}
		h.end(id, to, 0, map[bool]Result{true: Failed, false: OK}[to == "s0"], NoLoadReport)
		h.byID["s0"].probing, h.byID["s1"].probing = true, true
		h.Handle(h.at, HealthChecked{Endpoint: "s0", Result: OK, LoadReport: report(0.2, 20)})
		h.Handle(h.at, HealthChecked{Endpoint: "s1", Result: TimedOut, LoadReport: NoLoadReport})
		if i%4 == 0 {
			h.tick(h.horizon / ticks)
		}
	}
	if failed == 0 || failed > 6 || h.byID["s1"].until != 0 {
		t.Errorf("the one that fails got %d of 60 requests, the one that loses probes is out until %v", failed, h.byID["s1"].until)
	}
}

// Guards against a new server that all balancers probe at once: together they stay near what a server is asked at most.
func TestNewServerIsNotMobbed(t *testing.T) {
	const fleet, seconds = 400, 5
	set := probeSettings()
	set.Balancers = fleet
	probes := 0
	for me := range fleet {
		set.BalancerIndex = me
		b, err := New(set, uint64(me)+1)
		if err != nil {
			t.Fatal(err)
		}
		h := &bench{Balancer: b, t: t, at: time.Hour}
		h.Start(h.at)
		h.Handle(h.at, EndpointList{Full: true, Endpoints: []Endpoint{{ID: "new", Weight: 1}}})
		for range seconds * 4 {
			id, to := h.ask(1)
			h.end(id, to, 0, OK, NoLoadReport)
			for s := range probesIn(h.tick(250 * time.Millisecond)) {
				probes++
				h.Handle(h.at, HealthChecked{Endpoint: s, Result: OK, LoadReport: report(0.5, 50)})
			}
		}
	}
	most := set.EndpointHealthCheckRate * seconds * (1 + askSpread)
	if float64(probes) > 1.3*most || probes == 0 {
		t.Errorf("%d probes in %d s, at most %.0f are meant", probes, seconds, most)
	}
}

// Probes cost at most their share of the requests, and an idle balancer sends none.
func TestProbeBudget(t *testing.T) {
	h := newBench(t, probeSettings(), 1, 1, 1, 1)
	probes := 0
	const requests = 400
	for range requests {
		id, to := h.ask(1)
		h.end(id, to, 0, OK, NoLoadReport)
		for s, n := range probesIn(h.tick(h.horizon)) {
			probes += n
			h.Handle(h.at, HealthChecked{Endpoint: s, Result: OK, LoadReport: NoLoadReport})
		}
	}
	if most := probesFirst + h.set.HealthChecksPerRequest*requests; probes == 0 || float64(probes) > most {
		t.Errorf("%d probes, at most %.0f are allowed", probes, most)
	}
	h.tick(20 * h.horizon)
	if late := probesIn(h.tick(100 * h.horizon)); len(late) > 0 {
		t.Errorf("idle, it sends %v", late)
	}
	h.set.HealthChecksPerRequest = 0
	h.probes = 5
	h.ask(1)
	if got := probesIn(h.tick(h.horizon)); len(got) > 0 {
		t.Errorf("probes %v where none are allowed", got)
	}
}

// The filter's stated error holds: of many servers with noisy reports nearly all capacities lie within two standard errors,
// also after a change, and what is stated grows with age.
func TestReportedCapacity(t *testing.T) {
	h := newBench(t, probeSettings(), 1)
	inside, n := 0, 0
	for k := range 400 {
		s := &server{Endpoint: Endpoint{ID: fmt.Sprint("x", k)}}
		truth := math.Log(40)
		for i := range 24 {
			if i == 12 {
				truth -= 1 // it has become 2.7 times slower
			}
			h.at += time.Second
			h.now = h.at
			util := 0.4 + 0.6*h.rng.Float64()
			counted := math.Round(util * math.Exp(truth) * reportCount * (1 + h.rng.NormFloat64()/math.Sqrt(util*math.Exp(truth)*reportCount)))
			noise := func() float64 { return 1 + 0.05*h.rng.NormFloat64() }
			h.reported(s, LoadReport{RequestRate: max(0, counted/reportCount*noise()), Utilization: min(1, util*noise())})
			if i > 4 && i < 12 || i > 18 {
				n++
				if math.Abs(s.polled-truth) < 2*math.Sqrt(h.polledVar(s)) {
					inside++
				}
			}
		}
		before := h.polledVar(s)
		h.now += time.Minute
		if h.polledVar(s) < 4*before {
			t.Fatalf("the variance is %v, and %v a minute later", before, h.polledVar(s))
		}
	}
	if part := float64(inside) / float64(n); part < 0.9 {
		t.Errorf("%.2f of the capacities lie within two standard errors", part)
	}
	s := &server{}
	for _, bad := range []LoadReport{NoLoadReport, {Utilization: 0, RequestRate: 10}, {Utilization: 0.5, RequestRate: 0}} {
		if h.reported(s, bad); s.polledAt != 0 {
			t.Errorf("%+v makes a capacity of %v", bad, s.polled)
		}
	}
}
