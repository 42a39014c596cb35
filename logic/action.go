package logic

import "time"

// ActionKind is the kind of an Action. It determines which of the Action's fields are set.
type ActionKind int

// The kinds of actions.
const (
	Send        ActionKind = iota // send an attempt of Request to Endpoint; see Delay for its timeout
	Reject                        // reject Request; the client can safely try again
	Fail                          // fail Request; it may or may not have taken effect
	Forward                       // forward what has arrived of Attempt's response; an Outcome must follow now
	SetTimer                      // deliver TimerFired with Token after Delay
	HealthCheck                   // send a health check to Endpoint
	Subscribe                     // subscribe to the endpoint list, or poll it
)

// Reason is why the Balancer emits a Send, a Reject, a Fail or a Forward.
type Reason int

// The reasons. FirstAttempt to HalfOpenAttempt belong to Send, the later ones to Reject and
// Fail, and the last two also to Forward.
const (
	NoReason             Reason = iota // of all other actions
	FirstAttempt                       // the first attempt of the request
	RetryAttempt                       // the previous attempt ended without a successful response
	HedgedAttempt                      // the previous attempt is still in flight and late
	HalfOpenAttempt                    // tests whether an ejected endpoint has recovered
	Overloaded                         // the request is shed because the endpoints are overloaded
	NoEndpointLeft                     // no endpoint may get the request, or MaxAttempts is reached
	RetryBudgetExhausted               // the retry budget does not allow a retry
	NotRetryable                       // it may have been executed, or can't be sent again
	DeadlineExceeded                   // the client's deadline has passed
	ShuttingDown                       // the process is shutting down
)

// Action is an instruction to the owner of a Balancer. Actions must be executed in order.
type Action struct {
	Kind     ActionKind
	Reason   Reason // of Send, Reject, Fail and Forward
	Request  string // ID; of Send, Reject, Fail and Forward
	Attempt  int    // numbered from 0 in the order of the sends; of Forward
	Endpoint string // ID; of Send and HealthCheck
	// Delay is the time until the timer fires (SetTimer), the Retry-After (Reject and Fail; 0 for none), or
	// the timeout of this attempt (Send). An attempt ends at the request's deadline at the latest, and 0 sets
	// no earlier end. The current rules always use 0 for Send.
	Delay time.Duration
	Token uint64 // of SetTimer
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) setTimer(token uint64, delay time.Duration) {
	b.emit(Action{Kind: SetTimer, Token: token, Delay: delay})
}
