package budget

import (
	"math"
	"time"
)

// minCounterAge is the least age by which a decayingCounter is read: without it the first event would read as a rate of thousands.
const minCounterAge = 250 * time.Millisecond

// decayingCounter is an exponentially decaying count of events, read as events a second. While it is younger than its window it is
// read by its age, so that a new counter isn't biased towards 0. The first use, be it a read, starts its age.
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

// perSecond returns the rate of events a second.
func (c *decayingCounter) perSecond(now time.Duration) float64 {
	c.decay(now)
	age := float64(max(minCounterAge, now-c.startedAt)) / float64(c.window)
	return c.count / (c.window.Seconds() * (1 - math.Exp(-age)))
}
