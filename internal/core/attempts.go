package core

import (
	"ryeweir/internal/budget"
	"ryeweir/internal/event"
	"ryeweir/internal/invariant"
	"ryeweir/logic"
)

// startAttempt executes a Send action in a separate goroutine, so that a slow dial does not block the loop. If
// invariant.Repeat or the budget denies the attempt, it is not sent and ends as NotSent. AttemptDecided is recorded in that case too.
func (c *Core) startAttempt(action logic.Action) {
	call := c.calls[action.Request]
	allowed := c.mayRepeat(call) // before newAttempt, which adds this attempt to those that may have been executed
	attempt := call.newAttempt(action, c.clock.Now(), c.config.UploadTimeout)
	attempt.core = c
	c.recordEvent(event.AttemptDecided, decisionReasons[action.Reason], attempt)
	attempt.Target = c.upstream.Bind(action.Endpoint)
	if !allowed || !c.budgetAllows(attempt) {
		// Report from a goroutine, because the loop must not block on its own queue.
		c.attempts.Go(func() { attempt.Report(outcomeWithoutContent(logic.NotSent)) })
		return
	}
	c.attempts.Go(func() { c.runAttempt(attempt) })
}

// recordEvent records an event of an attempt.
func (c *Core) recordEvent(kind event.Kind, reason event.Reason, attempt *Attempt) {
	c.config.Events.Record(event.Event{
		Kind:     kind,
		Reason:   reason,
		Request:  attempt.Call.ID,
		Attempt:  attempt.Number,
		Endpoint: attempt.Endpoint,
	})
}

// mayRepeat reports whether the next attempt of a call breaks no rule of invariant.Repeat. It uses what the core has itself recorded
// about the call. A request that must not be executed twice and may have been executed is thus not sent again, even if the balancer
// decides on a further attempt because the balancer's own state is wrong.
func (c *Core) mayRepeat(call *Call) bool {
	first := call.firstPossibleExecution() // SentAt of the earliest such attempt; 0 if none may have been executed
	check := invariant.Repeat{
		Now:               c.clock.Now(),
		MayHaveExecuted:   first > 0,
		FirstSentAt:       first,
		Idempotent:        !call.RepeatRestricted,
		IdempotencyWindow: call.IdempotencyWindow,
	}.Check()
	if check.Denied {
		c.config.Monitor.Violated(check.Rule, call.ID, "the balancer decided on a further attempt")
	}
	return !check.Denied
}

// runAttempt lets the upstream execute an attempt. If it returns without reporting an outcome, the request may have been executed.
// The attempt then ends as reset, which does not rule that out.
func (c *Core) runAttempt(attempt *Attempt) {
	c.upstream.Execute(c.ctx, attempt)
	if attempt.reported.CompareAndSwap(false, true) {
		c.violations.Unreported.Add(1)
		c.send(attemptEnded{attempt, outcomeWithoutContent(logic.Reset)})
	}
}

// endAttempt processes the outcome of an attempt. If it is a success, the call is answered before the balancer handles
// the outcome, so that the outcome tells the balancer that the call is closed.
func (c *Core) endAttempt(attempt *Attempt, outcome Outcome) {
	call := attempt.Call
	call.attemptEnded(attempt, outcome.Result)
	c.recordEvent(event.AttemptEnded, resultReasons[outcome.Result], attempt)
	if outcome.Result == logic.OK {
		c.finishCall(call, Answer{Kind: Served, Reason: event.Served, Content: outcome.Content})
	}
	c.recordOutcomeInBudget(attempt, outcome.Result)
	c.notifyOutcome(attempt, outcome.Result)
	c.handleEvent(logic.Outcome{
		Request:       call.ID,
		Attempt:       attempt.Number,
		Endpoint:      attempt.Endpoint,
		Result:        outcome.Result,
		Latency:       attempt.latency(outcome, c.clock.Now()),
		Closed:        call.finished.Load(),
		NotReplayable: outcome.NotReplayable,
		LoadReport:    outcome.LoadReport,
	})
	c.removeFinishedCall(call)
}

// recordOutcomeInBudget tells the budget that an attempt ended, and whether its outcome is a sign of overload.
func (c *Core) recordOutcomeInBudget(attempt *Attempt, result logic.Result) {
	if c.config.Budget == nil || result == logic.NotSent {
		return
	}
	overloaded := result == logic.Rejected || result == logic.TimedOut
	c.config.Budget.AttemptEnded(c.clock.Now(), budget.Outcome{Overloaded: overloaded, SentAt: attempt.AwaitingSince()})
}

// notifyOutcome calls OnAttemptOutcome for an outcome that says something about the health of its endpoint. A rejection does not:
// it is a sign of overload, which the budget counts. Neither does a timeout if the endpoint had less time to answer than the
// latency objective.
func (c *Core) notifyOutcome(attempt *Attempt, result logic.Result) {
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

// startHealthCheck executes a health check in a separate goroutine. If Config has no HealthChecker or the budget denies the check,
// its result is NotSent. Without a HealthChecker, a check that the budget allows still takes from the budget.
func (c *Core) startHealthCheck(endpoint string) {
	target := c.upstream.Bind(endpoint)
	denied := c.config.Budget != nil && !c.config.Budget.AllowHealthCheck()
	c.attempts.Go(func() {
		if c.config.HealthChecker == nil || denied {
			c.send(healthChecked{logic.HealthChecked{Endpoint: endpoint, Result: logic.NotSent, LoadReport: logic.NoLoadReport}})
			return
		}
		c.send(healthChecked{c.config.HealthChecker.Check(c.ctx, endpoint, target)})
	})
}
