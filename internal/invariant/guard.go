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
	Now          time.Duration
	WriteBy      time.Duration // when it is too late to begin
	RequestOver  bool          // its request has its answer, or its client left
	OverSince    time.Duration
	TakesNew     bool // its server takes something new, in the same instance
	RetiredSince time.Duration
}

// Check is asked before the first byte.
func (s Send) Check() Verdict {
	switch {
	case s.RequestOver:
		return denied(SendAfterClientLeft)
	case !s.TakesNew:
		return denied(SendToRetiredServer)
	case s.Now >= s.WriteBy:
		return denied(SendAfterDeadline)
	}
	return allowed
}

// Sent checks what has been written against the state at that time. The state may have changed between the check and the
// write: each rule has a grace for that, and only what went out after the grace is a violation.
func (m *Monitor) Sent(request string, after Send, statedTimeout, timeLeft time.Duration) {
	if late := after.Now - after.OverSince; after.RequestOver && late > LeaveGrace {
		m.Violated(SendAfterClientLeft, request, "written "+late.String()+" after its request was over")
	}
	if late := after.Now - after.RetiredSince; !after.TakesNew && late > DrainGrace {
		m.Violated(SendToRetiredServer, request, "written "+late.String()+" after its server was known to take nothing new")
	}
	if over := statedTimeout - timeLeft; over > DeadlineSlack {
		m.Violated(DeadlineOverstated, request, "stated "+statedTimeout.String()+" with "+timeLeft.String()+" left")
	}
}

// Repeat describes a further attempt of a request.
type Repeat struct {
	Now        time.Duration
	MayHaveRun bool          // an earlier attempt may have run, or may yet
	FirstSent  time.Duration // when the earliest such attempt was decided on
	Repeatable bool          // its class may run twice
	Window     time.Duration // of a keyed class: how long after the first attempt another may begin; else 0
}

// Check is asked before a further attempt is begun.
func (r Repeat) Check() Verdict {
	switch {
	case !r.MayHaveRun || r.Repeatable:
		return allowed
	case r.Window <= 0:
		return denied(RepeatOfUnsafe)
	case r.Now >= r.FirstSent+r.Window:
		return denied(RepeatOutsideWindow)
	}
	return allowed
}

// Close describes a client's connection that is about to close.
type Close struct {
	RequestOpen bool // a request that was read on it has not been answered
	ClientLeft  bool // its client has closed it
	AnswerBroke bool // the answer broke off on its way, which the client can tell
}

// Check is asked before the connection is closed.
func (c Close) Check() Verdict {
	if c.RequestOpen && !c.ClientLeft && !c.AnswerBroke {
		return denied(ClosedUnanswered)
	}
	return allowed
}
