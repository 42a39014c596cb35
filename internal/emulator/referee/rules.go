package referee

import (
	"fmt"
	"time"
)

// Rules are the figures of the rules.
type Rules struct {
	DrainGrace    time.Duration // after an agent was notified, a new request may still reach a draining or removed node
	TransitSlack  time.Duration // added to DrainGrace, for sockets and the way to the node
	MaxViolations int           // recorded with their evidence; all are counted
	RetainFor     time.Duration // how long a request is retained after its end, in which a second execution is noticed; 0 for the whole run
}

// DefaultRules returns those of the platform on sockets.
func DefaultRules() Rules {
	return Rules{DrainGrace: 250 * time.Millisecond, TransitSlack: 50 * time.Millisecond, MaxViolations: 100}
}

// Rule names a rule.
type Rule string

// The rules.
const (
	Lost              Rule = "lost"        // the agent ended a request without a whole response, or served what no node made
	Duplicate         Rule = "duplicates"  // a request that is not idempotent was executed twice
	AfterDrain        Rule = "after_drain" // a new request came later than allowed after the agent was notified
	SlowStartOverload Rule = "toppled"     // a node was overloaded in slow start
)

// Violation is a broken rule with its evidence.
type Violation struct {
	Rule    Rule          `json:"rule"`
	At      time.Duration `json:"at_ns"`
	Request string        `json:"request,omitempty"`
	Agent   string        `json:"agent,omitempty"`
	Node    string        `json:"node,omitempty"`
	Text    string        `json:"text"`
}

// String returns a line for people.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3fs: %s", v.Rule, v.At.Seconds(), v.Text)
}
