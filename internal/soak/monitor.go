package soak

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// watchLag measures the most by which a sleep in this process ends late. Recorded times cannot be more precise than that.
func (r *soakRun) watchLag(ctx context.Context) {
	const step = 5 * time.Millisecond
	for ctx.Err() == nil {
		before := monotonic()
		time.Sleep(step)
		if late := monotonic() - before - step; int64(late) > r.lag.Load() {
			r.lag.Store(int64(late))
		}
	}
}

// monitorAgents scrapes the metrics of the agents every scrapeInterval, and reports an agent that uses more than 90% of a core in five such
// intervals in a row.
func (r *soakRun) monitorAgents(ctx context.Context) {
	before := map[int]time.Duration{}
	spins := map[int]int{}
	for ctx.Err() == nil {
		began := monotonic()
		sleep(ctx, scrapeInterval)
		for i, a := range r.agents {
			a.mu.Lock()
			pid := a.child.cmd.Process.Pid
			a.mu.Unlock()
			now := cpuTime(pid)
			if was, known := before[pid]; known && float64(now-was) > 0.9*float64(monotonic()-began) {
				if spins[i]++; spins[i] == 5 {
					r.reportViolation("spin", "agent %d used more than 0.9 cores for %v", i, 5*scrapeInterval)
				}
			} else {
				spins[i] = 0
			}
			before[pid] = now
			go a.scrapeMetrics()
		}
	}
}

// residentBytes returns the resident memory of a process in bytes, or 0 if it cannot be read.
func residentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// cpuTime returns the CPU time that a process has used so far, or 0 if it cannot be read.
func cpuTime(pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond // the kernel counts in ticks of 1/100 s
}
