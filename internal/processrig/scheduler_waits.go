package processrig

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// SchedulerWaits holds how often the threads of this process were given a processor, and how long they waited for one in total. If
// the rig's own threads wait long, its measurements of the agents' latency are not reliable.
type SchedulerWaits struct {
	Times  int64
	Waited time.Duration
}

// ReadSchedulerWaits reads the kernel's counts for the present threads of this process. It returns zeros if the kernel does not count.
func ReadSchedulerWaits() (w SchedulerWaits) {
	files, _ := filepath.Glob("/proc/self/task/*/schedstat")
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		var ran, waited, times int64 // in nanoseconds, nanoseconds and a count
		if _, err := fmt.Sscan(string(text), &ran, &waited, &times); err == nil {
			w.Times, w.Waited = w.Times+times, w.Waited+time.Duration(waited)
		}
	}
	return w
}

// MeanSince returns the mean wait for a processor since an earlier reading, or 0 if no thread was given a processor since then. A thread
// that has ended in between takes its counts with it.
func (w SchedulerWaits) MeanSince(before SchedulerWaits) time.Duration {
	if times := w.Times - before.Times; times > 0 {
		return max(0, (w.Waited-before.Waited)/time.Duration(times))
	}
	return 0
}
