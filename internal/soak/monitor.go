package soak

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// watchLag notes how late this process itself is: no time in the account is more exact than that.
func (p *soakRun) watchLag(ctx context.Context) {
	const step = 5 * time.Millisecond
	for ctx.Err() == nil {
		before := monotonic()
		time.Sleep(step)
		if late := monotonic() - before - step; int64(late) > p.lag.Load() {
			p.lag.Store(int64(late))
		}
	}
}

// monitorAgents looks at the agents' own counts, and at processes that take all of their processor time.
func (p *soakRun) monitorAgents(ctx context.Context) {
	before := map[int]time.Duration{}
	spins := map[int]int{}
	for ctx.Err() == nil {
		began := monotonic()
		sleep(ctx, scrapeInterval)
		for i, a := range p.agents {
			a.mu.Lock()
			pid := a.child.cmd.Process.Pid
			a.mu.Unlock()
			now := processorTime(pid)
			if was, known := before[pid]; known && float64(now-was) > 0.9*float64(monotonic()-began) {
				if spins[i]++; spins[i] == 5 {
					p.reportViolation("spin", "agent %d has taken a whole core for %v", i, 5*scrapeInterval)
				}
			} else {
				spins[i] = 0
			}
			before[pid] = now
			go a.scrapeMetrics()
		}
	}
}

// residentBytes is how much memory a process has.
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

// processorTime is what a process has taken so far.
func processorTime(pid int) time.Duration {
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
	return time.Duration(user+system) * 10 * time.Millisecond // of a clock of 100 Hz
}
