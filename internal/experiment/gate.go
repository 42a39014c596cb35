package experiment

import (
	"fmt"
)

// GateRow is the gate's verdict on one run of an agent. The gate compares the service with that of the delayed oracle in the same scenario
// and seed.
type GateRow struct {
	Scenario      string  `json:"day"`
	Variant       string  `json:"arm"`
	Seed          uint64  `json:"seed"`
	Served        float64 `json:"served"` // fraction of the requested priority weight that was served
	Wanted        float64 `json:"wanted"` // the minimum of Served to pass
	Passed        bool    `json:"passed"`
	FailureReason string  `json:"why,omitempty"` // empty if Passed
}

// An agent must serve delayedOracleFraction of what the delayed oracle serves. In a [[fleet_day]] of kind calm, which has no faults, it must
// also serve the lower of two values: the service of the random variant less randomMargin, and that of the delayed oracle less
// delayedOracleMargin. This second minimum applies only if the random variant ran with the same seed.
const (
	delayedOracleFraction = 0.5
	randomMargin          = 0.05
	delayedOracleMargin   = 0.1
)

// gate checks each run of an agent that also ran with the delayed oracle: no rule may be violated, each request must have exactly one
// outcome, and enough must be served. faultFree is the result of Spec.faultFreeScenarios.
func gate(outcomes []Outcome, variants []VariantSpec, faultFree map[string]bool) (rows []GateRow) {
	type run struct {
		scenario string
		seed     uint64
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
		if randomServed, ok := random[run{outcome.Scenario, outcome.Seed}]; ok && faultFree[outcome.Scenario] {
			row.Wanted = max(row.Wanted, min(randomServed-randomMargin, reference-delayedOracleMargin))
		}
		switch {
		case !outcome.Account.RulesHold():
			row.FailureReason = fmt.Sprintf("rule violated: %v", outcome.Violations[0])
		case !outcome.Account.Balanced():
			row.FailureReason = "not every request has exactly one outcome"
		case row.Served < row.Wanted:
			row.FailureReason = "service below the minimum"
		}
		row.Passed = row.FailureReason == ""
		rows = append(rows, row)
	}
	return rows
}
