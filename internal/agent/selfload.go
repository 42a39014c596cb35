package agent

import (
	"context"
	"runtime/metrics"
	"syscall"
	"time"

	"ryeweir/internal/budget"
)

// selfLoadInterval is how often an agent measures its own load.
const selfLoadInterval = 250 * time.Millisecond

// watchSelfLoad reports to the core at intervals whether the agent itself is overloaded, until ctx ends. While it is, the fleet's
// admission level falls, so that the requests that the agent can't process are rejected at once and by priority, and not late and at
// random.
func (a *agent) watchSelfLoad(ctx context.Context) {
	configured := a.operators.Overload.SelfLimits
	limits := budget.SelfLimits{QueueDelay: configured.QueueDelay.D(), CPU: configured.CPU, Memory: configured.Memory}
	meter := newCPUMeter(a.config.Cores)
	memory := float64(memoryLimit(a.config))
	previous := ""
	callEvery(ctx, selfLoadInterval, func() {
		load := budget.SelfLoad{
			QueueDelay: a.core.QueueDelay(),
			CPU:        meter.utilization(),
			Memory:     float64(memoryInUse()) / memory,
		}
		exceeded := limits.Exceeded(load)
		a.core.SetSelfOverloaded(exceeded != "")
		if exceeded != previous {
			a.log.Info("agent overload changed", "over", exceeded, "wait", load.QueueDelay, "cpu", load.CPU, "memory", load.Memory)
			previous = exceeded
		}
	})
}

// cpuMeter measures the CPU utilization of the process.
type cpuMeter struct {
	cores  float64 // number of cores that the process may use
	used   time.Duration
	readAt time.Time
}

// newCPUMeter returns a meter for a process that may use this many cores. A number of 0 or less means that the platform states none,
// and counts as one core.
func newCPUMeter(cores float64) *cpuMeter {
	if cores <= 0 {
		cores = 1
	}
	return &cpuMeter{cores: cores, used: cpuTime(), readAt: time.Now()}
}

// utilization returns the fraction of its cores that the process has used since the last call, or since newCPUMeter.
func (m *cpuMeter) utilization() float64 {
	now, used := time.Now(), cpuTime()
	fraction := (used - m.used).Seconds() / (now.Sub(m.readAt).Seconds() * m.cores)
	m.used, m.readAt = used, now
	return fraction
}

// cpuTime returns the CPU time, user and system, that the process has used since its start.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryInUse returns the memory that the Go runtime holds from the operating system, in bytes.
func memoryInUse() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	total, released := samples[0].Value.Uint64(), samples[1].Value.Uint64()
	return int64(total - released)
}
