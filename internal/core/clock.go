package core

import "time"

// Clock gives the time as the balancer uses it: a duration since an epoch, measured by the monotonic clock. Steps of the
// wall clock do not affect it.
type Clock struct {
	epoch     time.Time
	timeOfDay func() time.Time
}

// NewClock returns a clock that starts at one second, because the balancer takes the time 0 as "never".
func NewClock() Clock { return NewClockWith(time.Now) }

// NewClockWith is like NewClock, but reads the wall clock by timeOfDay.
func NewClockWith(timeOfDay func() time.Time) Clock {
	return Clock{epoch: time.Now().Add(-time.Second), timeOfDay: timeOfDay}
}

// Now returns the time on this clock.
func (c Clock) Now() time.Duration { return time.Since(c.epoch) }

// At converts a time on this clock to a time.Time with a monotonic reading.
func (c Clock) At(t time.Duration) time.Time { return c.epoch.Add(t) }

// FromUnix converts Unix milliseconds to a time on this clock, using the present offset to the wall clock. It returns 0 for 0
// and for no other value. After a step of the wall clock the same milliseconds give a different result, so a caller that
// compares such times must keep the first result.
func (c Clock) FromUnix(milliseconds int64) time.Duration {
	if milliseconds == 0 {
		return 0
	}
	if t := c.Now() - c.timeOfDay().Sub(time.UnixMilli(milliseconds)); t != 0 {
		return t
	}
	return 1
}
