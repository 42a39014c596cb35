package core

import (
	"testing"
	"time"
)

// Start times come from another machine's clock. 0 means long ago, and a start that falls on the epoch of this clock must not
// be taken for that.
func TestFromUnixMapsOnlyZeroToZero(t *testing.T) {
	clock := NewClock()
	if clock.FromUnix(0) != 0 {
		t.Error("0 does not stay 0")
	}
	if got := clock.FromUnix(clock.epoch.UnixMilli() + 5000); got <= 4900*time.Millisecond || got > 5*time.Second {
		t.Errorf("5 s after the epoch is %v", got)
	}
	if clock.FromUnix(1) >= 0 {
		t.Error("a start before the epoch is not below 0")
	}
	for range 1000 { // the two clocks are read one after the other: now and then the sum is 0
		epoch := clock.epoch
		exact := Clock{epoch: epoch, timeOfDay: func() time.Time { return time.UnixMilli(77).Add(time.Since(epoch)) }}
		if exact.FromUnix(77) == 0 {
			t.Error("a start at the epoch became 0")
		}
	}
	if clock.Now() <= 0 {
		t.Error("the clock starts at 0")
	}
}
