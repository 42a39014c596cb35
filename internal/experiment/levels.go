package experiment

import (
	"slices"
	"time"

	"ryeweir/internal/emulator"
)

// AdmissionSummary summarizes the metrics of the admission budgets of a run's agent processes. The admitted fraction is the fraction of its
// demand that an agent admitted one second before the surge ended or, in a scenario without a surge, before the run ended.
type AdmissionSummary struct {
	Least          float64 `json:"least"`    // lowest admitted fraction of all agents
	Median         float64 `json:"median"`   // median admitted fraction of all agents
	Most           float64 `json:"most"`     // highest admitted fraction of all agents
	Shed           int64   `json:"shed"`     // requests rejected by the budget; of a killed process as of its last sample
	Withheld       int64   `json:"withheld"` // retries that the budget did not allow
	SelfOverloaded int64   `json:"pressed"`  // samples in which an agent found itself overloaded
}

// overloadMetrics are the "overload" metrics of an agent, whose keys are the names of the fields unless tagged.
type overloadMetrics struct {
	Admitted       float64
	Shed           int64
	Withheld       int64
	SelfOverloaded int64 `json:"Pressed"`
}

// summarizeAdmission summarizes the budget metrics of all agents. It returns nil if no agent has a budget.
func summarizeAdmission(scenario *emulator.Scenario, peerSamples [][]peerSample) *AdmissionSummary {
	end := scenario.Length
	if i := surgeShift(scenario); i >= 0 {
		end = scenario.Spec.Fleet.TrafficShifts[i].To.D()
	}
	summary := &AdmissionSummary{}
	var shares []float64
	for _, samples := range peerSamples {
		var last overloadMetrics // the last sample of the current process
		admitted, at := 0.0, time.Duration(-1)
		for _, sample := range samples {
			metrics := sample.overload
			if metrics == nil {
				continue
			}
			if metrics.Shed < last.Shed || metrics.SelfOverloaded < last.SelfOverloaded { // the counters restarted: this sample is of another process
				summary.add(last)
			}
			last = *metrics
			if sample.at <= end-time.Second {
				admitted, at = metrics.Admitted, sample.at
			}
		}
		summary.add(last)
		if at >= 0 {
			shares = append(shares, admitted)
		}
	}
	if len(shares) == 0 {
		return nil
	}
	slices.Sort(shares)
	summary.Least, summary.Median, summary.Most = shares[0], shares[len(shares)/2], shares[len(shares)-1]
	return summary
}

// add adds the counters of one process to the totals.
func (l *AdmissionSummary) add(o overloadMetrics) {
	l.Shed, l.Withheld, l.SelfOverloaded = l.Shed+o.Shed, l.Withheld+o.Withheld, l.SelfOverloaded+o.SelfOverloaded
}
