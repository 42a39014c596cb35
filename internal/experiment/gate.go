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
	delayedOracleFraction = 0.5
	randomMargin          = 0.05
	delayedOracleMargin   = 0.1
)

// gate judges each run of an agent for which the late policy was played, too: no rule broken, each request with one end, and enough
// served. calm names the days without a fault.
func gate(outcomes []Outcome, variants []VariantSpec, calm map[string]bool) (rows []GateRow) {
	type run struct {
		day  string
		seed uint64
	}
	kinds := map[string]string{}
	for _, variant := range variants {
		kinds[variant.Name] = variant.Kind
	}
	delayedOracle, random := map[run]float64{}, map[run]float64{}
	for _, outcome := range outcomes {
		switch kinds[outcome.Variant] {
		case DelayedOracle:
			delayedOracle[run{outcome.Day, outcome.Seed}] = outcome.Overall
		case Random:
			random[run{outcome.Day, outcome.Seed}] = outcome.Overall
		}
	}
	for _, outcome := range outcomes {
		reference, ok := delayedOracle[run{outcome.Day, outcome.Seed}]
		if kinds[outcome.Variant] != AgentKind || !ok {
			continue
		}
		row := GateRow{Day: outcome.Day, Variant: outcome.Variant, Seed: outcome.Seed, Served: outcome.Overall, Wanted: delayedOracleFraction * reference}
		if randomServed, ok := random[run{outcome.Day, outcome.Seed}]; ok && calm[outcome.Day] {
			row.Wanted = max(row.Wanted, min(randomServed-randomMargin, reference-delayedOracleMargin))
		}
		switch {
		case !outcome.Account.RulesHold():
			row.FailureReason = fmt.Sprintf("a rule broke: %v", outcome.Breaches[0])
		case !outcome.Account.Balanced():
			row.FailureReason = "not each request has one end"
		case row.Served < row.Wanted:
			row.FailureReason = "too little was served"
		}
		row.Passed = row.FailureReason == ""
		rows = append(rows, row)
	}
	return rows
}
