// Package invariant holds the agent's guards: one each for sending, repeating, closing and starting. A guard is asked before
// the agent acts and answers with the rule that would be broken, and it is told what was done, to check the same rule once
// more. What breaks a rule all the same is counted and logged with the request's id: the counts stay 0 in an agent that is in
// order, and are the run-time oracle of the fault soak (internal/soak).
package invariant

import (
	"encoding/json"
	"log/slog"
	"sync/atomic"
	"time"
)

// Rule is a rule that a guard holds.
type Rule int

// The rules, by guard.
const (
	// Send guard.
	SendAfterRequestFinished Rule = iota // an attempt began for a request that was over
	SendToRetiredEndpoint                // an attempt began at a server that drains, has gone or has started anew
	SendAfterDeadline                    // an attempt began when its time was over
	DeadlineOverstated                   // a server was told of more time than its client had left
	// Repeat guard.
	RepeatOfNonIdempotent        // what may have run and must not run twice was to be sent again
	RepeatAfterIdempotencyWindow // a keyed request was to be sent again after its window
	OutcomeReportedTwice         // an attempt had a second outcome
	// Close guard.
	ClosedUnanswered // a client's connection closed over a request that was read and got no answer
	// Start guard.
	ReadyWithoutEndpoint // readiness was told without a server to send to
	ListenerClosed       // the agent stopped accepting clients while it served

	rules int = iota
)

var ruleNames = [rules]string{"send_after_client_left", "send_to_retired_server", "send_after_deadline", "deadline_overstated",
	"repeat_of_unsafe", "repeat_outside_window", "outcome_reported_twice", "closed_unanswered",
	"ready_without_server", "listener_ended"}

// String is the rule's name in the log and in the metrics.
func (r Rule) String() string { return ruleNames[r] }

// Monitor counts violations. It may be used by any goroutine. A nil Monitor counts nothing.
type Monitor struct {
	log    *slog.Logger
	counts [rules]atomic.Int64
}

// NewMonitor returns a monitor that logs violations as errors.
func NewMonitor(log *slog.Logger) *Monitor { return &Monitor{log: log} }

// Violated counts that a rule was broken for a request, whose id may be empty.
func (m *Monitor) Violated(rule Rule, request, detail string) {
	if m == nil {
		return
	}
	m.counts[rule].Add(1)
	m.log.Error("invariant violated", "rule", rule.String(), "request", request, "detail", detail)
}

// Count is how often a rule was broken.
func (m *Monitor) Count(rule Rule) int64 {
	if m == nil {
		return 0
	}
	return m.counts[rule].Load()
}

// Total is how often any rule was broken.
func (m *Monitor) Total() (sum int64) {
	if m == nil {
		return 0
	}
	for rule := range m.counts {
		sum += m.counts[rule].Load()
	}
	return sum
}

// MarshalJSON gives all counts by rule, those of 0 too.
func (m *Monitor) MarshalJSON() ([]byte, error) {
	all := make(map[string]int64, rules)
	for rule := range m.counts {
		all[Rule(rule).String()] = m.counts[rule].Load()
	}
	return json.Marshal(all)
}

// Limits of the checks after the fact.
const (
	// DrainGrace is how long after a notification a server may still get something new.
	DrainGrace = 250 * time.Millisecond
	// CancellationGrace is how long after its client left an attempt may still begin.
	CancellationGrace = 100 * time.Millisecond
	// DeadlineSlack is by how much the deadline passed on may exceed what the client has left.
	DeadlineSlack = 150 * time.Millisecond
)
