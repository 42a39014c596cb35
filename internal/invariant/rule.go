package invariant

// Rule is a rule that the agent must not break.
type Rule int

// The rules, grouped by the operation that could break them.
const (
	// Rules of Send.

	SendAfterRequestFinished Rule = iota // an attempt began although its request had been answered or its client had disconnected
	SendToRetiredEndpoint                // an attempt began although its endpoint was draining, removed or restarted
	SendAfterDeadline                    // an attempt began after its write deadline
	DeadlineOverstated                   // an endpoint was told a longer timeout than the client had left

	// Rules of Repeat.

	RepeatOfNonIdempotent        // a request that is not idempotent was about to be sent again although it may have been executed
	RepeatAfterIdempotencyWindow // a request with an idempotency key was about to be sent again after the idempotency window
	OutcomeReportedTwice         // a second outcome was reported for an attempt

	// Rules of Close.

	ClosedUnanswered // a client's connection was closed although a request that was read from it had no answer

	// Rules of readiness and listening, which have no check in this package.

	ReadyWithoutEndpoint // the agent reported that it is ready although no endpoint could receive requests
	ListenerClosed       // the agent stopped accepting connections although it was not shutting down

	numRules int = iota
)

// ruleNames are the names in the log and in GET /v1/metrics. Operators search for them, so they must not change.
var ruleNames = [numRules]string{
	SendAfterRequestFinished:     "send_after_client_left",
	SendToRetiredEndpoint:        "send_to_retired_server",
	SendAfterDeadline:            "send_after_deadline",
	DeadlineOverstated:           "deadline_overstated",
	RepeatOfNonIdempotent:        "repeat_of_unsafe",
	RepeatAfterIdempotencyWindow: "repeat_outside_window",
	OutcomeReportedTwice:         "outcome_reported_twice",
	ClosedUnanswered:             "closed_unanswered",
	ReadyWithoutEndpoint:         "ready_without_server",
	ListenerClosed:               "listener_ended",
}

// String returns the name of the rule in the log and the metrics.
func (r Rule) String() string { return ruleNames[r] }

// CheckResult is the result of checking an operation.
type CheckResult struct {
	Denied bool
	Rule   Rule // the rule that the operation would break; valid only if Denied
}

// allowed is the result for an operation that breaks no rule.
var allowed = CheckResult{}

// denied returns the result for an operation that would break the rule.
func denied(rule Rule) CheckResult { return CheckResult{Denied: true, Rule: rule} }
