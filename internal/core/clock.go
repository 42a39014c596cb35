package core

import "time"

// Clock turns times into the module's: durations since one epoch, by the monotonic clock. Steps of the time of day do not
// touch it.
type Clock struct {
	epoch     time.Time
	timeOfDay func() time.Time
}

// NewClock starts a second in, because 0 stands for "never" in the module.
func NewClock() Clock { return NewClockWith(time.Now) }

// NewClockWith is NewClock with another source for the time of day.
func NewClockWith(timeOfDay func() time.Time) Clock {
	return Clock{epoch: time.Now().Add(-time.Second), timeOfDay: timeOfDay}
}

// Now is the time on this clock.
func (c Clock) Now() time.Duration { return time.Since(c.epoch) }

// At is the time of day at a time on this clock.
func (c Clock) At(t time.Duration) time.Time { return c.epoch.Add(t) }

// FromUnix converts Unix milliseconds by the time of day as it is now; 0 stays 0, and nothing else becomes 0. After a step of
// the time of day the same milliseconds give another time: who compares times keeps the first.
func (c Clock) FromUnix(ms int64) time.Duration {
	if ms == 0 {
		return 0
	}
	if t := c.Now() - c.timeOfDay().Sub(time.UnixMilli(ms)); t != 0 {
		return t
	}
	return 1
}
