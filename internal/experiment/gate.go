package experiment

import (
	"fmt"
)

// GateRow is what an agent's arm served on a day, against what a policy serves that sees the true state late.
type GateRow struct {
	Day           string  `json:"day"`
	Variant       string  `json:"arm"`
	Seed          uint64  `json:"seed"`
	Served        float64 `json:"served"` // share of the day's worth, before prices
	Wanted        float64 `json:"wanted"`
	Passed        bool    `json:"passed"`
	FailureReason string  `json:"why,omitempty"` // not
}

// What a fleet's day wants at least: a part of what the late policy serves, and on a calm day also the plainest policy's share less a
// margin, or the late one's less another where that is lower.
const (
	gateOfLate    = 0.5
	gatePlainLess = 0.05
	gateLateLess  = 0.1
)

// gate judges each run of an agent for which the late policy was played, too: no rule broken, each request with one end, and enough
// served. calm names the days without a fault.
func gate(outcomes []Outcome, arms []VariantSpec, calm map[string]bool) (rows []GateRow) {
	type run struct {
		day  string
		seed uint64
	}
	kinds := map[string]string{}
	for _, a := range arms {
		kinds[a.Name] = a.Kind
	}
	late, plain := map[run]float64{}, map[run]float64{}
	for _, o := range outcomes {
		switch kinds[o.Variant] {
		case Late:
			late[run{o.Day, o.Seed}] = o.Overall
		case Random:
			plain[run{o.Day, o.Seed}] = o.Overall
		}
	}
	for _, o := range outcomes {
		sees, ok := late[run{o.Day, o.Seed}]
		if kinds[o.Variant] != AgentKind || !ok {
			continue
		}
		r := GateRow{Day: o.Day, Variant: o.Variant, Seed: o.Seed, Served: o.Overall, Wanted: gateOfLate * sees}
		if x, ok := plain[run{o.Day, o.Seed}]; ok && calm[o.Day] {
			r.Wanted = max(r.Wanted, min(x-gatePlainLess, sees-gateLateLess))
		}
		switch {
		case !o.Account.RulesHold():
			r.FailureReason = fmt.Sprintf("a rule broke: %v", o.Breaches[0])
		case !o.Account.Balanced():
			r.FailureReason = "not each request has one end"
		case r.Served < r.Wanted:
			r.FailureReason = "too little was served"
		}
		r.Passed = r.FailureReason == ""
		rows = append(rows, r)
	}
	return rows
}
