package core

import "time"

// Clock turns times into the module's: durations since one epoch, by the monotonic clock.
type Clock struct {
	epoch time.Time
	wall  time.Time // the time of day at the epoch
}

// NewClock starts a second in, because 0 stands for "never" in the module.
func NewClock() Clock { return NewClockWith(time.Now) }

// NewClockWith is NewClock with another source for the time of day.
func NewClockWith(timeOfDay func() time.Time) Clock {
	return Clock{epoch: time.Now().Add(-time.Second), wall: timeOfDay().Add(-time.Second)}
}

// Now is the time on this clock.
func (c Clock) Now() time.Duration { return time.Since(c.epoch) }

// At is the time of day at a time on this clock.
func (c Clock) At(t time.Duration) time.Time { return c.epoch.Add(t) }

// FromUnix converts Unix milliseconds; 0 stays 0, and nothing else becomes 0.
func (c Clock) FromUnix(ms int64) time.Duration {
	if ms == 0 {
		return 0
	}
	if t := time.UnixMilli(ms).Sub(c.wall); t != 0 {
		return t
	}
	return 1
}
