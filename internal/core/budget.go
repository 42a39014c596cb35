package core

import (
	"math"
	"time"

	"ryeweir/internal/budget"
	"ryeweir/internal/event"
)

// noQueueDelay is the value of minQueueDelay if no call has been accepted since QueueDelay was last called, or since the start.
const noQueueDelay = math.MaxInt64

// SetSelfOverloaded reports whether the agent itself is overloaded. It must be called periodically. If there is a budget, each call
// that reports overload lowers this agent's own rate in it, down to a minimum fraction, and each other call raises it again until it
// is back at the full rate (budget.Budget.SetSelfOverloaded). The fleet's rate follows only when the own rate is next sent to peers
// (budget.PeerState).
func (c *Core) SetSelfOverloaded(overloaded bool) { c.send(selfOverloadChanged{overloaded}) }

// QueueDelay returns the minimum time that calls waited for the loop since the last call of QueueDelay, or 0 if no call was
// accepted. The minimum identifies a standing queue, which delays every call. A pause of the process or a busy CPU core delays
// only the calls that arrive meanwhile. Without a budget the delay is not measured, and 0 is returned.
func (c *Core) QueueDelay() time.Duration {
	if delay := c.minQueueDelay.Swap(noQueueDelay); delay != noQueueDelay {
		return time.Duration(delay)
	}
	return 0
}

// ExchangePeerState passes the budget states received from peers, and the number of peers, to the budget, and returns the state
// of this agent. It returns false without a budget, or if the core has stopped.
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

// BudgetStats returns the statistics of the budget as the loop last published them. While calls are in progress it publishes
// them at least at each periodic check (every 500 ms).
func (c *Core) BudgetStats() budget.Stats {
	if stats := c.budgetStats.Load(); stats != nil {
		return *stats
	}
	return budget.Stats{AdmittedFraction: 1}
}

// admit asks the budget whether to admit a new call. Without a budget every call is admitted. A call that is not admitted is
// rejected at once, with the returned answer, because waiting would leave the client less time to try again.
func (c *Core) admit(call *Call) (rejection Answer, admitted bool) {
	if c.config.Budget == nil {
		return Answer{}, true
	}
	c.recordQueueDelay(call.acceptedAt - call.submittedAt)
	c.config.Budget.SetLatencyOverload(call.acceptedAt, c.balancer.OverloadLevel())
	priority := c.config.PriorityOrder.Priority(call.acceptedAt, call.Class, call.Tenant)
	decision := c.config.Budget.Admit(call.acceptedAt, priority)
	if decision.Admit {
		return Answer{}, true
	}
	return Answer{Kind: Rejected, Reason: event.BudgetShed, RetryAfter: decision.RetryAfter}, false
}

// recordQueueDelay updates the minimum queue delay. Only the loop calls it. If QueueDelay resets the minimum between the load and
// the store, one sample is counted in the wrong interval or lost, which the next call corrects.
func (c *Core) recordQueueDelay(delay time.Duration) {
	if int64(delay) < c.minQueueDelay.Load() {
		c.minQueueDelay.Store(int64(delay))
	}
}

// budgetAllows reports whether the budget permits an attempt. The first attempt needs no permission of its own: it was admitted
// with its call.
func (c *Core) budgetAllows(attempt *Attempt) bool {
	if c.config.Budget == nil || attempt.Number == 0 {
		return true
	}
	return c.config.Budget.AllowRetry(c.clock.Now())
}

// setSelfOverloaded tells the budget whether this agent is overloaded.
func (c *Core) setSelfOverloaded(overloaded bool) {
	if c.config.Budget == nil {
		return
	}
	c.config.Budget.SetSelfOverloaded(c.clock.Now(), overloaded)
	c.publishBudgetStats()
}

// exchangePeerStates passes the states of peers to the budget and returns the state of this agent.
func (c *Core) exchangePeerStates(states []budget.PeerState, peers int) budget.PeerState {
	c.config.Budget.UpdatePeers(c.clock.Now(), states, peers)
	own := c.config.Budget.PeerState(c.clock.Now())
	c.publishBudgetStats()
	return own
}

// publishBudgetStats stores a copy of the budget's statistics for BudgetStats.
func (c *Core) publishBudgetStats() {
	if c.config.Budget == nil {
		return
	}
	stats := c.config.Budget.Stats()
	c.budgetStats.Store(&stats)
}
