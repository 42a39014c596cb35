package node

import (
	"math/rand/v2"
	"time"
)

// LoadReport is the load that a node reports.
type LoadReport struct {
	Taken       time.Duration // when it was measured
	Rate        float64       // requests completed per second
	Utilization float64       // fraction of the cores in use
}

// loadReports measures the load once per LoadReporting.Period. A measurement becomes visible after LoadReporting.Delay.
type loadReports struct {
	visible     measurement
	pending     []measurement // oldest first
	coreSeconds float64       // core time used since the last measurement
	completed   int           // requests completed since the last measurement
}

type measurement struct {
	LoadReport
	visibleAt time.Duration
}

func (r *loadReports) latest() (LoadReport, bool) {
	return r.visible.LoadReport, r.visible.Taken > 0
}

// update makes the measurements visible whose delay has passed, and takes a new one if it is due.
func (r *loadReports) update(now time.Duration, cores int, reporting LoadReporting, rng *rand.Rand) {
	if reporting.Period <= 0 {
		return
	}
	for len(r.pending) > 0 && r.pending[0].visibleAt <= now {
		r.visible, r.pending = r.pending[0], r.pending[1:]
	}
	last := r.visible.Taken
	if len(r.pending) > 0 {
		last = r.pending[len(r.pending)-1].Taken
	}
	span := now - last
	if span < reporting.Period {
		return
	}
	rate := float64(r.completed) / span.Seconds() * noise(reporting.Noise, rng)
	utilization := min(1, r.coreSeconds/span.Seconds()/float64(cores)*noise(reporting.Noise, rng))
	r.pending = append(r.pending, measurement{LoadReport{now, rate, utilization}, now + reporting.Delay})
	r.completed, r.coreSeconds = 0, 0
}

// noise draws a random factor with mean 1, cut off at 0.
func noise(deviation float64, rng *rand.Rand) float64 {
	return max(0, 1+deviation*rng.NormFloat64())
}
