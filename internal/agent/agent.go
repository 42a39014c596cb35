package agent

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ryeweir/internal/bodybuffer"
	"ryeweir/internal/budget"
	"ryeweir/internal/config/operator"
	"ryeweir/internal/config/platform"
	"ryeweir/internal/control"
	"ryeweir/internal/core"
	"ryeweir/internal/discovery"
	"ryeweir/internal/event"
	fronthttp "ryeweir/internal/front/http"
	"ryeweir/internal/handover"
	"ryeweir/internal/healthcheck"
	"ryeweir/internal/invariant"
	"ryeweir/internal/memory"
	"ryeweir/internal/metrics"
	"ryeweir/internal/pool"
	"ryeweir/internal/snapshot"
	upstreamhttp "ryeweir/internal/upstream/http"
	"ryeweir/logic"
)

// poolMaintenanceInterval is how often the pool closes idle connections that must not be used again and opens connections in advance.
const poolMaintenanceInterval = time.Second

// Environment holds the listeners and the services of the machine that an agent uses. Tests replace parts of it.
type Environment struct {
	Clients   net.Listener // accepts the connections of clients
	Inherited bool         // another process may accept on the same socket as Clients, as in a handover
	Control   net.Listener // accepts the connections of operators; nil for none

	Dial      pool.DialFunc    // connects to endpoints and to discovery; nil selects the machine's network
	TimeOfDay func() time.Time // returns the wall-clock time; nil selects the machine's clock
	Disk      snapshot.Disk    // stores the snapshot; nil selects the machine's file system

	Program int64 // resident bytes of the program's file; 0 reads them from the system

	// OnPlan is called when the memory of the process has been divided, and again when the division changes. It may be nil.
	OnPlan func(memory.Plan)
}

// Run builds an agent and serves clients until ctx ends. It then drains, and returns when every goroutine that it started has ended.
// It owns the listeners from the call on and closes them. It returns an error if the configuration can't be used or if the client
// listener fails.
func Run(ctx context.Context, cfg platform.Config, operators operator.File, reload ReloadConfig, env Environment, log *slog.Logger) error {
	defer env.Clients.Close()
	a, err := newAgent(cfg, operators, env, log)
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	a.start(ctx, background, &running, reload)
	return a.front.Serve(ctx, env.Clients, env.Inherited)
}

// agent holds the subsystems of an agent. newAgent sets all fields, and they do not change afterwards.
type agent struct {
	config    platform.Config
	operators operator.File
	env       Environment
	log       *slog.Logger

	clock   core.Clock
	events  *event.Recorder
	monitor *invariant.Monitor
	metrics *metrics.Metrics

	role  memory.Role
	plan  atomic.Pointer[memory.Plan] // in force
	claim *handover.Claim             // nil while another process holds it, or if the listener is not inherited

	balancer      *logic.Balancer
	snapshots     snapshot.File
	saveSnapshots bool

	pool          *pool.Pool
	bodies        *bodybuffer.Budget
	upstream      *upstreamhttp.Upstream
	healthChecker *healthcheck.Checker

	budget     *budget.Budget        // nil unless the operators' file enables it
	priorities *budget.PriorityOrder // nil if budget is nil
	peers      *peers                // nil unless the operators' file enables them
	core       *core.Core
	discovery  *discovery.Client
	front      *fronthttp.Server
}

// start starts the goroutines of all subsystems but the frontend. They run until the background context ends. The one that saves
// snapshots runs until ctx ends.
func (a *agent) start(ctx, background context.Context, running *sync.WaitGroup, reload ReloadConfig) {
	if a.budget != nil {
		running.Go(func() { a.watchSelfLoad(background) })
	}
	if a.peers != nil {
		running.Go(func() { a.peers.run(background) })
	}
	if a.env.Control != nil {
		running.Go(func() { a.serveControl(background) })
	}
	running.Go(func() { a.core.Run(background) })
	running.Go(func() { a.maintainPool(background) })
	running.Go(func() { a.discovery.Run(background) })
	if a.saveSnapshots {
		running.Go(func() {
			snapshot.Persist(ctx, a.snapshots, a.operators.Snapshot.Interval.D(), a.env.TimeOfDay, a.core.Knowledge, a.log)
		})
	}
	running.Go(func() { a.newReloader(reload).run(background) })
	running.Go(func() { a.succeed(background) })
}

// serveControl serves HTTP requests on the operators' address until ctx ends. If that fails, the agent continues without it.
func (a *agent) serveControl(ctx context.Context) {
	if err := control.Serve(ctx, a.env.Control, a.front, a.metrics, a.log); err != nil {
		a.log.Error("control listener failed", "error", err)
	}
}

// maintainPool maintains the pool until ctx ends, and then closes it.
func (a *agent) maintainPool(ctx context.Context) {
	callEvery(ctx, poolMaintenanceInterval, a.pool.Maintain)
	a.pool.Close()
}

// callEvery calls f once per interval until ctx ends.
func callEvery(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f()
		case <-ctx.Done():
			return
		}
	}
}
