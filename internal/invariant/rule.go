package invariant

// Rule is a rule that the guards hold.
type Rule int

// The rules, by guard.
const (
	// Of Send.

	SendAfterRequestFinished Rule = iota // an attempt began for a request that was answered, or whose client had left
	SendToRetiredEndpoint                // an attempt began at an endpoint that was draining, removed or restarted
	SendAfterDeadline                    // an attempt began after its write deadline
	DeadlineOverstated                   // an endpoint was given more time than the client had left

	// Of Repeat.

	RepeatOfNonIdempotent        // a request that may have run and must not run twice was to be sent again
	RepeatAfterIdempotencyWindow // a request with an idempotency key was to be sent again after its window
	OutcomeReportedTwice         // an attempt had a second outcome

	// Of Close.

	ClosedUnanswered // a client's connection closed although a request that was read had no answer

	// Of starting.

	ReadyWithoutEndpoint // the agent reported ready without an endpoint to send to
	ListenerClosed       // the agent stopped accepting clients while it served

	rules int = iota
)

// ruleNames are part of the operators' interface: the log and GET /v1/metrics are searched by them. They must not change.
var ruleNames = [rules]string{
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

// String returns the rule's name in the log and in the metrics.
func (r Rule) String() string { return ruleNames[r] }

// Verdict is what a guard decides on an act.
type Verdict struct {
	Denied bool
	Rule   Rule // that the act would break; only with Denied
}

// allowed is the verdict on an act that breaks no rule.
var allowed = Verdict{}

// denied returns the verdict on an act that would break the rule.
func denied(rule Rule) Verdict { return Verdict{Denied: true, Rule: rule} }
