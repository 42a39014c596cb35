package budget

import (
	"math"
	"time"
)

const (
	// baselineWindow is the time constant of the baseline.
	baselineWindow = 10 * time.Second
	// surgeStartFactor times the baseline begins a surge, surgeEndFactor times it ends one.
	surgeStartFactor = 2
	surgeEndFactor   = 1.25
	// surgeDeviations is how many standard deviations of a count are taken for chance.
	surgeDeviations = 2
)

// surgeDetector finds demand far above what was covered before. Its zero value is ready for use.
type surgeDetector struct {
	baseline    float64       // demand while the rate covered all of it, smoothed, requests a second
	observedFor time.Duration // how long that was, up to baselineWindow
	active      bool          // a surge is under way
}

// observe takes the demand and the rate, requests a second, after an elapsed time, which may be 0.
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

// withinChance reports whether chance alone may bring a recent demand, counted over recentWindow, where another is expected, both
// requests a second: arrivals are taken for a Poisson process.
func withinChance(mean, recent float64) bool {
	expected := mean * recentWindow.Seconds()
	return math.Abs(recent-mean)*recentWindow.Seconds() <= surgeDeviations*math.Sqrt(expected)+1
}
