package budget

import "time"

// SelfLimits are the limits above which the agent itself counts as overloaded. A limit of 0 is not checked.
type SelfLimits struct {
	QueueDelay time.Duration // time for which a request waits for the event loop
	CPU        float64       // used fraction of the cores, 0 to 1
	Memory     float64       // used fraction of the memory limit, 0 to 1
}

// SelfLoad is an agent's load over an interval.
type SelfLoad struct {
	// QueueDelay is the minimum time for which a request waited for the event loop; 0 if no request arrived. It is the minimum and not
	// the mean, because a short stall delays some requests and only a standing queue delays all.
	QueueDelay time.Duration
	CPU        float64 // as in SelfLimits
	Memory     float64 // as in SelfLimits, at the end of the interval
}

// Exceeded returns the name of the first limit that the load exceeds: "wait", "cpu" or "memory"; empty for none.
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
	// selfOverloadFactor is the factor on the rate at each call that reports overload; a call that reports none divides by it.
	selfOverloadFactor = 0.9
	// minSelfFraction is the smallest fraction of the rate that remains. Rejecting a request costs the agent three tenths of what
	// serving it does, so a lower fraction would free little.
	minSelfFraction = 0.3
)

// SetSelfOverloaded reports whether the agent itself is overloaded. It is called at regular intervals.
//
// It prevents requests from timing out inside the agent: requests beyond its capacity are better shed at once by priority than late and
// at random. It is a factor separate from the controller's rate, because the outcomes of attempts say nothing about the agent's own
// load. The controller raises its rate only with outcomes, so an agent that was overloaded while it had few attempts would recover only
// as slowly as those come in.
func (b *Budget) SetSelfOverloaded(now time.Duration, overloaded bool) {
	b.advance(now)
	if !overloaded {
		b.selfFraction = min(1, b.selfFraction/selfOverloadFactor)
		return
	}
	b.stats.SelfOverloads++
	b.selfFraction = max(minSelfFraction, b.selfFraction*selfOverloadFactor)
}
