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

// watchSelfLoad reports to the core whether the agent itself is overloaded, until the context ends. The fleet's admission level then
// falls: what the agent can't carry is rejected at once by priority, not late and at random.
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

// cpuMeter measures the processor time that the process uses.
type cpuMeter struct {
	cores  float64 // that the process may use
	used   time.Duration
	readAt time.Time
}

// newCPUMeter returns a meter for a number of cores; 0 or less, where the platform states none, counts as one.
func newCPUMeter(cores float64) *cpuMeter {
	if cores <= 0 {
		cores = 1
	}
	return &cpuMeter{cores: cores, used: processorTime(), readAt: time.Now()}
}

// utilization returns the fraction of the cores that the process used since the last reading.
func (m *cpuMeter) utilization() float64 {
	now, used := time.Now(), processorTime()
	fraction := (used - m.used).Seconds() / (now.Sub(m.readAt).Seconds() * m.cores)
	m.used, m.readAt = used, now
	return fraction
}

// processorTime returns the processor time that the process has used since its start.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryInUse returns the memory that the runtime has from the system, in bytes.
func memoryInUse() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	total, released := samples[0].Value.Uint64(), samples[1].Value.Uint64()
	return int64(total - released)
}
