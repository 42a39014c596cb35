package invariant

import "time"

// Verdict is what a guard says of an act: allowed, or the rule that it would break.
type Verdict struct {
	Denied bool
	Rule   Rule
}

var allowed = Verdict{}

func denied(rule Rule) Verdict { return Verdict{Denied: true, Rule: rule} }

// Send describes an attempt whose first byte is about to be written, or has been. Times are those of the agent's clock.
type Send struct {
	Now                time.Duration
	WriteDeadline      time.Duration // when it is too late to begin
	RequestFinished    bool          // its request has its answer, or its client left
	FinishedAt         time.Duration
	EndpointAcceptsNew bool // its server takes something new, in the same instance
	RetiredAt          time.Duration
}

// Check is asked before the first byte.
func (s Send) Check() Verdict {
	switch {
	case s.RequestFinished:
		return denied(SendAfterRequestFinished)
	case !s.EndpointAcceptsNew:
		return denied(SendToRetiredEndpoint)
	case s.Now >= s.WriteDeadline:
		return denied(SendAfterDeadline)
	}
	return allowed
}

// Sent checks what has been written against the state at that time. The state may have changed between the check and the
// write: each rule has a grace for that, and only what went out after the grace is a violation.
func (m *Monitor) Sent(request string, after Send, statedTimeout, timeLeft time.Duration) {
	if late := after.Now - after.FinishedAt; after.RequestFinished && late > CancellationGrace {
		m.Violated(SendAfterRequestFinished, request, "written "+late.String()+" after its request was over")
	}
	if late := after.Now - after.RetiredAt; !after.EndpointAcceptsNew && late > DrainGrace {
		m.Violated(SendToRetiredEndpoint, request, "written "+late.String()+" after its server was known to take nothing new")
	}
	if over := statedTimeout - timeLeft; over > DeadlineSlack {
		m.Violated(DeadlineOverstated, request, "stated "+statedTimeout.String()+" with "+timeLeft.String()+" left")
	}
}

// Repeat describes a further attempt of a request.
type Repeat struct {
	Now               time.Duration
	MayHaveRun        bool          // an earlier attempt may have run, or may yet
	FirstSentAt       time.Duration // when the earliest such attempt was decided on
	Idempotent        bool          // its class may run twice
	IdempotencyWindow time.Duration // of a keyed class: how long after the first attempt another may begin; else 0
}

// Check is asked before a further attempt is begun.
func (r Repeat) Check() Verdict {
	switch {
	case !r.MayHaveRun || r.Idempotent:
		return allowed
	case r.IdempotencyWindow <= 0:
		return denied(RepeatOfNonIdempotent)
	case r.Now >= r.FirstSentAt+r.IdempotencyWindow:
		return denied(RepeatAfterIdempotencyWindow)
	}
	return allowed
}

// Close describes a client's connection that is about to close.
type Close struct {
	RequestPending  bool // a request that was read on it has not been answered
	ClientLeft      bool // its client has closed it
	AnswerTruncated bool // the answer broke off on its way, which the client can tell
}

// Check is asked before the connection is closed.
func (c Close) Check() Verdict {
	if c.RequestPending && !c.ClientLeft && !c.AnswerTruncated {
		return denied(ClosedUnanswered)
	}
	return allowed
}
