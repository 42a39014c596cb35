package logic

import "time"

// ActionKind says what an Action does, and which of its fields are set.
type ActionKind int

// The kinds of actions.
const (
	Send        ActionKind = iota // send an attempt of Request to Endpoint, until the request's deadline
	Reject                        // answer Request: trying again does no harm
	Fail                          // answer Request: no promise about its effect
	SetTimer                      // deliver TimerFired with Token after Delay
	HealthCheck                   // check Endpoint
	Subscribe                     // subscribe to the endpoint list, or poll it
)

// Reason is why the Balancer decided on a Send, a Reject or a Fail.
type Reason int

// The reasons. The first four after NoReason belong to Send, the others to Reject and Fail.
const (
	NoReason             Reason = iota // of other actions
	FirstAttempt                       // first attempt of the request
	RetryAttempt                       // the attempt before it ended without an answer
	HedgedAttempt                      // the attempt before it is late
	HalfOpenAttempt                    // tests whether an ejected endpoint has recovered
	Overloaded                         // the endpoints are overloaded
	NoEndpointLeft                     // no endpoint may get it, or no further attempt is allowed
	RetryBudgetExhausted               // a retry would exceed the retry budget
	NotRetryable                       // it may have been executed, or can't be sent again
	DeadlineExceeded                   // the client's deadline has passed
	ShuttingDown                       // the process ends
)

// Action is something that the owner of a Balancer has to do. Actions take effect in order.
type Action struct {
	Kind     ActionKind
	Reason   Reason // of Send, Reject and Fail
	Request  string // ID, of Send, Reject and Fail
	Endpoint string // ID, of Send and HealthCheck
	// Delay is the time to the timer (SetTimer), the Retry-After (Reject and Fail; 0 for none), or the timeout
	// of the attempt alone (Send; 0 for the request's deadline, which is what the present rules use).
	Delay time.Duration
	Token uint64 // of SetTimer
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) setTimer(token uint64, delay time.Duration) {
	b.emit(Action{Kind: SetTimer, Token: token, Delay: delay})
}
