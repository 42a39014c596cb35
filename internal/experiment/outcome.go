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

// Percentiles summarize latencies in milliseconds, measured from the planned time of the request to the last byte of the response.
type Percentiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p99_9_ms"`
	Max   float64 `json:"max_ms"`
}

// The histogram of latencies ranges from 10 µs to 10 minutes with three significant figures.
const (
	minLatencyUS       = 10
	maxLatencyUS       = int64(10 * time.Minute / time.Microsecond)
	significantFigures = 3
)

// percentiles summarizes latencies with a high dynamic range histogram.
func percentiles(latencies []time.Duration) Percentiles {
	h := hdrhistogram.New(minLatencyUS, maxLatencyUS, significantFigures)
	for _, l := range latencies {
		h.RecordValue(min(maxLatencyUS, max(minLatencyUS, l.Microseconds())))
	}
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e3 }
	return Percentiles{Count: h.TotalCount(), Mean: h.Mean() / 1e3, P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: float64(h.Max()) / 1e3}
}

// Outcome is the result of one run: a scenario with a variant.
type Outcome struct {
	Scenario   string              `json:"day"`
	Variant    string              `json:"arm"`
	Seed       uint64              `json:"seed"`
	Simulated  bool                `json:"simulated"`
	Seconds    float64             `json:"seconds"`
	Calls      int                 `json:"calls"` // requests of callers; all attempts of a caller for one request count once
	Account    referee.Account     `json:"account"`
	Violations []referee.Violation `json:"breaches,omitempty"`
	referee.Service
	Goal              float64                    `json:"goal"`                 // result of the method Service.Goal; a field, so that the JSON has it
	Latency           map[string]Percentiles     `json:"latency"`              // by class, and of all classes under "all"
	Attempts          float64                    `json:"attempts_per_request"` // attempts that reached nodes
	Waste             float64                    `json:"waste"`                // work for responses that nobody received, as a fraction of all work done
	HealthChecks      int                        `json:"probes"`               // health checks that nodes received
	Handshakes        int                        `json:"handshakes"`
	ListCalls         int                        `json:"list_calls"`                         // calls of discovery
	Degradations      int                        `json:"chokes"`                             // how often a node became degraded by overload
	GroundTruth       *GroundTruth               `json:"truths,omitempty"`                   // in simulated time only
	SlowStartPeak     float64                    `json:"cold_peak"`                          // highest load of a node in slow start; 1 overloads it
	NodesUsed         []float64                  `json:"nodes_used,omitempty"`               // by second: fraction of the running nodes that got a request; simulated only
	NodesBusy         []float64                  `json:"nodes_busy,omitempty"`               // by second: work done, as a fraction of the running nodes' capacity; simulated only
	Priced            float64                    `json:"priced"`                             // Goal less the scenario's prices for health checks, handshakes, discovery calls and waste
	HealthCheckWork   float64                    `json:"probe_work"`                         // work of health checks, as a fraction of the nodes' capacity
	CPU               float64                    `json:"agent_cpu_us_per_request,omitempty"` // CPU time of all agents' processes
	Skipped           int                        `json:"skipped"`                            // calls that were not sent because too many were open
	Lag               float64                    `json:"lag_ms"`                             // longest delay of a call behind its planned time, in ms
	ProcessorWait     float64                    `json:"starved_ms"`                         // mean time this process's threads waited for a processor, in ms; sockets only
	Admission         *AdmissionSummary          `json:"levels,omitempty"`                   // of agents with admission budgets
	Misbehaving       callers.MisbehavingFigures `json:"rude"`                               // figures of the misbehaving clients
	Interrupted       bool                       `json:"interrupted,omitempty"`
	Peers             *PeerSummary               `json:"views,omitempty"`  // of agents that gossip
	TopPriorityServed float64                    `json:"worthiest_served"` // fraction of the top-priority class's work that was answered
	PassedOver        float64                    `json:"passed_over"`      // unanswered fraction of the top-priority class's work while lower classes were answered; see passedOver
	UnaffectedService float64                    `json:"spared"`           // service of the requests at agents that no agent fault affects; 1 if there are none
	Surge             *Surge                     `json:"surge,omitempty"`  // of a scenario with a surge
	Series            Series                     `json:"series"`
	Events            []emulator.Event           `json:"marks"`
}

