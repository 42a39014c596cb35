package core

import (
	"testing"
	"time"
)

// Start times come from another machine's clock, so a start can fall exactly on the epoch of this clock. It must not be converted to
// 0, because a start time of 0 means long ago.
func TestFromUnixMapsOnlyZeroToZero(t *testing.T) {
	clock := NewClock()
	if clock.FromUnix(0) != 0 {
		t.Error("0 was not converted to 0")
	}
	if got := clock.FromUnix(clock.epoch.UnixMilli() + 5000); got <= 4900*time.Millisecond || got > 5*time.Second {
		t.Errorf("5 s after the epoch was converted to %v", got)
	}
	if clock.FromUnix(1) >= 0 {
		t.Error("a start before the epoch was not converted to a negative time")
	}
	for range 1000 { // the two clocks are read one after the other, so that their difference is exactly 0 only in some iterations
		epoch := clock.epoch
		exact := Clock{epoch: epoch, timeOfDay: func() time.Time { return time.UnixMilli(77).Add(time.Since(epoch)) }}
		if exact.FromUnix(77) == 0 {
			t.Error("a start at the epoch was converted to 0")
		}
	}
	if clock.Now() <= 0 {
		t.Error("the clock does not start above 0")
	}
}
