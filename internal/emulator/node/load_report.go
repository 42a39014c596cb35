package node

import (
	"math/rand/v2"
	"time"
)

// LoadReport is a node's load as others see it.
type LoadReport struct {
	Taken       time.Duration // when it was measured
	Rate        float64       // requests completed a second
	Utilization float64       // share of its cores in use
}

// loadReports measures the load once a period, and shows each reading after its delay.
type loadReports struct {
	visible     reading
	pending     []reading // the oldest first
	coreSeconds float64   // in use since the last reading
	completed   int       // requests since the last reading
}

type reading struct {
	LoadReport
	visibleAt time.Duration
}

func (r *loadReports) latest() (LoadReport, bool) {
	return r.visible.LoadReport, r.visible.Taken > 0
}

// update shows readings whose delay is over, and takes one when it is due.
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
	r.pending = append(r.pending, reading{LoadReport{now, rate, utilization}, now + reporting.Delay})
	r.completed, r.coreSeconds = 0, 0
}

// noise draws a factor around 1 that is not below 0.
func noise(deviation float64, rng *rand.Rand) float64 {
	return max(0, 1+deviation*rng.NormFloat64())
}
