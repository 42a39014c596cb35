package agent

import (
	"context"
	"log/slog"
	"runtime/metrics"
	"syscall"
	"time"

	"ryeweir/internal/budget"
	"ryeweir/internal/core"
)

// ownEvery is how often an agent looks at its own load.
const ownEvery = 250 * time.Millisecond

// watchOwn takes the fleet's level down while the agent itself is over, until the context ends: what it can't carry is better
// refused by worth at once than late and at random.
func watchOwn(ctx context.Context, c *core.Core, limits budget.SelfLimits, cores float64, memory int64, log *slog.Logger) {
	if cores <= 0 { // the platform says nothing of them
		cores = 1
	}
	used, at, was := processorTime(), time.Now(), ""
	every(ctx, ownEvery, func() {
		now, total := time.Now(), processorTime()
		load := budget.SelfLoad{QueueDelay: c.QueueDelay(), CPU: (total - used).Seconds() / (now.Sub(at).Seconds() * cores),
			Memory: float64(heldMemory()) / float64(memory)}
		used, at = total, now
		over := limits.Exceeded(load)
		c.SetSelfOverloaded(over != "")
		if over != was {
			log.Info("the agent's own load", "over", over, "wait", load.QueueDelay, "cpu", load.CPU, "memory", load.Memory)
			was = over
		}
	})
}

// processorTime is what the process has used so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heldMemory is what the runtime holds of the system, bytes.
func heldMemory() int64 {
	s := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(s)
	return int64(s[0].Value.Uint64() - s[1].Value.Uint64())
}
