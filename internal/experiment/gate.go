package experiment

import (
	"fmt"
)

// GateRow compares what an agent served in a run with what the delayed oracle served in the same day and seed.
type GateRow struct {
	Scenario      string  `json:"day"`
	Variant       string  `json:"arm"`
	Seed          uint64  `json:"seed"`
	Served        float64 `json:"served"` // fraction of the priority weight asked for
	Wanted        float64 `json:"wanted"`
	Passed        bool    `json:"passed"`
	FailureReason string  `json:"why,omitempty"` // empty where it passed
}

// The least that an agent must serve: a fraction of what the delayed oracle serves; on a day without faults also the random variant's
// service, or the delayed oracle's where that is lower, each less a margin.
const (
	delayedOracleFraction = 0.5
	randomMargin          = 0.05
	delayedOracleMargin   = 0.1
)

// gate judges each run of an agent that the delayed oracle ran, too: no rule may break, each request must have one end, and enough must
// be served. calm names the days without a fault.
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
			delayedOracle[run{outcome.Scenario, outcome.Seed}] = outcome.Overall
		case Random:
			random[run{outcome.Scenario, outcome.Seed}] = outcome.Overall
		}
	}
	for _, outcome := range outcomes {
		reference, ok := delayedOracle[run{outcome.Scenario, outcome.Seed}]
		if kinds[outcome.Variant] != AgentKind || !ok {
			continue
		}
		row := GateRow{Scenario: outcome.Scenario, Variant: outcome.Variant, Seed: outcome.Seed, Served: outcome.Overall, Wanted: delayedOracleFraction * reference}
		if randomServed, ok := random[run{outcome.Scenario, outcome.Seed}]; ok && calm[outcome.Scenario] {
			row.Wanted = max(row.Wanted, min(randomServed-randomMargin, reference-delayedOracleMargin))
		}
		switch {
		case !outcome.Account.RulesHold():
			row.FailureReason = fmt.Sprintf("a rule broke: %v", outcome.Violations[0])
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
