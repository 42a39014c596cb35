package agent

import (
	"fmt"
	"log/slog"
	"sync"
	"time"

	"ryeweir/internal/bodybuffer"
	"ryeweir/internal/config/operator"
	"ryeweir/internal/config/platform"
	"ryeweir/internal/core"
	"ryeweir/internal/discovery"
	"ryeweir/internal/event"
	fronthttp "ryeweir/internal/front/http"
	"ryeweir/internal/healthcheck"
	"ryeweir/internal/httpmsg"
	"ryeweir/internal/invariant"
	"ryeweir/internal/metrics"
	"ryeweir/internal/pool"
	"ryeweir/internal/socket"
	upstreamhttp "ryeweir/internal/upstream/http"
	"ryeweir/logic"
)

// newAgent builds all subsystems in the order that the package comment gives. It starts none of them, except that peers begin to
// listen.
func newAgent(cfg platform.Config, operators operator.File, env Environment, log *slog.Logger) (*agent, error) {
	if env.TimeOfDay == nil {
		env.TimeOfDay = time.Now
	}
	a := &agent{
		config:    cfg,
		operators: operators,
		env:       env,
		log:       log,
		clock:     core.NewClockWith(env.TimeOfDay),
		events:    event.NewRecorder(log),
		monitor:   invariant.NewMonitor(log),
		metrics:   metrics.New(classNames(cfg)),
	}
	a.role = a.takeRole()
	a.applyPlan(planMemory(cfg, operators, env, a.role))
	a.bodies = bodybuffer.NewBudget(a.plan.Load().Elastic)
	stages := []func() error{
		a.buildBalancer,
		a.buildUpstream,
		a.buildBudget,
		a.buildPeers,
		a.buildCore,
		a.buildDiscovery,
		a.buildFront,
	}
	for _, build := range stages {
		if err := build(); err != nil {
			return nil, err
		}
	}
	a.registerMetrics()
	return a, nil
}

// buildBalancer builds the decision module and restores into it what the previous process learned.
func (a *agent) buildBalancer() error {
	settings := a.config.Site.Logic
	a.operators.HealthChecks.Apply(&settings)
	settings.ExternalAdmission = a.operators.Overload.Enabled
	balancer, err := logic.New(settings, a.config.Seed)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	a.balancer = balancer
	a.snapshots, a.saveSnapshots = snapshotFile(a.config, a.operators.Snapshot)
	a.snapshots.Disk = a.env.Disk
	if a.saveSnapshots {
		a.restoreKnowledge()
	}
	return nil
}

// buildUpstream builds the connection pool, the upstream, which sends attempts on its connections, and the health checker.
func (a *agent) buildUpstream() error {
	var err error
	dial := a.env.Dial
	if dial == nil {
		dial = socket.Dialer(a.plan.Load().SocketBuffer).DialContext
	}
	a.pool, err = pool.New(pool.Config{
		Settings:          a.poolSettings(a.operators),
		SocketBufferBytes: a.operators.Connections.SocketBufferBytes,
		ConnectTimeout:    a.config.Site.ConnectTimeout,
		Seed:              a.config.Seed,
		Clock:             a.clock,
		Dial:              dial,
		NewState:          upstreamhttp.NewConnState,
		Events:            a.events,
	})
	if err != nil {
		return err
	}
	a.upstream = &upstreamhttp.Upstream{
		Pool:              a.pool,
		Clock:             a.clock,
		Budget:            a.bodies,
		LoadReportFields:  a.config.Site.LoadReportFields,
		OnRequestWritten:  a.metrics.AttemptWritten,
		OnMalformedReport: logFirstMalformedReport(a.log),
		Events:            a.events,
		Monitor:           a.monitor,
	}
	a.healthChecker = healthcheck.New(healthcheck.Config{
		Settings:    a.operators.HealthChecks.Settings(),
		LoadReports: len(a.config.Site.LoadReportFields) > 0,
		Clock:       a.clock,
		Transport:   a.upstream,
		Log:         a.log,
	})
	return nil
}

// buildBudget builds this agent's part of the fleet's budget, if the operators' file enables it.
func (a *agent) buildBudget() error {
	var err error
	a.budget, a.priorities, err = a.operators.Overload.Budget(a.config.Site.Logic, a.config.Site.MaxRetryAfter, a.config.Seed)
	return err
}

// buildPeers builds the exchange with other agents, if the operators' file enables it, and begins to listen for them.
func (a *agent) buildPeers() error {
	if !a.operators.Peers.Enabled {
		return nil
	}
	var err error
	a.peers, err = newPeers(a.config.Name, a.operators.Peers, a.clock, a.log)
	return err
}

