package processrig

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// SchedulerWaits are how often the threads of this process were given a processor, and how long they waited for one in all. A rig
// whose own threads wait for long can't judge how quickly agents answer.
type SchedulerWaits struct {
	Times  int64
	Waited time.Duration
}

// ReadSchedulerWaits reads what the kernel has counted for the present threads. It returns zeros where the kernel does not count.
func ReadSchedulerWaits() (w SchedulerWaits) {
	files, _ := filepath.Glob("/proc/self/task/*/schedstat")
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		var ran, waited, times int64 // nanoseconds, nanoseconds, count
		if _, err := fmt.Sscan(string(text), &ran, &waited, &times); err == nil {
			w.Times, w.Waited = w.Times+times, w.Waited+time.Duration(waited)
		}
	}
	return w
}

// MeanSince returns the mean wait for a processor since an earlier reading; 0 where there was none.
func (w SchedulerWaits) MeanSince(before SchedulerWaits) time.Duration {
	if times := w.Times - before.Times; times > 0 {
		return max(0, (w.Waited-before.Waited)/time.Duration(times))
	}
	return 0
}
