package experiment

import (
	"slices"
	"time"

	"ryeweir/internal/emulator"
)

// AdmissionSummary sums up the admission budgets of a day's agent processes, as their metrics reported them.
type AdmissionSummary struct {
	Least          float64 `json:"least"`    // fraction of its demand that an agent admitted one second before the surge ended: the lowest of all agents
	Median         float64 `json:"median"`   //
	Most           float64 `json:"most"`     //
	Shed           int64   `json:"shed"`     // requests rejected by the budget; a killed process counts with its last sample
	Withheld       int64   `json:"withheld"` // retries not sent
	SelfOverloaded int64   `json:"pressed"`  // samples in which an agent found itself overloaded
}

// overloadMetrics are an agent's figures of its budget.
type overloadMetrics struct {
	Admitted       float64
	Shed           int64
	Withheld       int64
	SelfOverloaded int64 `json:"Pressed"`
}

// summarizeLevels sums up the budget metrics of all agents; nil where no agent has a budget.
func summarizeLevels(day *emulator.Scenario, peerViews [][]peerView) *AdmissionSummary {
	end := day.Length
	if i := surgeShift(day); i >= 0 {
		end = day.Spec.Fleet.TrafficShifts[i].To.D()
	}
	levels := &AdmissionSummary{}
	var shares []float64
	for _, agentViews := range peerViews {
		var last overloadMetrics // of the present process
		admitted, at := 0.0, time.Duration(-1)
		for _, view := range agentViews {
			metrics := view.overload
			if metrics == nil {
				continue
			}
			if metrics.Shed < last.Shed || metrics.SelfOverloaded < last.SelfOverloaded { // another process began in between
				levels.add(last)
			}
			last = *metrics
			if view.at <= end-time.Second {
				admitted, at = metrics.Admitted, view.at
			}
		}
		levels.add(last)
		if at >= 0 {
			shares = append(shares, admitted)
		}
	}
	if len(shares) == 0 {
		return nil
	}
	slices.Sort(shares)
	levels.Least, levels.Median, levels.Most = shares[0], shares[len(shares)/2], shares[len(shares)-1]
	return levels
}

// add adds the counters of one process.
func (l *AdmissionSummary) add(o overloadMetrics) {
	l.Shed, l.Withheld, l.SelfOverloaded = l.Shed+o.Shed, l.Withheld+o.Withheld, l.SelfOverloaded+o.SelfOverloaded
}
