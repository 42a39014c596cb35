package budget

import "time"

const (
	// latencyShedFactor is how many times the reported overload is taken off the allowed rate.
	latencyShedFactor = 3
	// minLatencyFraction is the least part of the allowed rate that late answers leave.
	minLatencyFraction = 0.3
	// latencySignalTTL is for how many usual latencies after the last answer the signal stands.
	latencySignalTTL = 4
)

// SetLatencyOverload takes the signal that answers are late: above 0, the share of work to shed for it; below 0, to -1, how far
// answers are within their latency objective.
//
// It guards against queues that stand at endpoints which reject nothing: they show in latencies long before, or without, any
// rejection. The allowed rate falls at once by latencyShedFactor times the share and is back as soon as answers are in time. As a
// step of the controller it would take seconds to come back. Where answers are early the controller's rate rises faster.
//
// The signal is void once no attempt has ended for latencySignalTTL usual latencies: an agent that sends nothing learns nothing,
// and would hold its rate down for good.
func (b *Budget) SetLatencyOverload(now time.Duration, overload float64) {
	b.advance(now)
	b.latencyFraction, b.controller.latencySlack = 1, 0
	ttl := max(minCounterAge, time.Duration(latencySignalTTL*float64(b.controller.latency)))
	// The counter is read only as an attempt ends, so its last update is the end of the last attempt.
	if now-b.controller.ended.updatedAt > ttl {
		return
	}
	b.latencyFraction = max(minLatencyFraction, 1-latencyShedFactor*max(0, overload))
	b.controller.latencySlack = max(0, -overload)
}
