package logic

import "time"

// baselineLatency is the mean latency of the responses of each class, in nanoseconds, by class index. The
// lateness of an attempt and the cost of a request are measured relative to it.
type baselineLatency []float64

// initialBaseline is the baseline of a class before its first response.
func initialBaseline(c Class) float64 { return float64(c.LatencyObjective) / 4 }

// observe updates the mean with the latency of a response.
func (l baselineLatency) observe(class int, latency time.Duration) {
	l[class] += movingAverageWeight * (float64(latency) - l[class])
}
