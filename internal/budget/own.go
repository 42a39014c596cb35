package budget

import "time"

// SelfLimits is from when on the agent itself counts as over. A limit of 0 is none.
type SelfLimits struct {
	QueueDelay time.Duration // of a request for the loop that decides
	CPU        float64       // share of the cores that it may use
	Memory     float64       // share of the memory that it may use
}

// SelfLoad is how an agent did over a while.
type SelfLoad struct {
	QueueDelay time.Duration // the least of a request for the loop, 0 where none came
	CPU        float64       // processor time used, as a share of what its cores could give
	Memory     float64       // held at present, as a share of its limit
}

// Exceeded says what an agent is over in, or nothing.
func (o SelfLimits) Exceeded(l SelfLoad) string {
	switch {
	case o.QueueDelay > 0 && l.QueueDelay > o.QueueDelay:
		return "wait"
	case o.CPU > 0 && l.CPU > o.CPU:
		return "cpu"
	case o.Memory > 0 && l.Memory > o.Memory:
		return "memory"
	}
	return ""
}

const (
	pressed  = 0.9 // what is let through falls to this part of itself at each look at which the agent is over, and rises back likewise
	leastOwn = 0.3 // of the level is let through all the same: refusing costs an agent three tenths of what serving does, so less brings little
)

// SetSelfOverloaded says at each look whether the agent itself has more to do than it can. It is a factor beside the level, which the nodes'
// answers move: those say nothing of the agent, and an agent that was over while it had few of them would come back only by as many.
func (b *Budget) SetSelfOverloaded(now time.Duration, over bool) {
	b.advance(now)
	if !over {
		b.own = min(1, b.own/pressed)
		return
	}
	b.figs.SelfOverloads++
	b.own = max(leastOwn, b.own*pressed)
}

// rate is what this agent's level lets through, requests a second.
func (b *Budget) rate() float64 { return b.own * b.level.rate }

// SetLatencyOverload says how late answers are: the share of work of mean worth to refuse for it or, below 0, how far from late, at most -1. What is let through
// falls by jamTimes as much, to leastJam of itself, and is back as soon as answers are in time: they say at once that queues
// stand at the nodes, also where these turn nothing away, and where none does the level rises the faster. While no answer comes they say nothing.
func (b *Budget) SetLatencyOverload(now time.Duration, share float64) {
	b.advance(now)
	b.jam, b.level.slack = 1, 0
	if now-b.level.ended.last <= max(youngest, time.Duration(jamFresh*float64(b.level.took))) {
		b.jam = max(leastJam, 1-jamTimes*max(0, share))
		b.level.slack = max(0, -share)
	}
}

const (
	jamTimes = 3
	leastJam = 0.3
	jamFresh = 4 // times the time to an answer
)
