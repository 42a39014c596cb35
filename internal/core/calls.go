package core

import (
	"time"

	"ryeweir/internal/event"
	"ryeweir/logic"
)

// acceptCall adds a submitted call to the table and passes it to the balancer. A call with the id of one in progress is answered as
// a duplicate: because outcomes are matched to calls by id, it could receive the answer to the other call.
func (c *Core) acceptCall(call *Call) {
	if c.calls[call.ID] != nil {
		c.answerUnaccepted(call, Answer{Kind: Duplicate, Reason: event.DuplicateID})
		return
	}
	call.acceptedAt = c.clock.Now()
	c.callsAccepted.Add(1)
	if rejection, admitted := c.admit(call); !admitted {
		c.answerUnaccepted(call, rejection)
		return
	}
	if !c.claim(call) {
		c.answerUnaccepted(call, Answer{Kind: Duplicate, Reason: event.DuplicateID})
		return
	}
	c.calls[call.ID] = call
	c.handleEvent(logic.Request{
		ID:          call.ID,
		Class:       call.Class,
		Tenant:      call.Tenant,
		Key:         call.Key,
		Deadline:    call.Deadline,
		BodyPending: call.BodyPending,
	})
}

// claim reports whether a call may be executed: its class allows repeats, or no request with its id may have been executed before, here or in
// another process of the agent.
func (c *Core) claim(call *Call) bool {
	return c.config.Record == nil || !call.RepeatRestricted || c.config.Record.Claim(call.ID, call.IdempotencyWindow)
}

// settle ends the claim of a call that has no attempt in flight any more.
func (c *Core) settle(call *Call) {
	if c.config.Record != nil && call.RepeatRestricted {
		c.config.Record.Settle(call.ID, !call.neverExecuted())
	}
}

// answerUnaccepted answers a call that is not passed to the balancer.
func (c *Core) answerUnaccepted(call *Call, answer Answer) {
	call.finish(c.clock.Now())
	call.release()
	c.deliver(call, answer)
}

// receiveBody sets the deadline of a call whose message has arrived completely. It does nothing if that call has already ended. Its
// id may belong to another call by then, whose message is still arriving.
func (c *Core) receiveBody(call *Call, at time.Duration) {
	if c.calls[call.ID] != call {
		return
	}
	call.Deadline = at + call.Timeout
	c.handleEvent(logic.BodyReceived{Request: call.ID, Deadline: call.Deadline})
}

// expireUpload ends a call whose message is still arriving, as one whose deadline is now.
func (c *Core) expireUpload(call *Call) {
	if call.Deadline == 0 {
		c.receiveBody(call, c.clock.Now()-call.Timeout)
	}
}

// abandonCall ends a call for which no client is waiting. If the call has already been answered, an answer that the frontend has not
// received is discarded.
func (c *Core) abandonCall(call *Call) {
	if !call.finished.Load() {
		call.finish(c.clock.Now())
		c.handleEvent(logic.ClientDisconnected{Request: call.ID})
		c.removeFinishedCall(call)
		return
	}
	select {
	case unread := <-call.answer:
		unread.discard()
	default:
	}
}

// finishCall answers a call. If the call is nil or finished, the answer is discarded: another attempt may have succeeded first, or
// the client may have disconnected.
func (c *Core) finishCall(call *Call, answer Answer) {
	if call == nil || call.finished.Load() {
		answer.discard()
		return
	}
	call.finish(c.clock.Now())
	if answer.Kind == Failed && call.neverExecuted() {
		// For the balancer, an attempt that waits for a connection may have been executed. The withdrawn claims prove that none was.
		answer.Kind = Rejected
	}
	c.deliver(call, answer)
	c.removeFinishedCall(call)
}

// removeFinishedCall removes a call from the table if it is finished and has no attempt in flight. It stays until then because an
// outcome still says something about the endpoint and is matched to the call by id, so that the id can't be reused yet.
func (c *Core) removeFinishedCall(call *Call) {
	if call.finished.Load() && call.inFlightCount == 0 && c.calls[call.ID] == call {
		delete(c.calls, call.ID)
		c.settle(call)
		call.release()
	}
}

// deliver sends the answer to the channel from which the frontend receives it.
func (c *Core) deliver(call *Call, answer Answer) {
	call.answer <- answer
	c.pendingAnswers = append(c.pendingAnswers, pendingAnswer{answer: call.answer, deliveredAt: c.clock.Now()})
}

// pendingAnswer is an answer that the frontend may not have received yet.
type pendingAnswer struct {
	answer        chan Answer
	deliveredAt   time.Duration
	overdueChecks int // number of periodic checks that found it overdue
}

// received reports whether the frontend has received the answer.
func (p pendingAnswer) received() bool { return len(p.answer) == 0 }
