package budget

import (
	"math"
	"time"
)

// minCounterAge is the minimum age assumed when a decayingCounter is read. Without it the first event would be read as a rate of
// thousands a second.
const minCounterAge = 250 * time.Millisecond

// decayingCounter is an exponentially decaying count of events, read as events a second. While it is younger than its window, its age
// is taken into account, so that a new counter is not biased towards 0. The age starts at the first use, which may be a read.
type decayingCounter struct {
	window    time.Duration // time constant of the decay
	count     float64
	startedAt time.Duration // 0 before the first use
	updatedAt time.Duration
}

func newDecayingCounter(window time.Duration) decayingCounter {
	return decayingCounter{window: window}
}

func (c *decayingCounter) add(now time.Duration) {
	c.decay(now)
	c.count++
}

func (c *decayingCounter) decay(now time.Duration) {
	if c.startedAt == 0 {
		c.startedAt, c.updatedAt = now, now
	}
	if now > c.updatedAt {
		c.count *= math.Exp(-float64(now-c.updatedAt) / float64(c.window))
		c.updatedAt = now
	}
}

// perSecond returns the rate of events, events a second.
func (c *decayingCounter) perSecond(now time.Duration) float64 {
	c.decay(now)
	age := float64(max(minCounterAge, now-c.startedAt)) / float64(c.window)
	return c.count / (c.window.Seconds() * (1 - math.Exp(-age)))
}
