package fleetstate

import "time"

// Timestamp is the time of a hybrid logical clock (Kulkarni and others, Logical Physical Clocks, 2014): milliseconds of the time of
// day in the upper 48 bits and a counter in the lower 16. What an agent writes after it has received something is later than that,
// whatever the clocks of the two agents say.
type Timestamp uint64

const counterBits = 16

// timestampOf returns the first timestamp of a time of day.
func timestampOf(t time.Time) Timestamp { return Timestamp(max(0, t.UnixMilli())) << counterBits }

// Time returns the time of day of a timestamp, to the millisecond.
func (t Timestamp) Time() time.Time { return time.UnixMilli(int64(t >> counterBits)) }

// HybridClock gives out timestamps. Its zero value is ready for use.
type HybridClock struct{ last Timestamp }

// Next returns a timestamp later than all that were given out or observed.
func (c *HybridClock) Next(now time.Time) Timestamp {
	c.last = max(c.last+1, timestampOf(now))
	return c.last
}

// MaxClockSkew is how far another agent's clock may be ahead. It guards against one wrong clock, whose facts would outlive all
// later ones and which would drag every other clock along.
const MaxClockSkew = 5 * time.Second

// Observe takes in another agent's timestamp; false, and nothing changes, where it is too far ahead.
func (c *HybridClock) Observe(now time.Time, t Timestamp) bool {
	if t.Time().After(now.Add(MaxClockSkew)) {
		return false
	}
	c.last = max(c.last, t)
	return true
}
