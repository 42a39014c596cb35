package invariant

import (
	"encoding/json"
	"log/slog"
	"sync/atomic"
)

// Monitor counts violations. It may be used by any goroutine. A nil Monitor counts nothing.
type Monitor struct {
	log    *slog.Logger
	counts [rules]atomic.Int64
}

// NewMonitor returns a monitor that logs violations as errors.
func NewMonitor(log *slog.Logger) *Monitor { return &Monitor{log: log} }

// Violated counts and logs that a rule was broken. The request's id may be empty where the rule is not about one.
func (m *Monitor) Violated(rule Rule, request, detail string) {
	if m == nil {
		return
	}
	m.counts[rule].Add(1)
	m.log.Error("invariant violated", "rule", rule.String(), "request", request, "detail", detail)
}

// Count returns how often a rule was broken.
func (m *Monitor) Count(rule Rule) int64 {
	if m == nil {
		return 0
	}
	return m.counts[rule].Load()
}

// Total returns how often any rule was broken.
func (m *Monitor) Total() (total int64) {
	if m == nil {
		return 0
	}
	for rule := range m.counts {
		total += m.counts[rule].Load()
	}
	return total
}

// MarshalJSON returns the counts by rule, those of 0 too: an operator sees which rules are checked.
func (m *Monitor) MarshalJSON() ([]byte, error) {
	all := make(map[string]int64, rules)
	for rule := range m.counts {
		all[Rule(rule).String()] = m.counts[rule].Load()
	}
	return json.Marshal(all)
}
