package budget

import "time"

const (
	// latencyShedFactor is the factor by which the signalled overload reduces the allowed rate.
	latencyShedFactor = 3
	// minLatencyFraction is the smallest fraction of the allowed rate that remains while answers are late.
	minLatencyFraction = 0.3
	// latencySignalTTL is how long the signal is used after the last attempt has ended, in smoothed latencies.
	latencySignalTTL = 4
)

// SetLatencyOverload sets the latency signal: above 0, answers are late, and the value is the fraction of work to shed; from -1 to 0,
// answers are in time, and minus the value is how far they are below the latency at which work is shed, as a fraction of that latency.
//
// The signal covers queues at endpoints that reject nothing: latency shows them long before any rejection, or without one. The allowed
// rate falls at once by latencyShedFactor times the signal, and is restored as soon as answers are in time. As a decrease of the
// controller's rate it would take seconds to recover. While answers are early the controller's rate rises faster.
//
// The signal is ignored once no attempt has ended for latencySignalTTL smoothed latencies: an agent that sends nothing gets no new
// answers, and would keep its rate low indefinitely.
func (b *Budget) SetLatencyOverload(now time.Duration, overload float64) {
	b.advance(now)
	b.latencyFraction, b.controller.latencySlack = 1, 0
	ttl := max(minCounterAge, time.Duration(latencySignalTTL*float64(b.controller.latency)))
	// The counter is updated only when an attempt ends, so its last update is the end of the last attempt.
	if now-b.controller.ended.updatedAt > ttl {
		return
	}
	b.latencyFraction = max(minLatencyFraction, 1-latencyShedFactor*max(0, overload))
	b.controller.latencySlack = max(0, -overload)
}
