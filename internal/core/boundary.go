package core

import (
	"encoding/json"
	"sync/atomic"
	"time"

	"ryeweir/logic"
)

// Time limits in the contract with frontends and upstreams, and how they are checked.
const (
	periodicCheckInterval = 500 * time.Millisecond
	// outcomeGrace is how long after the deadline of an attempt its missing outcome counts as overdue. A body whose end has not arrived
	// is overdue this long after the upload timeout.
	outcomeGrace = time.Second
	// answerTimeout is the time that a frontend has to receive an answer that is ready.
	answerTimeout = 2 * time.Second
	// overdueChecksLimit is the number of checks that must find an answer or an outcome overdue before the core stops waiting for
	// it. The first check after a pause of the process (SIGSTOP, a suspended machine) finds everything overdue at once. Giving up
	// at that check would discard answers whose frontends are about to run. All goroutines get to run before the later checks.
	overdueChecksLimit = 3
)

// ContractViolations counts the cases in which a frontend or an upstream did not fulfil its contract with the core. Each count
// should stay 0. In spite of such violations the core gives every attempt one outcome and every call one answer.
type ContractViolations struct {
	ReportedTwice atomic.Int64 // outcomes reported after a first one, or after the attempt was given up as overdue
	Unreported    atomic.Int64 // attempts whose execution returned without reporting an outcome
	Overdue       atomic.Int64 // attempts whose outcome was not reported in time
	Unread        atomic.Int64 // answers that no frontend received
	Resubmitted   atomic.Int64 // calls that were submitted more than once
	Unfinished    atomic.Int64 // calls whose pending body neither arrived completely nor was abandoned
}

// MarshalJSON returns the counts as they appear in GET /v1/metrics.
func (v *ContractViolations) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		Overdue       int64 `json:"overdue"`
		ReportedTwice int64 `json:"reported_twice"`
		Resubmitted   int64 `json:"resubmitted"`
		Unfinished    int64 `json:"unfinished"`
		Unread        int64 `json:"unread"`
		Unreported    int64 `json:"unreported"`
	}{v.Overdue.Load(), v.ReportedTwice.Load(), v.Resubmitted.Load(), v.Unfinished.Load(), v.Unread.Load(), v.Unreported.Load()})
}

// ContractViolations returns the live counters, which keep changing.
func (c *Core) ContractViolations() *ContractViolations { return &c.violations }

// periodicCheck publishes the loop's statistics and handles everything that a frontend or an upstream has not done in time.
func (c *Core) periodicCheck() {
	now := c.clock.Now()
	c.config.OnEndpointCounts(c.endpointCount, c.balancer.Unavailable())
	c.publishBudgetStats()
	c.checkPendingAnswers(now)
	for _, call := range c.calls {
		c.checkPendingBody(now, call)
		c.checkOutcomes(now, call)
	}
}

// checkPendingAnswers discards answers that no frontend received. Otherwise their content would hold its connection to an
// endpoint forever.
func (c *Core) checkPendingAnswers(now time.Duration) {
	pending := c.pendingAnswers[:0]
	for _, answer := range c.pendingAnswers {
		if answer.received() {
			continue
		}
		if now-answer.deliveredAt >= answerTimeout {
			answer.overdueChecks++
		}
		if answer.overdueChecks < overdueChecksLimit {
			pending = append(pending, answer)
			continue
		}
		c.discardUnread(answer)
	}
	clear(c.pendingAnswers[len(pending):])
	c.pendingAnswers = pending
}

// discardUnread discards a pending answer, unless the frontend receives it at the same moment.
func (c *Core) discardUnread(answer pendingAnswer) {
	select {
	case unread := <-answer.answer:
		unread.discard()
		c.violations.Unread.Add(1)
	default:
	}
}

// checkPendingBody abandons a call whose body has stopped arriving. The call would otherwise stay in the table forever, because it
// has no deadline until BodyReceived.
func (c *Core) checkPendingBody(now time.Duration, call *Call) {
	if !call.BodyPending || call.Deadline != 0 || call.finished.Load() {
		return
	}
	if now-call.acceptedAt > c.config.UploadTimeout+outcomeGrace {
		c.violations.Unfinished.Add(1)
		c.abandonCall(call)
	}
}

// checkOutcomes ends those attempts of the call whose outcome is overdue. They end as timed out, which means that they may have
// been executed.
func (c *Core) checkOutcomes(now time.Duration, call *Call) {
	for attempt := call.inFlight; attempt != nil; {
		previous := attempt.previous // read first, because endAttempt unlinks the attempt
		if now > attempt.Deadline()+outcomeGrace {
			attempt.overdueChecks++
		}
		if attempt.overdueChecks >= overdueChecksLimit && attempt.reported.CompareAndSwap(false, true) {
			c.violations.Overdue.Add(1)
			c.endAttempt(attempt, outcomeWithoutContent(logic.TimedOut))
		}
		attempt = previous
	}
}
