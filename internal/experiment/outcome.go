package experiment

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ryeweir/internal/emulator"
	"ryeweir/internal/emulator/backend"
	"ryeweir/internal/emulator/callers"
	"ryeweir/internal/emulator/node"
	"ryeweir/internal/emulator/referee"
)

// Percentiles of a latency, in milliseconds from the intended send to the answer's last byte.
type Percentiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p99_9_ms"`
	Max   float64 `json:"max_ms"`
}

// Histogram bounds: 10 µs to 10 minutes with three figures.
const (
	minLatencyUS = 10
	maxLatencyUS = int64(10 * time.Minute / time.Microsecond)
	figures      = 3
)

// percentiles sums up latencies in a histogram of high dynamic range.
func percentiles(latencies []time.Duration) Percentiles {
	h := hdrhistogram.New(minLatencyUS, maxLatencyUS, figures)
	for _, l := range latencies {
		h.RecordValue(min(maxLatencyUS, max(minLatencyUS, l.Microseconds())))
	}
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e3 }
	return Percentiles{Count: h.TotalCount(), Mean: h.Mean() / 1e3, P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: float64(h.Max()) / 1e3}
}

// Outcome is the result of one run: a day with a variant.
type Outcome struct {
	Scenario   string              `json:"day"`
	Variant    string              `json:"arm"`
	Seed       uint64              `json:"seed"`
	Simulated  bool                `json:"simulated"`
	Seconds    float64             `json:"seconds"`
	Calls      int                 `json:"calls"` // callers' requests, with all attempts of a client counted as one
	Account    referee.Account     `json:"account"`
	Violations []referee.Violation `json:"breaches,omitempty"`
	referee.Service
	Goal              float64                    `json:"goal"`
	Latency           map[string]Percentiles     `json:"latency"`              // a class each, and "all"
	Attempts          float64                    `json:"attempts_per_request"` // that reached nodes
	Waste             float64                    `json:"waste"`                // work for answers that nobody got, as a fraction of all work done
	HealthChecks      int                        `json:"probes"`
	Handshakes        int                        `json:"handshakes"`
	ListCalls         int                        `json:"list_calls"`
	Degradations      int                        `json:"chokes"`
	GroundTruth       *GroundTruth               `json:"truths,omitempty"`                   // of a simulation
	SlowStartPeak     float64                    `json:"cold_peak"`                          // highest load of a node in slow start, as a fraction of what overloads it
	NodesUsed         []float64                  `json:"nodes_used,omitempty"`               // of a simulation: share of the nodes, a second each
	NodesBusy         []float64                  `json:"nodes_busy,omitempty"`               // of a simulation: work done of what could be, a second each
	Priced            float64                    `json:"priced"`                             // the goal less the day's prices
	HealthCheckWork   float64                    `json:"probe_work"`                         // as a share of what the nodes could do
	CPU               float64                    `json:"agent_cpu_us_per_request,omitempty"` // of all agents' processes
	Skipped           int                        `json:"skipped"`                            // calls that were not sent, as too many were open
	Lag               float64                    `json:"lag_ms"`                             // longest delay of a call behind its planned time
	ProcessorWait     float64                    `json:"starved_ms"`                         // mean wait of the rig's threads for a processor; on sockets
	Admission         *AdmissionSummary          `json:"levels,omitempty"`                   // of agents with the fleet's budgets
	Misbehaving       callers.MisbehavingFigures `json:"rude"`                               // clients that sent no requests
	Interrupted       bool                       `json:"interrupted,omitempty"`
	Peers             *PeerSummary               `json:"views,omitempty"`  // of agents that gossip
	TopPriorityServed float64                    `json:"worthiest_served"` // fraction of the top-priority class that was answered
	PassedOver        float64                    `json:"passed_over"`      // fraction of the top-priority class that was not answered while lower classes were
	UnaffectedService float64                    `json:"spared"`           // service of the requests at agents without a fault of their own; 1 where there are none
	Surge             *Surge                     `json:"surge,omitempty"`  // of a day whose traffic shifts upwards at all agents
	Series            Series                     `json:"series"`
	Events            []emulator.Event           `json:"marks"`
}

// Series are figures over time, one a second. NaN and absent values are null in JSON.
type Series struct {
	Service []*float64  `json:"service"`
	P50     []*float64  `json:"p50_ms"`
	P99     []*float64  `json:"p99_ms"`
	Load    [][]float64 `json:"load"`              // requests held at each node
	Goodput []float64   `json:"goodput,omitempty"` // work for answers that somebody got, as a fraction of the warm nodes' capacity
	Nodes   []string    `json:"nodes"`
}

