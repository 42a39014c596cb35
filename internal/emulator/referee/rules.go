package referee

import (
	"fmt"
	"time"
)

// Rules configures the rules.
type Rules struct {
	DrainGrace    time.Duration // how long new requests may reach a draining or removed node after the agent was notified
	TransitSlack  time.Duration // added to DrainGrace, for socket buffers and the network between agent and node
	MaxViolations int           // violations recorded with their evidence; further ones are only counted
	RetainFor     time.Duration // how long a request is retained after its end, so that a second execution is detected; 0 for the whole run
}

// DefaultRules returns the platform's rules for runs on sockets.
func DefaultRules() Rules {
	return Rules{DrainGrace: 250 * time.Millisecond, TransitSlack: 50 * time.Millisecond, MaxViolations: 100}
}

// Rule names a rule.
type Rule string

// The rules.
const (
	Lost              Rule = "lost"        // the agent closed the connection without a response, or sent a body that no node produced
	Duplicate         Rule = "duplicates"  // a request that is not idempotent was executed twice
	AfterDrain        Rule = "after_drain" // a new request reached a draining or removed node after the grace period
	SlowStartOverload Rule = "toppled"     // a node was overloaded in slow start
)

// Violation is a violation of a rule with its evidence.
type Violation struct {
	Rule    Rule          `json:"rule"`
	At      time.Duration `json:"at_ns"`
	Request string        `json:"request,omitempty"`
	Agent   string        `json:"agent,omitempty"`
	Node    string        `json:"node,omitempty"`
	Text    string        `json:"text"`
}

// String returns the rule, the time and the evidence on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3fs: %s", v.Rule, v.At.Seconds(), v.Text)
}
