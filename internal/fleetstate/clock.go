package fleetstate

import "time"

// Timestamp is the time of a hybrid logical clock (Kulkarni et al., "Logical Physical Clocks", 2014): milliseconds of the time of day in
// the upper 48 bits and a counter in the lower 16. A timestamp that an agent creates is later than all timestamps that it has received
// before, even if the clocks of the agents differ.
type Timestamp uint64

const counterBits = 16

// timestampOf returns the first timestamp of the millisecond of t.
func timestampOf(t time.Time) Timestamp { return Timestamp(max(0, t.UnixMilli())) << counterBits }

// Time returns the time of day of a timestamp, to the millisecond.
func (t Timestamp) Time() time.Time { return time.UnixMilli(int64(t >> counterBits)) }

// HybridClock creates timestamps. Its zero value is ready for use.
type HybridClock struct{ last Timestamp }

// Next returns a timestamp later than all that were created or observed before.
func (c *HybridClock) Next(now time.Time) Timestamp {
	c.last = max(c.last+1, timestampOf(now))
	return c.last
}

// MaxClockSkew is how far the clock of another agent may be ahead. It guards against a single wrong clock, whose facts would otherwise
// win over all later ones and expire after them, and which would move the clocks of all other agents forward.
const MaxClockSkew = 5 * time.Second

// Observe advances the clock to another agent's timestamp. It returns false and changes nothing if that is too far ahead.
func (c *HybridClock) Observe(now time.Time, t Timestamp) bool {
	if t.Time().After(now.Add(MaxClockSkew)) {
		return false
	}
	c.last = max(c.last, t)
	return true
}
