package processrig

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// SchedulerWaits is how often the threads of this process were given a processor, and how long they waited for one in all.
type SchedulerWaits struct {
	Times  int64
	Waited time.Duration
}

// ReadSchedulerWaits reads what the kernel has counted for the threads that there are now; nothing where it does not count.
func ReadSchedulerWaits() (w SchedulerWaits) {
	files, _ := filepath.Glob("/proc/self/task/*/schedstat")
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			continue // the thread has ended meanwhile
		}
		var ran, waited, times int64
		if _, err := fmt.Sscan(string(text), &ran, &waited, &times); err == nil {
			w.Times, w.Waited = w.Times+times, w.Waited+time.Duration(waited)
		}
	}
	return w
}

// MeanSince is the mean wait for a processor since an earlier reading.
func (w SchedulerWaits) MeanSince(before SchedulerWaits) time.Duration {
	if times := w.Times - before.Times; times > 0 {
		return max(0, (w.Waited-before.Waited)/time.Duration(times))
	}
	return 0
}
