// Package fleetstate holds what the agents of a fleet tell each other of the servers: a replica of a few kinds of facts, each
// with a rule for copies that differ, a lifetime and a bound. It does no I/O and reads no clock: the time of day is given to
// it. internal/peers carries it between processes.
package fleetstate

import "time"

// Timestamp is a hybrid logical clock's time (Kulkarni and others, Logical Physical Clocks, 2014): milliseconds of the time of day
// in the upper 48 bits and a counter in the lower 16, so that what was told after something else was heard is stamped later,
// whatever the clocks of the two agents say.
type Timestamp uint64

const counterBits = 16

// stampOf is the first stamp of a time of day.
func stampOf(t time.Time) Timestamp { return Timestamp(max(0, t.UnixMilli())) << counterBits }

// Time is the time of day of a stamp, to the millisecond.
func (s Timestamp) Time() time.Time { return time.UnixMilli(int64(s >> counterBits)) }

// HybridClock gives out stamps. Its zero value is ready.
type HybridClock struct{ last Timestamp }

// Next is a stamp later than all that were given out or seen.
func (c *HybridClock) Next(now time.Time) Timestamp {
	c.last = max(c.last+1, stampOf(now))
	return c.last
}

// MaxClockSkew is how far another's clock may be ahead of ours: what is stamped later is refused, or one wrong clock would
// outlive all news and drag every other clock with it.
const MaxClockSkew = 5 * time.Second

// Observe takes in another's stamp; false where it is too far ahead.
func (c *HybridClock) Observe(now time.Time, s Timestamp) bool {
	if s.Time().After(now.Add(MaxClockSkew)) {
		return false
	}
	c.last = max(c.last, s)
	return true
}
