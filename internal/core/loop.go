package core

import (
	"container/heap"
	"context"
	"math"
	"time"

	"ryeweir/logic"
)

// never is a time on the core's clock that no process reaches. It is half of the largest duration, so that additions to it do not
// overflow.
const never = time.Duration(math.MaxInt64 / 2)

// Run handles messages until the context ends, then waits for all attempts and health checks to end. It must be called only once.
func (c *Core) Run(ctx context.Context) {
	defer c.attempts.Wait()
	defer close(c.done)
	c.ctx = ctx
	c.execute(c.balancer.Start(c.clock.Now()))
	c.schedulePeriodicCheck()
	wake := time.NewTimer(0)
	defer wake.Stop()
	var wakeAt time.Duration // when wake fires; 0 once it has fired
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
			c.handleMessage(m)
		case <-wake.C:
			wakeAt = 0
			c.fireTimers()
		}
	}
}

// nextWake returns when the loop must run even if no message arrives. While it is idle, timers may fire late, just before the next
// message is handled, so that an idle process does not wake up for them. It wakes up only to check answers that are not received.
func (c *Core) nextWake() time.Duration {
	if !c.idle() {
		return c.timers[0].due
	}
	for len(c.pendingAnswers) > 0 && c.pendingAnswers[0].received() {
		c.pendingAnswers = c.pendingAnswers[1:]
	}
	if len(c.pendingAnswers) > 0 {
		return max(c.pendingAnswers[0].deliveredAt+answerTimeout, c.clock.Now()) + periodicCheckInterval
	}
	return never
}

// idle reports whether no call is in progress and the balancer has no work.
func (c *Core) idle() bool { return len(c.calls) == 0 && c.balancer.Idle() }

// fireTimers handles all timers that are due.
func (c *Core) fireTimers() {
	for len(c.timers) > 0 && c.timers[0].due <= c.clock.Now() {
		due := heap.Pop(&c.timers).(timer)
		if !due.isPeriodicCheck {
			c.reportResponsesUnderWay(waitsOverAt(c.clock.Now()))
			c.handleEvent(logic.TimerFired{Token: due.token})
			continue
		}
		c.periodicCheck()
		c.schedulePeriodicCheck()
	}
}

// schedulePeriodicCheck sets the timer for the next periodic check.
func (c *Core) schedulePeriodicCheck() {
	heap.Push(&c.timers, timer{due: c.clock.Now() + periodicCheckInterval, isPeriodicCheck: true})
}

// handleMessage calls the handler for the type of the message.
func (c *Core) handleMessage(m message) {
	switch m := m.(type) {
	case callSubmitted:
		c.acceptCall(m.call)
	case bodyReceived:
		c.receiveBody(m.call, m.at)
	case uploadExpired:
		c.expireUpload(m.call)
	case callAbandoned:
		c.abandonCall(m.call)
	case attemptEnded:
		c.endAttempt(m.attempt, m.outcome)
	case endpointsUpdated:
		c.applyEndpoints(m.list)
	case discoveryUnavailable:
		c.handleEvent(logic.DiscoveryUnavailable{})
	case healthChecked:
		c.handleEvent(m.HealthChecked)
	case peerReported:
		c.handleEvent(m.PeerReport)
	case selfOverloadChanged:
		c.setSelfOverloaded(m.overloaded)
	case peerStatesExchanged:
		m.reply <- c.exchangePeerStates(m.states, m.peers)
	case knowledgeRequested:
		m.reply <- c.balancer.Knowledge(c.clock.Now())
	case shutdownRequested:
		c.reportResponsesUnderWay(allWaitsOver)
		c.handleEvent(logic.Shutdown{})
	}
}

// handleEvent passes an event to the balancer and executes the actions that it returns.
func (c *Core) handleEvent(ev logic.Event) { c.execute(c.balancer.Handle(c.clock.Now(), ev)) }

// execute executes the balancer's actions in order.
func (c *Core) execute(actions []logic.Action) {
	for _, action := range actions {
		switch action.Kind {
		case logic.Send:
			c.startAttempt(action)
		case logic.Reject:
			c.finishCall(c.calls[action.Request], Answer{Kind: Rejected, Reason: decisionReasons[action.Reason], RetryAfter: action.Delay})
		case logic.Fail:
			c.finishCall(c.calls[action.Request], Answer{Kind: Failed, Reason: decisionReasons[action.Reason], RetryAfter: action.Delay})
		case logic.Forward:
			c.forward(action)
		case logic.SetTimer:
			heap.Push(&c.timers, timer{due: c.clock.Now() + action.Delay, token: action.Token})
		case logic.Subscribe:
			c.config.Subscribe()
		case logic.HealthCheck:
			c.startHealthCheck(action.Endpoint)
		}
	}
}