// Series are figures over time, one for each second. Seconds without a value have nil, which is null in JSON.
type Series struct {
	Service []*float64  `json:"service"`
	P50     []*float64  `json:"p50_ms"`
	P99     []*float64  `json:"p99_ms"`
	Load    [][]float64 `json:"load"`              // by second, then by node: requests in flight
	Goodput []float64   `json:"goodput,omitempty"` // work for responses that were received, as a fraction of the scenario's capacity (all nodes warm)
	Nodes   []string    `json:"nodes"`             // ids
}

// runRecord is the data recorded during a run, from which its outcome is computed.
type runRecord struct {
	scenario   *emulator.Scenario
	calls      []referee.CallResult
	figures    callers.Figures
	account    referee.Account
	violations []referee.Violation
	nodes      []node.Figures
	lists      int // calls of discovery
	load       [][]float64
	goodput    []float64
	events     []emulator.Event
}

// settleTime is the time from the beginning of a run that the service figures leave out.
const settleTime = time.Second

// outcome computes the outcome of a run.
func (r runRecord) outcome(variant string, simulated bool) Outcome {
	slices.SortFunc(r.calls, func(a, b referee.CallResult) int { return int(a.At - b.At) })
	outcome := Outcome{Scenario: r.scenario.Spec.Name, Variant: variant, Seed: r.scenario.Seed, Simulated: simulated, Seconds: r.scenario.Length.Seconds(), Calls: len(r.calls),
		Account: r.account, Violations: r.violations, Service: referee.MeasureService(r.calls, settleTime, len(r.scenario.Classes), len(r.scenario.Tenants)),
		Latency: map[string]Percentiles{"all": percentiles(referee.Latencies(r.calls, -1))}, ListCalls: r.lists, Events: r.events,
		Skipped: r.figures.Skipped, Lag: float64(r.figures.Lag.Microseconds()) / 1e3}
	outcome.Goal = outcome.Service.Goal()
	for i, c := range r.scenario.Classes {
		outcome.Latency[c.Name] = percentiles(referee.Latencies(r.calls, i))
	}
	if r.account.Requests > 0 {
		outcome.Attempts = float64(r.account.Attempts) / float64(r.account.Requests)
	}
	var nodeTotals node.Figures
	for _, f := range r.nodes {
		nodeTotals = nodeTotals.Add(f)
	}
	if nodeTotals.Work > 0 {
		outcome.Waste = float64(nodeTotals.Wasted) / float64(nodeTotals.Work)
	}
	outcome.HealthChecks, outcome.Handshakes, outcome.Degradations = nodeTotals.HealthChecks, nodeTotals.Handshakes, nodeTotals.Degradations
	outcome.SlowStartPeak = nodeTotals.SlowStartPeak
	prices, perCall := r.scenario.Spec.Fleet.Prices, 1/max(1, float64(len(r.calls)))
	outcome.Priced = outcome.Goal - prices.HealthCheck*float64(outcome.HealthChecks)*perCall - prices.Handshake*float64(outcome.Handshakes)*perCall - prices.List*float64(outcome.ListCalls)*perCall - prices.Waste*outcome.Waste
	outcome.HealthCheckWork = float64(nodeTotals.HealthChecks) * r.scenario.Nodes[0].HealthCheckWork.Seconds() / (r.scenario.Capacity * r.scenario.Length.Seconds())
	outcome.Series = summarizeSeries(r.calls)
	outcome.Series.Load, outcome.Series.Goodput = r.load, r.goodput
	outcome.Surge = summarizeSurge(r.scenario, outcome)
	outcome.TopPriorityServed, outcome.PassedOver = passedOver(r.scenario, r.calls)
	affected := r.scenario.AffectedAgents()
	spared := slices.DeleteFunc(slices.Clone(r.calls), func(c referee.CallResult) bool { return affected[c.Agent] })
	outcome.UnaffectedService = referee.MeasureService(spared, settleTime, 0, 0).Overall
	for _, n := range r.scenario.Nodes {
		outcome.Series.Nodes = append(outcome.Series.Nodes, n.ID)
	}
	return outcome
}

// summarizeSeries computes service and latency by second. A call counts in the second of its planned time.
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

// nodeFigures returns the figures of all nodes, including those of their earlier incarnations.
func nodeFigures(states []backend.State) (out []node.Figures) {
	for _, s := range states {
		out = append(out, s.Figures)
	}
	return out
}
