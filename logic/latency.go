package logic

import "time"

// baselineLatency is the mean latency of the answers of each class, in nanoseconds, by class index. It is
// what an answer usually takes: lateness of an attempt and the cost of a request are measured by it.
type baselineLatency []float64

// initialBaseline is the baseline of a class before its first answer.
func initialBaseline(c Class) float64 { return float64(c.LatencyObjective) / 4 }

// observe takes the latency of an answer.
func (l baselineLatency) observe(class int, latency time.Duration) {
	l[class] += averageSampleWeight * (float64(latency) - l[class])
}
