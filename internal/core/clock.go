package core

import "time"

// Clock measures time as the decision module does: in durations since an epoch, by the monotonic clock. Steps of the time of
// day do not affect it.
type Clock struct {
	epoch     time.Time
	timeOfDay func() time.Time
}

// NewClock returns a clock that reads one second now, because 0 stands for "never" in the module.
func NewClock() Clock { return NewClockWith(time.Now) }

// NewClockWith is NewClock with another source for the time of day.
func NewClockWith(timeOfDay func() time.Time) Clock {
	return Clock{epoch: time.Now().Add(-time.Second), timeOfDay: timeOfDay}
}

// Now returns the time on this clock.
func (c Clock) Now() time.Duration { return time.Since(c.epoch) }

// At returns the point in time (with a monotonic reading) for a time on this clock.
func (c Clock) At(t time.Duration) time.Time { return c.epoch.Add(t) }

// FromUnix converts Unix milliseconds to this clock, by the time of day as it is now. 0 stays 0, and nothing else becomes 0.
// After a step of the time of day the same milliseconds give another result: a caller that compares such times must hold on
// to the first.
func (c Clock) FromUnix(milliseconds int64) time.Duration {
	if milliseconds == 0 {
		return 0
	}
	if t := c.Now() - c.timeOfDay().Sub(time.UnixMilli(milliseconds)); t != 0 {
		return t
	}
	return 1
}
