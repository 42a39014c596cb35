package core

import (
	"ryeweir/internal/budget"
	"ryeweir/internal/event"
	"ryeweir/internal/invariant"
	"ryeweir/logic"
)

// startAttempt carries out a Send of the module in a goroutine of its own, so that a slow dial delays nothing else.
func (c *Core) startAttempt(action logic.Action) {
	call := c.calls[action.Request]
	allowed := c.mayRepeat(call)
	attempt := call.newAttempt(action, c.clock.Now(), c.config.UploadTimeout)
	attempt.core = c
	c.config.Events.Record(event.Event{
		Kind:     event.AttemptDecided,
		Reason:   decisionReasons[action.Reason],
		Request:  call.ID,
		Attempt:  attempt.Number,
		Endpoint: attempt.Endpoint,
	})
	attempt.Target = c.upstream.Bind(action.Endpoint)
	if !allowed || !c.budgetAllows(attempt) {
		// Reported by a goroutine, as the loop must not block on its own queue.
		c.attempts.Go(func() { attempt.Report(unanswered(logic.NotSent)) })
		return
	}
	c.attempts.Go(func() { c.runAttempt(attempt) })
}

// mayRepeat is the repeat guard. It checks the module's decision against what the core itself has seen of the call: a request
// that must not run twice and may have run already is not sent again, even if the module's own records are wrong.
func (c *Core) mayRepeat(call *Call) bool {
	first := call.firstExecutedAt()
	verdict := invariant.Repeat{
		Now:               c.clock.Now(),
		MayHaveRun:        first > 0,
		FirstSentAt:       first,
		Idempotent:        !call.RepeatRestricted,
		IdempotencyWindow: call.IdempotencyWindow,
	}.Check()
	if verdict.Denied {
		c.config.Monitor.Violated(verdict.Rule, call.ID, "the module decided on a further attempt")
	}
	return !verdict.Denied
}

// runAttempt lets the upstream carry out an attempt. One that returns without an outcome may have run.
func (c *Core) runAttempt(attempt *Attempt) {
	c.upstream.Execute(c.ctx, attempt)
	if attempt.reported.CompareAndSwap(false, true) {
		c.violations.Unreported.Add(1)
		c.send(attemptEnded{attempt, unanswered(logic.Reset)})
	}
}

// endAttempt takes in the outcome of an attempt. A success answers the call before the module sees it.
func (c *Core) endAttempt(attempt *Attempt, outcome Outcome) {
	call := attempt.Call
	call.attemptEnded(attempt, outcome.Result)
	c.config.Events.Record(event.Event{
		Kind:     event.AttemptEnded,
		Reason:   resultReasons[outcome.Result],
		Request:  call.ID,
		Attempt:  attempt.Number,
		Endpoint: attempt.Endpoint,
	})
	if outcome.Result == logic.OK {
		c.finishCall(call, Answer{Kind: Served, Reason: event.Served, Content: outcome.Content})
	}
	c.countOutcome(attempt, outcome.Result)
	c.observeOutcome(attempt, outcome.Result)
	c.decide(logic.Outcome{
		Request:       call.ID,
		Attempt:       attempt.Number,
		Endpoint:      attempt.Endpoint,
		Result:        outcome.Result,
		Latency:       c.clock.Now() - attempt.AwaitingSince(),
		Closed:        call.finished.Load(),
		NotReplayable: outcome.NotReplayable,
		LoadReport:    outcome.LoadReport,
	})
	c.forgetCall(call)
}

// countOutcome hands an outcome to the fleet's budget.
func (c *Core) countOutcome(attempt *Attempt, result logic.Result) {
	if c.config.Budget == nil || result == logic.NotSent {
		return
	}
	overloaded := result == logic.Rejected || result == logic.TimedOut
	c.config.Budget.AttemptEnded(c.clock.Now(), budget.Outcome{Overloaded: overloaded, SentAt: attempt.AwaitingSince()})
}

// observeOutcome passes on an outcome that is evidence about its endpoint. A rejection is not: it is a sign of load, which the
// budget counts. Neither is a timeout that left the endpoint less time than the latency objective.
func (c *Core) observeOutcome(attempt *Attempt, result logic.Result) {
	if c.config.OnAttemptOutcome == nil {
		return
	}
	switch result {
	case logic.OK:
		c.config.OnAttemptOutcome(attempt.Endpoint, attempt.SentAt, true)
	case logic.TimedOut:
		if c.clock.Now()-attempt.AwaitingSince() >= attempt.Call.LatencyObjective {
			c.config.OnAttemptOutcome(attempt.Endpoint, attempt.SentAt, false)
		}
	case logic.Failed, logic.ConnectFailed, logic.Reset:
		c.config.OnAttemptOutcome(attempt.Endpoint, attempt.SentAt, false)
	}
}

// startHealthCheck carries out a health check in a goroutine of its own.
func (c *Core) startHealthCheck(endpoint string) {
	target := c.upstream.Bind(endpoint)
	withheld := c.config.Budget != nil && !c.config.Budget.AllowHealthCheck()
	c.attempts.Go(func() {
		if c.config.HealthChecker == nil || withheld {
			c.send(healthChecked{logic.HealthChecked{Endpoint: endpoint, Result: logic.NotSent, LoadReport: logic.NoLoadReport}})
			return
		}
		c.send(healthChecked{c.config.HealthChecker.Check(c.ctx, endpoint, target)})
	})
}
