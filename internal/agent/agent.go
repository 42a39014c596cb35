// Package agent puts a real agent together: the core with its decision module, a front for clients, an upstream with its
// pool of connections, discovery, and the operators' address.
package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
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
	"ryeweir/internal/healthcheck"
	"ryeweir/internal/httpmsg"
	"ryeweir/internal/invariant"
	"ryeweir/internal/metrics"
	"ryeweir/internal/pool"
	"ryeweir/internal/snapshot"
	uphttp "ryeweir/internal/upstream/http"
	"ryeweir/logic"
)

const (
	sweepEvery   = time.Second
	spareSockets = 24 // for the listener, discovery, the runtime and files
	backendShare = 0.45
	bodyPart     = 0.2 // of the memory may hold bodies
	// Of a process that shares its descriptors with another for a while.
	backendShareOfTwo = 0.27
	leastSockets      = 100  // with fewer there is no point in running
	mostSockets       = 4096 // more are never needed, whatever the limit allows
)

// Environment are the listening ones of an agent, and what else it is handed of its machine.
type Environment struct {
	Clients   net.Listener
	Inherited bool          // another process may accept what this one does not
	Control   net.Listener  // for operators; nil without an address for them
	Dial      pool.DialFunc // to servers and discovery; nil for the machine's network
	// What else an agent has of its machine. Nil for the real one.
	TimeOfDay func() time.Time
	Disk      snapshot.Disk
}

// Run serves until the context ends, then drains as the platform's restarts want it. It closes the sockets.
func Run(ctx context.Context, cfg platform.Config, ops operator.File, reloads ReloadConfig, sockets Environment, log *slog.Logger) error {
	defer sockets.Clients.Close()
	settings := cfg.Site.Logic
	ops.HealthChecks.Apply(&settings)
	settings.ExternalAdmission = ops.Overload.Enabled
	balancer, err := logic.New(settings, cfg.Seed)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	// The parts outlive the signal to end: what is open is still answered.
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	var parts sync.WaitGroup
	defer parts.Wait()
	defer stop()

	events, monitor := event.NewRecorder(log), invariant.NewMonitor(log)
	share := shareSockets(cfg.Sockets, sockets)
	timeOfDay := sockets.TimeOfDay
	if timeOfDay == nil {
		timeOfDay = time.Now
	}
	clock := core.NewClockWith(timeOfDay)
	kept, keep := learnt(cfg, ops.Snapshot)
	kept.Disk = sockets.Disk
	if keep {
		recall(balancer, kept, ops.Snapshot, clock, timeOfDay(), log)
	}
	conns, err := pool.New(pool.Config{Settings: ops.Connections.Settings(connections(cfg, share.toBackends)), SocketBufferBytes: ops.Connections.SocketBufferBytes, ConnectTimeout: cfg.Site.ConnectTimeout, Seed: cfg.Seed, Clock: clock,
		Dial: sockets.Dial, NewState: uphttp.NewConnState, Events: events})
	if err != nil {
		return err
	}
	var classes []string
	for _, c := range cfg.Site.Logic.Classes {
		classes = append(classes, c.Name)
	}
	figures := metrics.New(classes)
	memory := bodyPart * float64(int64(cfg.MemoryMB)<<20)
	if sockets.Inherited {
		memory /= 2
	}
	bodies := bodybuffer.NewBudget(int64(memory))
	figures.Register("events", func() any { return events })
	figures.Register("invariants", func() any { return monitor })
	figures.Register("connections", func() any { return conns.Stats() })
	var badReport sync.Once
	upstream := &uphttp.Upstream{Pool: conns, Clock: clock, Budget: bodies, LoadReportFields: cfg.Site.LoadReportFields, OnRequestWritten: figures.AttemptWritten,
		Events: events, Monitor: monitor,
		OnMalformedReport: func(err error) {
			badReport.Do(func() { log.Warn("passing over a malformed report; further ones are not logged", "error", err) })
		}}
	prober := healthcheck.New(healthcheck.Config{Settings: ops.HealthChecks.Settings(), LoadReports: len(cfg.Site.LoadReportFields) > 0, Clock: clock, Transport: upstream, Log: log})
	figures.Register("probes", func() any { return prober.Stats() })
	fleet, order, err := ops.Overload.Budget(cfg.Site.Logic, cfg.Site.MaxRetryAfter, cfg.Seed)
	if err != nil {
		return err
	}
	var disco *discovery.Client
	var talk *peers
	var observe func(string, time.Duration, bool)
	if ops.Peers.Enabled {
		if talk, err = newPeers(cfg.Name, ops.Peers, clock, log); err != nil {
			return err
		}
		observe = talk.observe
		figures.Register("peers", talk.figures)
	}
	c := core.New(core.Config{OnAttemptOutcome: observe, Balancer: balancer, Clock: clock, Upstream: upstream, HealthChecker: prober, UploadTimeout: httpmsg.MaxUploadDuration,
		Subscribe: func() { disco.Subscribe() }, OnEndpointCounts: figures.SetEndpointCounts, Log: log, Budget: fleet, PriorityOrder: order,
		Events: events, Monitor: monitor})
	if fleet != nil {
		figures.Register("overload", func() any { return c.BudgetStats() })
		own := budget.SelfLimits{QueueDelay: ops.Overload.SelfLimits.QueueDelay.D(), CPU: ops.Overload.SelfLimits.CPU, Memory: ops.Overload.SelfLimits.Memory}
		parts.Go(func() { watchOwn(inner, c, own, cfg.Cores, int64(cfg.MemoryMB)<<20, log) })
	}
	var sink discovery.Sink = c
	if talk != nil {
		talk.core = c
		sink = talk
		parts.Go(func() { talk.run(inner) })
	}
	disco = discovery.New(discovery.Config{Addr: cfg.Discovery, Agents: cfg.Site.Logic.Balancers, SubscriptionRequired: cfg.Site.Logic.SubscriptionRequired,
		Zones: cfg.Site.Zones, CachedList: cfg.Known, Seed: cfg.Seed, Clock: clock, Dial: sockets.Dial, Sink: sink, Log: log, Events: events})
	figures.Register("border", func() any { return c.BoundaryViolations() })
	front := fronthttp.New(fronthttp.Config{Site: cfg.Site, Core: c, Clock: clock, Metrics: figures, BodyBudget: bodies,
		MaxConnections: share.fromClients, AcceptWindow: cfg.AcceptFor, DrainTimeout: ops.Drain.MaxDuration.D(), SocketBufferBytes: ops.Connections.SocketBufferBytes, Log: log,
		Events: events, Monitor: monitor})
	if sockets.Control != nil {
		parts.Go(func() {
			if err := control.Serve(inner, sockets.Control, front, figures, log); err != nil {
				log.Error("operators are served no more", "error", err)
			}
		})
	}
	parts.Go(func() { c.Run(inner) })
	parts.Go(func() {
		every(inner, sweepEvery, conns.Maintain)
		conns.Close()
	})
	parts.Go(func() { disco.Run(inner) })
	if keep {
		parts.Go(func() { snapshot.Persist(ctx, kept, ops.Snapshot.Interval.D(), timeOfDay, c.Knowledge, log) })
	}
	parts.Go(func() {
		reloads.run(inner, cfg, ops, disco, func(fresh operator.File) error {
			prober.Configure(fresh.HealthChecks.Settings())
			return conns.Configure(fresh.Connections.Settings(connections(cfg, share.toBackends)))
		}, log)
	})
	return front.Serve(ctx, sockets.Clients, sockets.Inherited)
}

