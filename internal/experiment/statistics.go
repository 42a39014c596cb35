package experiment

import (
	"math/rand/v2"
	"slices"
)

// Interval is a mean of N samples with a bootstrap confidence interval (percentile method; Efron and Tibshirani, An Introduction to the
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
	// With fewer pairs than this the interval is too narrow, and resampling can't tell a difference from chance.
	minPairs = 3
)

// bootstrap returns the mean of samples and its confidence interval. Equal samples give equal intervals.
func bootstrap(samples []float64) Interval {
	n := len(samples)
	out := Interval{N: n, Mean: mean(samples)}
	if n < 2 {
		out.Low, out.High = out.Mean, out.Mean // no interval; the verdict will be "too few"
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

// mean returns the arithmetic mean, or NaN if xs is empty.
func mean(xs []float64) float64 {
	sum := 0.0
	for _, x := range xs {
		sum += x
	}
	return sum / float64(len(xs))
}

// Difference is the interval of one figure of a variant minus that of the baseline, in the same scenario with the same seeds.
type Difference struct {
	Scenario string `json:"day"`
	Variant  string `json:"arm"`
	Baseline string `json:"than"`
	Figure   string `json:"figure"`
	Interval
	Verdict string `json:"verdict"` // higher, lower, noise, or too few
}

// verdict returns the verdict on an interval of differences; see Difference.Verdict.
func verdict(i Interval) string {
	switch {
	case i.N < minPairs:
		return "too few"
	case i.Low > 0:
		return "higher"
	case i.High < 0:
		return "lower"
	}
	return "noise"
}

// comparedFigures are the figures by which variants are compared, with their names in figures.json.
var comparedFigures = []struct {
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
	{"probes_per_request", Outcome.healthChecksPerRequest},
	{"refused_with_room", Outcome.rejectedWithCapacityFraction},
	{"priced", func(o Outcome) float64 { return o.Priced }},
	{"refused", Outcome.rejectedFraction},
	{"nodes_used", Outcome.minNodesUsed},
	{"cold_peak", func(o Outcome) float64 { return o.SlowStartPeak }},
	{"chokes", func(o Outcome) float64 { return float64(o.Degradations) }},
	{"unheard", func(o Outcome) float64 { return float64(o.Account.Unnotified) }},
	{"completed", func(o Outcome) float64 { return float64(o.Account.Completed) }},
	{"surge_goodput", func(o Outcome) float64 { return o.surgeOrZero().Goodput }},
}

// surgeOrZero returns the figures of the surge, or the zero value for a scenario without one.
func (o Outcome) surgeOrZero() Surge {
	if o.Surge == nil {
		return Surge{}
	}
	return *o.Surge
}

// rejectedFraction returns the fraction of the requests that were rejected.
func (o Outcome) rejectedFraction() float64 {
	return float64(o.Account.Rejected) / max(1, float64(o.Account.Requests))
}

// minNodesUsed returns the mean fraction of nodes that got a request, in the worst ten consecutive seconds.
func (o Outcome) minNodesUsed() float64 {
	least := 1.0
	for i := 10; i <= len(o.NodesUsed); i++ {
		least = min(least, mean(o.NodesUsed[i-10:i]))
	}
	return least
}

// healthChecksPerRequest returns the number of health checks divided by the number of requests.
func (o Outcome) healthChecksPerRequest() float64 {
	return float64(o.HealthChecks) / max(1, float64(o.Account.Requests))
}

// rejectedWithCapacityFraction returns the fraction of the requests that were rejected without an attempt while a ready node had a free core.
// It is 0 for runs on sockets, where this is not known.
func (o Outcome) rejectedWithCapacityFraction() float64 {
	if o.GroundTruth == nil {
		return 0
	}
	return float64(o.GroundTruth.RejectedWithCapacity) / max(1, float64(o.Account.Requests))
}

// sentIntoOverloadFraction returns the fraction of the attempts that arrived at a full node or at one whose backlog exceeded their latency
// objective. It is 0 for runs on sockets, where this is not known.
func (o Outcome) sentIntoOverloadFraction() float64 {
	if o.GroundTruth == nil {
		return 0
	}
	return float64(o.GroundTruth.SentIntoOverload) / max(1, float64(o.GroundTruth.Sent))
}

// differences compares each variant with the first, by scenario, in pairs of outcomes with the same seed.
func differences(outcomes []Outcome, scenarios, variants []string) (out []Difference) {
	for _, scenario := range scenarios {
		for _, variant := range variants[1:] {
			out = append(out, pairedDifferences(bySeed(outcomes, scenario, variants[0]), bySeed(outcomes, scenario, variant), Difference{Scenario: scenario, Variant: variant, Baseline: variants[0]})...)
		}
	}
	return out
}

// differencesFromBaseline compares each variant with itself in the outcomes of an earlier run of the same scenarios and seeds.
func differencesFromBaseline(baseline, outcomes []Outcome, scenarios, variants []string) (out []Difference) {
	for _, scenario := range scenarios {
		for _, variant := range variants {
			out = append(out, pairedDifferences(bySeed(baseline, scenario, variant), bySeed(outcomes, scenario, variant), Difference{Scenario: scenario, Variant: variant, Baseline: variant + " before"})...)
		}
	}
	return out
}

// pairedDifferences compares two variants of a scenario by all figures, in pairs of outcomes with the same seed. difference has the other
// fields of the results.
func pairedDifferences(base, variant map[uint64]Outcome, difference Difference) (out []Difference) {
	for _, figure := range comparedFigures {
		var diffs []float64
		for seed, before := range base {
			if after, ok := variant[seed]; ok {
				diffs = append(diffs, figure.of(after)-figure.of(before))
			}
		}
		if len(diffs) == 0 {
			continue
		}
		slices.Sort(diffs) // make the interval independent of the iteration order of the map
		difference.Figure, difference.Interval = figure.name, bootstrap(diffs)
		difference.Verdict = verdict(difference.Interval)
		out = append(out, difference)
	}
	return out
}

// bySeed returns the outcomes of a variant in a scenario by seed, without the interrupted ones.
func bySeed(outcomes []Outcome, scenario, variant string) map[uint64]Outcome {
	out := map[uint64]Outcome{}
	for _, outcome := range outcomes {
		if outcome.Scenario == scenario && outcome.Variant == variant && !outcome.Interrupted {
			out[outcome.Seed] = outcome
		}
	}
	return out
}

// Row summarizes the repeats of a variant in a scenario. Figures that are no Interval are means, unless their comment says otherwise.
type Row struct {
	Scenario             string   `json:"day"`
	Variant              string   `json:"arm"`
	Runs                 int      `json:"runs"`
	RulesHeld            bool     `json:"rules_held"`
	Service              Interval `json:"service"`
	WorstWindow          float64  `json:"worst_window"`
	Goal                 float64  `json:"goal"`
	P50                  float64  `json:"p50_ms"`
	P99                  float64  `json:"p99_ms"`
	Attempts             float64  `json:"attempts_per_request"`
	Waste                float64  `json:"waste"`
	CPU                  float64  `json:"agent_cpu_us_per_request"`
	HealthChecks         float64  `json:"probes_per_request"`
	HealthCheckWork      float64  `json:"probe_work"`        // work of health checks, as a fraction of the nodes' capacity
	ListCalls            float64  `json:"list_calls"`        // calls of discovery by all agents
	RejectedWithCapacity float64  `json:"refused_with_room"` // fraction of the requests rejected without an attempt while a ready node had a free core
	SentIntoOverload     float64  `json:"sent_into_jam"`     // fraction of the attempts at nodes that arrived at an overloaded one; see Outcome.sentIntoOverloadFraction
	Rejected             float64  `json:"refused"`           // fraction of the requests that were rejected
	RejectedNearCapacity float64  `json:"refused_near"`      // fraction rejected without an attempt while a node in the agent's subset had a free core
	NodesUsed            float64  `json:"nodes_used"`        // see Outcome.minNodesUsed
	SlowStartPeak        float64  `json:"cold_peak"`         // the highest of all runs
	Priced               float64  `json:"priced"`            // see Outcome
	Degradations         float64  `json:"chokes"`            // how often a node became degraded by overload
	Goodput              Interval `json:"surge_goodput"`     // see Surge; 0 without a surge
	RecoverySeconds      float64  `json:"surge_back_s"`      // see Surge: the longest of all runs, or -1 if one never recovered
	Completed            float64  `json:"completed"`
	TopPriorityServed    float64  `json:"worthiest_served"` // see Outcome
	PassedOver           float64  `json:"passed_over"`      // see Outcome
	Unnotified           float64  `json:"unheard"`          // requests sent to draining nodes by agents that had not been notified; see referee.Account
}

// rows summarizes each variant in each scenario.
func rows(outcomes []Outcome, scenarios, variants []string) (out []Row) {
	for _, scenario := range scenarios {
		for _, variant := range variants {
			row := Row{Scenario: scenario, Variant: variant, RulesHeld: true}
			var service, goodput []float64
			for _, outcome := range outcomes {
				if outcome.Scenario != scenario || outcome.Variant != variant || outcome.Interrupted {
					continue
				}
				row.Runs++
				row.RulesHeld = row.RulesHeld && outcome.Account.RulesHold()
				service = append(service, outcome.Overall)
				row.WorstWindow, row.Goal = row.WorstWindow+outcome.WorstWindow, row.Goal+outcome.Goal
				row.P50, row.P99 = row.P50+outcome.Latency["all"].P50, row.P99+outcome.Latency["all"].P99
				row.Attempts, row.Waste, row.CPU = row.Attempts+outcome.Attempts, row.Waste+outcome.Waste, row.CPU+outcome.CPU
				row.HealthChecks, row.HealthCheckWork, row.ListCalls = row.HealthChecks+outcome.healthChecksPerRequest(), row.HealthCheckWork+outcome.HealthCheckWork, row.ListCalls+float64(outcome.ListCalls)
				row.RejectedWithCapacity, row.SentIntoOverload = row.RejectedWithCapacity+outcome.rejectedWithCapacityFraction(), row.SentIntoOverload+outcome.sentIntoOverloadFraction()
				row.Rejected, row.NodesUsed, row.Priced, row.SlowStartPeak = row.Rejected+outcome.rejectedFraction(), row.NodesUsed+outcome.minNodesUsed(), row.Priced+outcome.Priced, max(row.SlowStartPeak, outcome.SlowStartPeak)
				row.Degradations, row.Completed = row.Degradations+float64(outcome.Degradations), row.Completed+float64(outcome.Account.Completed)
				row.Unnotified += float64(outcome.Account.Unnotified)
				row.TopPriorityServed, row.PassedOver = row.TopPriorityServed+outcome.TopPriorityServed, row.PassedOver+outcome.PassedOver
				if surge := outcome.surgeOrZero(); row.RecoverySeconds >= 0 && surge.RecoverySeconds >= 0 {
					row.RecoverySeconds = max(row.RecoverySeconds, surge.RecoverySeconds)
				} else {
					row.RecoverySeconds = -1
				}
				goodput = append(goodput, outcome.surgeOrZero().Goodput)
				if outcome.GroundTruth != nil {
					row.RejectedNearCapacity += float64(outcome.GroundTruth.RejectedNearCapacity) / max(1, float64(outcome.Account.Requests))
				}
			}
			if row.Runs == 0 {
				continue
			}
			row.Service, row.Goodput = bootstrap(service), bootstrap(goodput)
			runs := float64(row.Runs)
			for _, sum := range []*float64{&row.WorstWindow, &row.Goal, &row.P50, &row.P99, &row.Attempts, &row.Waste, &row.CPU, &row.HealthChecks, &row.HealthCheckWork, &row.ListCalls, &row.RejectedWithCapacity, &row.SentIntoOverload, &row.Rejected, &row.RejectedNearCapacity, &row.NodesUsed, &row.Priced, &row.Degradations, &row.Completed, &row.Unnotified, &row.TopPriorityServed, &row.PassedOver} {
				*sum /= runs
			}
			out = append(out, row)
		}
	}
	return out
}
