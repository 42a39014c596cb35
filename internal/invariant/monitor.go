package invariant

import (
	"encoding/json"
	"log/slog"
	"sync/atomic"
)

// Monitor counts and logs violations of rules. It may be used from any goroutine. A nil Monitor does nothing.
type Monitor struct {
	log    *slog.Logger
	counts [numRules]atomic.Int64
}

// NewMonitor returns a monitor that logs violations at level error.
func NewMonitor(log *slog.Logger) *Monitor { return &Monitor{log: log} }

// Violated counts and logs a violation of a rule. The request's id may be empty if the rule does not concern a request.
func (m *Monitor) Violated(rule Rule, request, detail string) {
	if m == nil {
		return
	}
	m.counts[rule].Add(1)
	m.log.Error("invariant violated", "rule", rule.String(), "request", request, "detail", detail)
}

// Count returns the number of violations of a rule.
func (m *Monitor) Count(rule Rule) int64 {
	if m == nil {
		return 0
	}
	return m.counts[rule].Load()
}

// Total returns the number of violations of all rules.
func (m *Monitor) Total() (total int64) {
	if m == nil {
		return 0
	}
	for rule := range m.counts {
		total += m.counts[rule].Load()
	}
	return total
}

// MarshalJSON returns the counts by the names of the rules. Counts of 0 are included, so that an operator sees which rules are checked.
func (m *Monitor) MarshalJSON() ([]byte, error) {
	all := make(map[string]int64, numRules)
	for rule := range m.counts {
		all[Rule(rule).String()] = m.counts[rule].Load()
	}
	return json.Marshal(all)
}