// runRecord is what a run has recorded, from which its outcome is computed.
type runRecord struct {
	day        *emulator.Scenario
	calls      []referee.CallResult
	figures    callers.Figures
	account    referee.Account
	violations []referee.Violation
	nodes      []node.Figures
	lists      int
	load       [][]float64
	goodput    []float64
	marks      []emulator.Event
}

// settleTime is how much of the beginning is left out of the service.
const settleTime = time.Second

// outcome computes the outcome of a run.
func (t runRecord) outcome(variant string, simulated bool) Outcome {
	slices.SortFunc(t.calls, func(a, b referee.CallResult) int { return int(a.At - b.At) })
	outcome := Outcome{Scenario: t.day.Spec.Name, Variant: variant, Seed: t.day.Seed, Simulated: simulated, Seconds: t.day.Length.Seconds(), Calls: len(t.calls),
		Account: t.account, Violations: t.violations, Service: referee.MeasureService(t.calls, settleTime, len(t.day.Classes), len(t.day.Tenants)),
		Latency: map[string]Percentiles{"all": percentiles(referee.Latencies(t.calls, -1))}, ListCalls: t.lists, Events: t.marks,
		Skipped: t.figures.Skipped, Lag: float64(t.figures.Lag.Microseconds()) / 1e3}
	outcome.Goal = outcome.Service.Goal()
	for i, c := range t.day.Classes {
		outcome.Latency[c.Name] = percentiles(referee.Latencies(t.calls, i))
	}
	if t.account.Requests > 0 {
		outcome.Attempts = float64(t.account.Attempts) / float64(t.account.Requests)
	}
	var nodeTotals node.Figures
	for _, f := range t.nodes {
		nodeTotals = nodeTotals.Add(f)
	}
	if nodeTotals.Work > 0 {
		outcome.Waste = float64(nodeTotals.Wasted) / float64(nodeTotals.Work)
	}
	outcome.HealthChecks, outcome.Handshakes, outcome.Degradations = nodeTotals.HealthChecks, nodeTotals.Handshakes, nodeTotals.Degradations
	outcome.SlowStartPeak = nodeTotals.SlowStartPeak
	prices, perCall := t.day.Spec.Fleet.Prices, 1/max(1, float64(len(t.calls)))
	outcome.Priced = outcome.Goal - prices.HealthCheck*float64(outcome.HealthChecks)*perCall - prices.Handshake*float64(outcome.Handshakes)*perCall - prices.List*float64(outcome.ListCalls)*perCall - prices.Waste*outcome.Waste
	outcome.HealthCheckWork = float64(nodeTotals.HealthChecks) * t.day.Nodes[0].HealthCheckWork.Seconds() / (t.day.Capacity * t.day.Length.Seconds())
	outcome.Series = summarizeSeries(t.calls)
	outcome.Series.Load, outcome.Series.Goodput = t.load, t.goodput
	outcome.Surge = summarizeSurge(t.day, outcome)
	outcome.TopPriorityServed, outcome.PassedOver = passedOver(t.day, t.calls)
	affected := t.day.AffectedAgents()
	spared := slices.DeleteFunc(slices.Clone(t.calls), func(c referee.CallResult) bool { return affected[c.Agent] })
	outcome.UnaffectedService = referee.MeasureService(spared, settleTime, 0, 0).Overall
	for _, n := range t.day.Nodes {
		outcome.Series.Nodes = append(outcome.Series.Nodes, n.ID)
	}
	return outcome
}

// summarizeSeries are the calls' figures by the second in which they were to be sent.
func summarizeSeries(calls []referee.CallResult) (s Series) {
	for _, x := range referee.BySecond(calls) {
		if math.IsNaN(x) {
			s.Service = append(s.Service, nil)
		} else {
			s.Service = append(s.Service, &x)
		}
	}
	by := make([][]time.Duration, len(s.Service))
	for _, c := range calls {
		if c.Answered {
			by[int(c.At/time.Second)] = append(by[int(c.At/time.Second)], c.Latency)
		}
	}
	for _, l := range by {
		if len(l) == 0 {
			s.P50, s.P99 = append(s.P50, nil), append(s.P99, nil)
			continue
		}
		p := percentiles(l)
		s.P50, s.P99 = append(s.P50, &p.P50), append(s.P99, &p.P99)
	}
	return s
}

// nodeFigures are the figures of all nodes, with those of their earlier incarnations.
func nodeFigures(states []backend.State) (out []node.Figures) {
	for _, s := range states {
		out = append(out, s.Figures)
	}
	return out
}
