package core

import (
	"container/heap"
	"context"
	"math"
	"time"

	"ryeweir/logic"
)

// never is a time on the core's clock beyond the life of any process. It is half of the largest duration, so that adding to
// it does not overflow.
const never = time.Duration(math.MaxInt64 / 2)

// Run handles messages until the context ends, and returns when all attempts and health checks have. It is called once.
func (c *Core) Run(ctx context.Context) {
	defer c.attempts.Wait()
	defer close(c.done)
	c.ctx = ctx
	c.execute(c.balancer.Start(c.clock.Now()))
	c.scheduleBoundaryCheck()
	wake := time.NewTimer(0)
	defer wake.Stop()
	var wakeAt time.Duration // what wake is set for; 0 once it has fired
	for {
		if next := c.nextWake(); next != wakeAt {
			wakeAt = next
			wake.Reset(next - c.clock.Now())
		}
		select {
		case <-ctx.Done():
			return
		case m := <-c.messages:
			c.fireTimers()
			c.handle(m)
		case <-wake.C:
			wakeAt = 0
			c.fireTimers()
		}
	}
}

// nextWake returns when the loop must run without a message. While no call is in progress no timer matters: what falls due is
// done before the next message, and an idle process does not wake up.
func (c *Core) nextWake() time.Duration {
	if !c.idle() {
		return c.timers[0].due
	}
	for len(c.pendingAnswers) > 0 && c.pendingAnswers[0].received() {
		c.pendingAnswers = c.pendingAnswers[1:]
	}
	if len(c.pendingAnswers) > 0 {
		return max(c.pendingAnswers[0].givenAt+answerTimeout, c.clock.Now()) + boundaryCheckInterval
	}
	return never
}

// idle reports whether nothing is in progress.
func (c *Core) idle() bool { return len(c.calls) == 0 && c.balancer.Idle() }

// fireTimers handles every timer that is due.
func (c *Core) fireTimers() {
	for len(c.timers) > 0 && c.timers[0].due <= c.clock.Now() {
		due := heap.Pop(&c.timers).(timer)
		if !due.boundaryCheck {
			c.decide(logic.TimerFired{Token: due.token})
			continue
		}
		c.checkBoundary()
		c.scheduleBoundaryCheck()
	}
}

// scheduleBoundaryCheck sets the timer of the next check.
func (c *Core) scheduleBoundaryCheck() {
	heap.Push(&c.timers, timer{due: c.clock.Now() + boundaryCheckInterval, boundaryCheck: true})
}

// handle dispatches one message.
func (c *Core) handle(m message) {
	switch m := m.(type) {
	case callSubmitted:
		c.acceptCall(m.call)
	case bodyReceived:
		c.receiveBody(m.call, m.at)
	case callAbandoned:
		c.abandonCall(m.call)
	case attemptEnded:
		c.endAttempt(m.attempt, m.outcome)
	case endpointsUpdated:
		c.applyEndpoints(m.list)
	case discoveryUnavailable:
		c.decide(logic.DiscoveryUnavailable{})
	case healthChecked:
		c.decide(m.HealthChecked)
	case peerReported:
		c.decide(m.PeerReport)
	case selfOverloadChanged:
		c.setSelfOverloaded(m.overloaded)
	case peerStatesExchanged:
		m.reply <- c.exchangePeerStates(m.states, m.peers)
	case knowledgeRequested:
		m.reply <- c.balancer.Knowledge(c.clock.Now())
	case shutdownRequested:
		c.decide(logic.Shutdown{})
	}
}

// decide hands an event to the module and executes what it decides.
func (c *Core) decide(ev logic.Event) { c.execute(c.balancer.Handle(c.clock.Now(), ev)) }

// execute carries out the module's actions in order.
func (c *Core) execute(actions []logic.Action) {
	for _, action := range actions {
		switch action.Kind {
		case logic.Send:
			c.startAttempt(action)
		case logic.Reject:
			c.finishCall(c.calls[action.Request], Answer{Kind: Rejected, Reason: decisionReasons[action.Reason], RetryAfter: action.Delay})
		case logic.Fail:
			c.finishCall(c.calls[action.Request], Answer{Kind: Failed, Reason: decisionReasons[action.Reason], RetryAfter: action.Delay})
		case logic.SetTimer:
			heap.Push(&c.timers, timer{due: c.clock.Now() + action.Delay, token: action.Token})
		case logic.Subscribe:
			c.config.Subscribe()
		case logic.HealthCheck:
			c.startHealthCheck(action.Endpoint)
		}
	}
}
