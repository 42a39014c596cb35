package connlimit

import (
	"testing"
	"time"
)

// The kernel's clock must be trusted once it has agreed with that of the process, and never where a process runs in another time than the kernel.
func TestKernelClockIsTrustedOnlyIfItAgrees(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		factor float64 // the kernel's time over that of the process
		gap    time.Duration
		want   bool
	}{
		"the same time":           {1, time.Second, true},
		"a kernel that is faster": {5, time.Second, false},
		"a kernel that tells 0":   {0, time.Second, false},
		"too short to tell":       {1, minCompared / 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			var clock clockCheck
			for range 2 * minAgreed {
				clock.compare(time.Duration(c.factor*float64(c.gap)), now, now.Add(-c.gap))
			}
			if got := clock.trusted(); got != c.want {
				t.Errorf("trusted: %v, want %v", got, c.want)
			}
		})
	}
}
