package experiment

import (
	"math/rand/v2"
	"slices"
)

// Interval is a mean with a bootstrap confidence interval (percentile method; Efron and Tibshirani, An Introduction to the
// Bootstrap, chapter 13).
type Interval struct {
	Mean float64 `json:"mean"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
	N    int     `json:"n"`
}

const (
	confidence = 0.95
	resamples  = 4000
	// With fewer pairs than this, resampling can't tell a difference from chance: the interval is too short.
	leastPairs = 3
)

// bootstrap is the mean of samples and its interval. Equal samples give equal intervals.
func bootstrap(samples []float64) Interval {
	n := len(samples)
	out := Interval{N: n, Mean: mean(samples)}
	if n < 2 {
		out.Low, out.High = out.Mean, out.Mean // no interval: the verdict says too few
		return out
	}
	rng := rand.New(rand.NewPCG(uint64(n), 0x626f6f74))
	means := make([]float64, resamples)
	for i := range means {
		sum := 0.0
		for range n {
			sum += samples[rng.IntN(n)]
		}
		means[i] = sum / float64(n)
	}
	slices.Sort(means)
	tail := (1 - confidence) / 2
	out.Low, out.High = means[int(tail*resamples)], means[int((1-tail)*resamples)-1]
	return out
}

func mean(xs []float64) float64 {
	sum := 0.0
	for _, x := range xs {
		sum += x
	}
	return sum / float64(len(xs))
}

// Difference compares two arms on the same days and seeds.
type Difference struct {
	Day      string `json:"day"`
	Variant  string `json:"arm"`
	Baseline string `json:"than"`
	Figure   string `json:"figure"`
	Interval
	Verdict string `json:"verdict"` // higher, lower, noise, or too few
}

// verdict says what an interval of differences shows.
func verdict(i Interval) string {
	switch {
	case i.N < leastPairs:
		return "too few"
	case i.Low > 0:
		return "higher"
	case i.High < 0:
		return "lower"
	}
	return "noise"
}

// compared are the figures that arms are compared by.
var compared = []struct {
	name string
	of   func(Outcome) float64
}{
	{"service", func(o Outcome) float64 { return o.Overall }},
	{"worst_window", func(o Outcome) float64 { return o.WorstWindow }},
	{"goal", func(o Outcome) float64 { return o.Goal }},
	{"p50_ms", func(o Outcome) float64 { return o.Latency["all"].P50 }},
	{"p99_ms", func(o Outcome) float64 { return o.Latency["all"].P99 }},
	{"attempts_per_request", func(o Outcome) float64 { return o.Attempts }},
	{"waste", func(o Outcome) float64 { return o.Waste }},
	{"probes_per_request", Outcome.probesEach},
	{"refused_with_room", Outcome.falselyRefused},
	{"priced", func(o Outcome) float64 { return o.Priced }},
	{"refused", Outcome.refused},
	{"nodes_used", Outcome.nodesUsed},
	{"cold_peak", func(o Outcome) float64 { return o.SlowStartPeak }},
	{"chokes", func(o Outcome) float64 { return float64(o.Chokes) }},
	{"unheard", func(o Outcome) float64 { return float64(o.Account.Unnotified) }},
	{"completed", func(o Outcome) float64 { return float64(o.Account.Completed) }},
	{"surge_goodput", func(o Outcome) float64 { return o.surged().Goodput }},
}

// surged is the day's surge; nothing of a day without one.
func (o Outcome) surged() Surge {
	if o.Surge == nil {
		return Surge{}
	}
	return *o.Surge
}

// refused is the share of requests that were refused.
func (o Outcome) refused() float64 {
	return float64(o.Account.Rejected) / max(1, float64(o.Account.Requests))
}

// nodesUsed is the share of the nodes that something came to, in the worst ten seconds on end.
func (o Outcome) nodesUsed() float64 {
	least := 1.0
	for i := 10; i <= len(o.Used); i++ {
		least = min(least, mean(o.Used[i-10:i]))
	}
	return least
}

func (o Outcome) probesEach() float64 {
	return float64(o.HealthChecks) / max(1, float64(o.Account.Requests))
}

// falselyRefused is the share of all requests that were refused unsent while a node that their agent knew had a core free; 0
// where the truth is not known.
func (o Outcome) falselyRefused() float64 {
	if o.Truths == nil {
		return 0
	}
	return float64(o.Truths.RejectedWithCapacity) / max(1, float64(o.Account.Requests))
}

// intoJam is the share of attempts that came to a node which had to turn them away or held work for longer than their aim.
func (o Outcome) intoJam() float64 {
	if o.Truths == nil {
		return 0
	}
	return float64(o.Truths.SentIntoOverload) / max(1, float64(o.Truths.Sent))
}

// differences compares every arm with the first, day by day, in pairs of one seed.
func differences(outcomes []Outcome, days, arms []string) (out []Difference) {
	for _, day := range days {
		for _, arm := range arms[1:] {
			out = append(out, paired(bySeed(outcomes, day, arms[0]), bySeed(outcomes, day, arm), Difference{Day: day, Variant: arm, Baseline: arms[0]})...)
		}
	}
	return out
}

// differencesFrom compares each arm with itself in the outcomes of another play of the same days and seeds, as by an earlier
// program.
func differencesFrom(before, outcomes []Outcome, days, arms []string) (out []Difference) {
	for _, day := range days {
		for _, arm := range arms {
			out = append(out, paired(bySeed(before, day, arm), bySeed(outcomes, day, arm), Difference{Day: day, Variant: arm, Baseline: arm + " before"})...)
		}
	}
	return out
}

// paired compares two arms of a day by all figures, seed by seed.
func paired(base, other map[uint64]Outcome, d Difference) (out []Difference) {
	for _, f := range compared {
		var diffs []float64
		for seed, a := range base {
			if b, ok := other[seed]; ok {
				diffs = append(diffs, f.of(b)-f.of(a))
			}
		}
		if len(diffs) == 0 {
			continue
		}
		slices.Sort(diffs) // the order of a map must not change the interval
		d.Figure, d.Interval = f.name, bootstrap(diffs)
		d.Verdict = verdict(d.Interval)
		out = append(out, d)
	}
	return out
}

func bySeed(outcomes []Outcome, day, arm string) map[uint64]Outcome {
	out := map[uint64]Outcome{}
	for _, o := range outcomes {
		if o.Day == day && o.Variant == arm && !o.Interrupted {
			out[o.Seed] = o
		}
	}
	return out
}

// Row is an arm on a day, over its repeats.
type Row struct {
	Day                  string   `json:"day"`
	Variant              string   `json:"arm"`
	Runs                 int      `json:"runs"`
	Held                 bool     `json:"rules_held"`
	Service              Interval `json:"service"`
	Worst                float64  `json:"worst_window"`
	Goal                 float64  `json:"goal"`
	P50                  float64  `json:"p50_ms"`
	P99                  float64  `json:"p99_ms"`
	Attempts             float64  `json:"attempts_per_request"`
	Waste                float64  `json:"waste"`
	CPU                  float64  `json:"agent_cpu_us_per_request"`
	HealthChecks         float64  `json:"probes_per_request"`
	HealthCheckWork      float64  `json:"probe_work"`        // as a share of what the nodes could do
	Lists                float64  `json:"list_calls"`        // of all agents
	RejectedWithCapacity float64  `json:"refused_with_room"` // requests refused unsent while a node had a core free, of all
	SentIntoOverload     float64  `json:"sent_into_jam"`     // of the attempts that came to a node
	Rejected             float64  `json:"refused"`           // requests refused, of all
	RejectedNearCapacity float64  `json:"refused_near"`      // of all, unsent while a node that the agent uses had a core free
	Used                 float64  `json:"nodes_used"`        // share of the nodes in use, in the worst ten seconds
	SlowStartPeak        float64  `json:"cold_peak"`         // the highest of all runs
	Priced               float64  `json:"priced"`            // the goal less the day's prices
	Chokes               float64  `json:"chokes"`            // nodes that choked
	Goodput              Interval `json:"surge_goodput"`     // see Surge; 0 without one
	RecoverySeconds      float64  `json:"surge_back_s"`      // the latest of all runs; below 0 where one never came back
	Completed            float64  `json:"completed"`
	TopPriorityServed    float64  `json:"worthiest_served"` // of the worthiest class's requests
	PassedOver           float64  `json:"passed_over"`      // see Outcome
	Unnotified           float64  `json:"unheard"`          // sent to ending nodes by agents that were not told; see referee.Account
}

// rows sums up each arm on each day.
func rows(outcomes []Outcome, days, arms []string) (out []Row) {
	for _, day := range days {
		for _, arm := range arms {
			r := Row{Day: day, Variant: arm, Held: true}
			var service, goodput []float64
			for _, o := range outcomes {
				if o.Day != day || o.Variant != arm || o.Interrupted {
					continue
				}
				r.Runs++
				r.Held = r.Held && o.Account.RulesHold()
				service = append(service, o.Overall)
				r.Worst, r.Goal = r.Worst+o.WorstWindow, r.Goal+o.Goal
				r.P50, r.P99 = r.P50+o.Latency["all"].P50, r.P99+o.Latency["all"].P99
				r.Attempts, r.Waste, r.CPU = r.Attempts+o.Attempts, r.Waste+o.Waste, r.CPU+o.CPU
				r.HealthChecks, r.HealthCheckWork, r.Lists = r.HealthChecks+o.probesEach(), r.HealthCheckWork+o.HealthCheckWork, r.Lists+float64(o.ListCalls)
				r.RejectedWithCapacity, r.SentIntoOverload = r.RejectedWithCapacity+o.falselyRefused(), r.SentIntoOverload+o.intoJam()
				r.Rejected, r.Used, r.Priced, r.SlowStartPeak = r.Rejected+o.refused(), r.Used+o.nodesUsed(), r.Priced+o.Priced, max(r.SlowStartPeak, o.SlowStartPeak)
				r.Chokes, r.Completed = r.Chokes+float64(o.Chokes), r.Completed+float64(o.Account.Completed)
				r.Unnotified += float64(o.Account.Unnotified)
				r.TopPriorityServed, r.PassedOver = r.TopPriorityServed+o.TopPriorityServed, r.PassedOver+o.PassedOver
				if s := o.surged(); r.RecoverySeconds >= 0 && s.Back >= 0 {
					r.RecoverySeconds = max(r.RecoverySeconds, s.Back)
				} else {
					r.RecoverySeconds = -1
				}
				goodput = append(goodput, o.surged().Goodput)
				if o.Truths != nil {
					r.RejectedNearCapacity += float64(o.Truths.RejectedNearCapacity) / max(1, float64(o.Account.Requests))
				}
			}
			if r.Runs == 0 {
				continue
			}
			r.Service, r.Goodput = bootstrap(service), bootstrap(goodput)
			n := float64(r.Runs)
			for _, x := range []*float64{&r.Worst, &r.Goal, &r.P50, &r.P99, &r.Attempts, &r.Waste, &r.CPU, &r.HealthChecks, &r.HealthCheckWork, &r.Lists, &r.RejectedWithCapacity, &r.SentIntoOverload, &r.Rejected, &r.RejectedNearCapacity, &r.Used, &r.Priced, &r.Chokes, &r.Completed, &r.Unnotified, &r.TopPriorityServed, &r.PassedOver} {
				*x /= n
			}
			out = append(out, r)
		}
	}
	return out
}