// connections are the settings of the pool: what the platform says of servers and fleet, and the defaults for the rest.
func connections(cfg platform.Config, most int) pool.Settings {
	set := pool.DefaultSettings(most)
	set.ServerIdleTimeout, set.AcquireTimeout = cfg.Site.IdleTimeout, cfg.Site.ConnectTimeout
	set.Agents, set.SlowStartInitialFraction, set.SlowStartWindow = cfg.Site.Logic.Balancers, cfg.Site.Logic.SlowStartInitialFraction, cfg.Site.Logic.SlowStartWindow
	return set
}

// shares says how many connections there may be.
type shares struct{ toBackends, fromClients int }

// shareSockets shares out a limit on descriptors. With an inherited socket, two processes hold them together for a while:
// clients move from the one to the other, so their places are needed once, but each has connections to backends.
func shareSockets(limit int, sockets Environment) shares {
	room := min(max(limit, leastSockets), mostSockets) - spareSockets
	if sockets.Control != nil {
		room -= control.MaxDescriptors
	}
	part := backendShare
	if sockets.Inherited {
		room -= spareSockets
		part = backendShareOfTwo
	}
	toBackends := int(float64(room) * part)
	if sockets.Inherited {
		return shares{toBackends, room - 2*toBackends}
	}
	return shares{toBackends, room - toBackends}
}

// every calls f at intervals until the context ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f()
		case <-ctx.Done():
			return
		}
	}
}
