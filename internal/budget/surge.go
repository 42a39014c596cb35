package budget

import (
	"math"
	"time"
)

const (
	// baselineWindow is the time constant of the baseline demand.
	baselineWindow = 10 * time.Second
	// A surge starts when the demand counted over AveragingWindow exceeds surgeStartFactor times the baseline (observe). It ends when
	// the recent demand, counted over recentWindow, is at most surgeEndFactor times the baseline (recoverFromSurge).
	surgeStartFactor = 2
	surgeEndFactor   = 1.25
	// noiseDeviations is the number of standard deviations of a count that are attributed to chance.
	noiseDeviations = 2
)

// surgeDetector detects demand far above what the rate covered before. Its zero value is ready for use.
type surgeDetector struct {
	baseline    float64       // demand while the rate covered all of it, smoothed, requests a second
	observedFor time.Duration // how long the baseline was observed, up to baselineWindow
	active      bool          // a surge is in progress
}

// observe updates the detector with the demand and the rate, requests a second. elapsed is the time since the last call and may be 0.
func (s *surgeDetector) observe(elapsed time.Duration, demand, rate float64) {
	switch {
	case demand <= rate && elapsed > 0:
		s.observedFor = min(baselineWindow, s.observedFor+elapsed)
		s.baseline += min(1, float64(elapsed)/float64(s.observedFor)) * (demand - s.baseline)
	case s.hasBaseline() && demand > surgeStartFactor*s.baseline:
		s.active = true
	}
}

func (s *surgeDetector) hasBaseline() bool { return s.observedFor >= minObservation }

// withinPoissonNoise reports whether the difference between the mean demand and the recent demand, counted over recentWindow, may be
// chance, given that arrivals are a Poisson process. Both are in requests a second.
func withinPoissonNoise(mean, recent float64) bool {
	expected := mean * recentWindow.Seconds()
	return math.Abs(recent-mean)*recentWindow.Seconds() <= noiseDeviations*math.Sqrt(expected)+1
}
