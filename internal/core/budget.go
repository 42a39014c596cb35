package core

import (
	"math"
	"time"

	"ryeweir/internal/budget"
	"ryeweir/internal/event"
)

// noQueueDelay stands for the queue delay of an interval in which no call was accepted.
const noQueueDelay = math.MaxInt64

// SetSelfOverloaded reports whether the agent itself is overloaded. It is called at intervals; with a budget, the fleet's
// admission level falls while it is.
func (c *Core) SetSelfOverloaded(overloaded bool) { c.send(selfOverloadChanged{overloaded}) }

// QueueDelay returns the shortest time that a call waited for the loop since QueueDelay was last called, or 0 if none was
// accepted. It is the shortest because a standing queue delays every call, but a pause of the process or a busy core only
// those that arrived in it. Without a budget the delay is not measured.
func (c *Core) QueueDelay() time.Duration {
	if least := c.leastQueueDelay.Swap(noQueueDelay); least != noQueueDelay {
		return time.Duration(least)
	}
	return 0
}

// ExchangePeerState hands the budget states received from peers to the budget, with the number of peers that there are, and
// returns this agent's own. It returns false without a budget, or if the core has ended.
func (c *Core) ExchangePeerState(states []budget.PeerState, peers int) (budget.PeerState, bool) {
	if c.config.Budget == nil {
		return budget.PeerState{}, false
	}
	reply := make(chan budget.PeerState, 1)
	c.send(peerStatesExchanged{states, peers, reply})
	select {
	case own := <-reply:
		return own, true
	case <-c.done:
		return budget.PeerState{}, false
	}
}

// BudgetStats returns the figures of the fleet's budget as the loop last published them: at least at each check of the
// boundary while calls are in progress.
func (c *Core) BudgetStats() budget.Stats {
	if stats := c.budgetStats.Load(); stats != nil {
		return *stats
	}
	return budget.Stats{AdmittedFraction: 1}
}

// admit lets the budget decide on a new call. Without a budget every call is admitted. A call that is not is rejected now, with
// the returned answer: waiting would only shorten the time that is left to the client.
func (c *Core) admit(call *Call) (rejection Answer, admitted bool) {
	if c.config.Budget == nil {
		return Answer{}, true
	}
	c.recordQueueDelay(call.acceptedAt - call.submittedAt)
	c.config.Budget.SetLatencyOverload(call.acceptedAt, c.balancer.OverloadLevel())
	priority := c.config.PriorityOrder.Priority(call.acceptedAt, call.Class, call.Tenant)
	verdict := c.config.Budget.Admit(call.acceptedAt, priority)
	if verdict.Admit {
		return Answer{}, true
	}
	return Answer{Kind: Rejected, Reason: event.BudgetShed, RetryAfter: verdict.RetryAfter}, false
}

// recordQueueDelay lowers the shortest delay. Only the loop lowers it; a reset by QueueDelay between the two steps may lose one
// reading, which the next call makes up for.
func (c *Core) recordQueueDelay(delay time.Duration) {
	if int64(delay) < c.leastQueueDelay.Load() {
		c.leastQueueDelay.Store(int64(delay))
	}
}

// budgetAllows reports whether the fleet's budget permits an attempt. First attempts were admitted with their call.
func (c *Core) budgetAllows(attempt *Attempt) bool {
	if c.config.Budget == nil || attempt.Number == 0 {
		return true
	}
	return c.config.Budget.AllowRetry(c.clock.Now())
}

// setSelfOverloaded hands the agent's own overload to the budget.
func (c *Core) setSelfOverloaded(overloaded bool) {
	if c.config.Budget == nil {
		return
	}
	c.config.Budget.SetSelfOverloaded(c.clock.Now(), overloaded)
	c.publishBudgetStats()
}

// exchangePeerStates hands the peers' states to the budget and returns this agent's own.
func (c *Core) exchangePeerStates(states []budget.PeerState, peers int) budget.PeerState {
	c.config.Budget.UpdatePeers(c.clock.Now(), states, peers)
	own := c.config.Budget.PeerState(c.clock.Now())
	c.publishBudgetStats()
	return own
}

// publishBudgetStats makes the budget's figures available to BudgetStats.
func (c *Core) publishBudgetStats() {
	if c.config.Budget == nil {
		return
	}
	stats := c.config.Budget.Stats()
	c.budgetStats.Store(&stats)
}
