package core

import (
	"time"

	"ryeweir/internal/event"
	"ryeweir/logic"
)

// acceptCall takes in a submitted call. A second call under the id of one in progress is answered at once: outcomes are
// matched to calls by id, so it could receive the answer of the first.
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
	c.calls[call.ID] = call
	c.decide(logic.Request{
		ID:          call.ID,
		Class:       call.Class,
		Tenant:      call.Tenant,
		Key:         call.Key,
		Deadline:    call.Deadline,
		BodyPending: call.BodyPending,
	})
}

// answerUnaccepted answers a call that the module never sees.
func (c *Core) answerUnaccepted(call *Call, answer Answer) {
	call.finish(c.clock.Now())
	call.release()
	c.deliver(call, answer)
}

// receiveBody sets the deadline of a call whose message is complete. The call may be over by then, and its id may belong to
// another, which still waits for its own message.
func (c *Core) receiveBody(call *Call, at time.Duration) {
	if c.calls[call.ID] != call {
		return
	}
	call.Deadline = at + call.Timeout
	c.decide(logic.BodyReceived{Request: call.ID, Deadline: call.Deadline})
}

// abandonCall ends a call that no client waits for. If its answer was delivered meanwhile and not received, it is discarded.
func (c *Core) abandonCall(call *Call) {
	if !call.finished.Load() {
		call.finish(c.clock.Now())
		c.decide(logic.ClientDisconnected{Request: call.ID})
		c.forgetCall(call)
		return
	}
	select {
	case unread := <-call.answer:
		unread.discard()
	default:
	}
}

// finishCall answers a call. An answer to a call that is nil or finished is discarded: of two attempts that succeed only the
// first answers, and the client may have left.
func (c *Core) finishCall(call *Call, answer Answer) {
	if call == nil || call.finished.Load() {
		answer.discard()
		return
	}
	call.finish(c.clock.Now())
	if answer.Kind == Failed && call.neverExecuted() {
		// The module counts an attempt that waits for a connection as one that may have run. The claims say that none has.
		answer.Kind = Rejected
	}
	c.deliver(call, answer)
	c.forgetCall(call)
}

// forgetCall removes a finished call once no attempt at it is in flight. Until then it stays in the table: an outcome is
// still evidence about its endpoint, and the id is not free.
func (c *Core) forgetCall(call *Call) {
	if call.finished.Load() && call.inFlightCount == 0 && c.calls[call.ID] == call {
		delete(c.calls, call.ID)
		call.release()
	}
}

// deliver puts the answer where the front receives it.
func (c *Core) deliver(call *Call, answer Answer) {
	call.answer <- answer
	c.pendingAnswers = append(c.pendingAnswers, pendingAnswer{answer: call.answer, givenAt: c.clock.Now()})
}

// pendingAnswer is an answer that its front may not have received yet.
type pendingAnswer struct {
	answer        chan Answer
	givenAt       time.Duration
	overdueChecks int // checks of the boundary that found it overdue
}

// received reports whether the front has taken the answer.
func (p pendingAnswer) received() bool { return len(p.answer) == 0 }