// buildCore builds the core, which owns the decision module from then on.
func (a *agent) buildCore() error {
	cfg := core.Config{
		Balancer:         a.balancer,
		Clock:            a.clock,
		Upstream:         a.upstream,
		Log:              a.log,
		UploadTimeout:    httpmsg.MaxUploadDuration,
		HealthChecker:    a.healthChecker,
		Subscribe:        func() { a.discovery.Subscribe() }, // buildDiscovery sets a.discovery before the core runs
		OnEndpointCounts: a.metrics.SetEndpointCounts,
		Budget:           a.budget,
		Record:           a.openRecord(),
		PriorityOrder:    a.priorities,
		Events:           a.events,
		Monitor:          a.monitor,
	}
	if a.peers != nil {
		cfg.OnAttemptOutcome = a.peers.recordOutcome
	}
	a.core = core.New(cfg)
	if a.peers != nil {
		a.peers.core = a.core
	}
	return nil
}

// buildDiscovery builds the discovery client. It delivers endpoint lists to the core, or, if peers are enabled, to peers, which pass
// them on to the core.
func (a *agent) buildDiscovery() error {
	var sink discovery.Sink = a.core
	if a.peers != nil {
		sink = a.peers
	}
	a.discovery = discovery.New(discovery.Config{
		Addr:                 a.config.Discovery,
		Agents:               a.config.Site.Logic.Balancers,
		SubscriptionRequired: a.config.Site.Logic.SubscriptionRequired,
		Zones:                a.config.Site.Zones,
		CachedList:           a.config.CachedEndpoints,
		Seed:                 a.config.Seed,
		Clock:                a.clock,
		Dial:                 a.env.Dial,
		Sink:                 sink,
		Log:                  a.log,
		Events:               a.events,
	})
	return nil
}

// buildFront builds the HTTP server for clients.
func (a *agent) buildFront() error {
	a.front = fronthttp.New(fronthttp.Config{
		Site:           a.config.Site,
		Core:           a.core,
		Clock:          a.clock,
		Metrics:        a.metrics,
		BodyBudget:     a.bodies,
		MaxConnections: a.plan.Load().ClientConnections,
		MaxInFlight:    a.plan.Load().InFlight,
		UnsentBytes:    a.plan.Load().SocketBuffer,
		AcceptWindow:   a.config.AcceptWindow,
		DrainTimeout:   a.operators.Drain.MaxDuration.D(),
		Log:            a.log,
		Events:         a.events,
		Monitor:        a.monitor,
	})
	return nil
}

// registerMetrics adds the metrics of the subsystems to those of the frontend. The section names are part of the operators' interface
// and must not change.
func (a *agent) registerMetrics() {
	a.metrics.Register("events", func() any { return a.events })
	a.metrics.Register("invariants", func() any { return a.monitor })
	a.metrics.Register("connections", func() any { return a.pool.Stats() })
	a.metrics.Register("probes", func() any { return a.healthChecker.Stats() })
	a.metrics.Register("border", func() any { return a.core.ContractViolations() })
	if a.budget != nil {
		a.metrics.Register("overload", func() any { return a.core.BudgetStats() })
	}
	if a.peers != nil {
		a.metrics.Register("peers", func() any { return a.peers.stats() })
	}
}

// poolSettings returns the settings of the pool. Values in the operators' file override those that follow from the platform's
// settings and from the limits of the process.
func (a *agent) poolSettings(operators operator.File) pool.Settings {
	settings := pool.DefaultSettings(a.plan.Load().EndpointConnections)
	settings.ServerIdleTimeout = a.config.Site.IdleTimeout
	settings.AcquireTimeout = a.config.Site.ConnectTimeout
	settings.Agents = a.config.Site.Logic.Balancers
	settings.SlowStartInitialFraction = a.config.Site.Logic.SlowStartInitialFraction
	settings.SlowStartWindow = a.config.Site.Logic.SlowStartWindow
	return operators.Connections.Settings(settings)
}

// logFirstMalformedReport returns a function that logs the first malformed load report and ignores later ones, because an endpoint
// that sends one sends one with each response.
func logFirstMalformedReport(log *slog.Logger) func(error) {
	var first sync.Once
	return func(err error) {
		first.Do(func() { log.Warn("malformed load report ignored; further ones are not logged", "error", err) })
	}
}

// classNames returns the names of the platform's request classes, by index.
func classNames(cfg platform.Config) []string {
	var names []string
	for _, class := range cfg.Site.Logic.Classes {
		names = append(names, class.Name)
	}
	return names
}
