package core

import (
	"encoding/json"
	"sync/atomic"
	"time"

	"ryeweir/logic"
)

// Limits of the checks on fronts and upstreams.
const (
	boundaryCheckInterval = 500 * time.Millisecond
	// outcomeGrace is how long after its deadline an attempt's outcome, or the end of a pending body, is overdue.
	outcomeGrace = time.Second
	// answerTimeout is how long a front may take to receive an answer that is ready.
	answerTimeout = 2 * time.Second
	// overdueChecksLimit is how many checks must find something overdue before it is given up. The first check after a pause
	// of the process (SIGSTOP, a suspended machine) finds everything overdue at once; giving up then would discard answers whose
	// fronts are about to run. Until the next checks every goroutine has had its turn.
	overdueChecksLimit = 3
)

// ContractViolations counts where a front or an upstream did not fulfil its side of the contract. Each count should stay 0.
// Whatever happens, every attempt has one outcome and every call one answer.
type ContractViolations struct {
	ReportedTwice atomic.Int64 // outcomes reported after another, or after they were given up as overdue
	Unreported    atomic.Int64 // attempts that returned without an outcome
	Overdue       atomic.Int64 // attempts whose outcome did not come in time
	Unread        atomic.Int64 // answers that no front received
	Resubmitted   atomic.Int64 // calls that were submitted twice
	Unfinished    atomic.Int64 // calls whose pending body neither ended nor was abandoned
}

// MarshalJSON returns the counts in the form of the operators' metrics.
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

// ContractViolations returns the counts, which go on changing.
func (c *Core) ContractViolations() *ContractViolations { return &c.violations }

// checkBoundary publishes the loop's figures and gives up what fronts and upstreams have not done in time.
func (c *Core) checkBoundary() {
	now := c.clock.Now()
	c.config.OnEndpointCounts(c.endpointCount, c.balancer.Unavailable())
	c.publishBudgetStats()
	c.checkPendingAnswers(now)
	for _, call := range c.calls {
		c.checkPendingBody(now, call)
		c.checkOutcomes(now, call)
	}
}

// checkPendingAnswers discards answers that no front received. Their content would hold a connection to an endpoint for ever.
func (c *Core) checkPendingAnswers(now time.Duration) {
	pending := c.pendingAnswers[:0]
	for _, answer := range c.pendingAnswers {
		if answer.received() {
			continue
		}
		if now-answer.givenAt >= answerTimeout {
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

// discardUnread takes back an answer, unless the front receives it now.
func (c *Core) discardUnread(answer pendingAnswer) {
	select {
	case unread := <-answer.answer:
		unread.discard()
		c.violations.Unread.Add(1)
	default:
	}
}

// checkPendingBody abandons a call whose body stopped arriving. It would otherwise stay in the table for ever, as it has no
// deadline until BodyReceived.
func (c *Core) checkPendingBody(now time.Duration, call *Call) {
	if !call.BodyPending || call.Deadline != 0 || call.finished.Load() {
		return
	}
	if now-call.acceptedAt > c.config.UploadTimeout+outcomeGrace {
		c.violations.Unfinished.Add(1)
		c.abandonCall(call)
	}
}

// checkOutcomes gives up the call's attempts whose outcome is overdue. They are taken as timed out: they may have run.
func (c *Core) checkOutcomes(now time.Duration, call *Call) {
	for attempt := call.inFlight; attempt != nil; {
		previous := attempt.previous // endAttempt unlinks the attempt
		if now > attempt.Deadline()+outcomeGrace {
			attempt.overdueChecks++
		}
		if attempt.overdueChecks >= overdueChecksLimit && attempt.reported.CompareAndSwap(false, true) {
			c.violations.Overdue.Add(1)
			c.endAttempt(attempt, unanswered(logic.TimedOut))
		}
		attempt = previous
	}
}
