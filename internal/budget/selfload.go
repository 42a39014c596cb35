package budget

import "time"

// SelfLimits is the load from which on the agent itself is overloaded. A limit of 0 is none.
type SelfLimits struct {
	QueueDelay time.Duration // that a request waits for the event loop
	CPU        float64       // used share of the cores, 0 to 1
	Memory     float64       // used share of the memory limit, 0 to 1
}

// SelfLoad is an agent's load over an interval.
type SelfLoad struct {
	// QueueDelay is the least that a request waited for the event loop, 0 where none came. The least and not the mean: a short
	// stall delays some requests, only a standing queue delays all.
	QueueDelay time.Duration
	CPU        float64 // as in SelfLimits
	Memory     float64 // as in SelfLimits, at the end of the interval
}

// Exceeded names the first limit that a load is over: "wait", "cpu" or "memory"; empty for none.
func (limits SelfLimits) Exceeded(load SelfLoad) string {
	switch {
	case limits.QueueDelay > 0 && load.QueueDelay > limits.QueueDelay:
		return "wait"
	case limits.CPU > 0 && load.CPU > limits.CPU:
		return "cpu"
	case limits.Memory > 0 && load.Memory > limits.Memory:
		return "memory"
	}
	return ""
}

const (
	// selfOverloadFactor is what is left of the admitted rate at each call that finds the agent overloaded; it rises by the inverse.
	selfOverloadFactor = 0.9
	// minSelfFraction is the least part of the rate that is left. Rejecting costs an agent three tenths of what serving does,
	// so a lower part would free little.
	minSelfFraction = 0.3
)

// SetSelfOverloaded says, at regular intervals, whether the agent itself has more to do than it can.
//
// It guards against requests that time out within the agent: what it can't carry is better shed by priority at once than late and
// at random. It is a factor beside the controller's rate, as attempts' outcomes say nothing of the agent: an agent that was
// overloaded while it had few of them would come back only by as many.
func (b *Budget) SetSelfOverloaded(now time.Duration, overloaded bool) {
	b.advance(now)
	if !overloaded {
		b.selfFraction = min(1, b.selfFraction/selfOverloadFactor)
		return
	}
	b.stats.SelfOverloads++
	b.selfFraction = max(minSelfFraction, b.selfFraction*selfOverloadFactor)
}
