package agent

import (
	"context"
	"log/slog"
	"os"
	"reflect"

	"ryeweir/internal/config/operator"
	"ryeweir/internal/config/platform"
	"ryeweir/internal/discovery"
	"ryeweir/internal/wire"
)

// ReloadConfig says when the configuration is read again, and how.
type ReloadConfig struct {
	Signals      <-chan os.Signal                // each one reads the configuration again; nil for never
	LoadPlatform func() (platform.Config, error) // required with Signals
	LoadOperator func() (operator.File, error)   // nil without an operators' file
}

// reloader applies configuration that is read again to a running agent.
type reloader struct {
	config    ReloadConfig
	site      wire.Site     // at the start; stays in effect
	operators operator.File // in effect
	discovery *discovery.Client
	apply     func(operator.File) error // applies what can change without a restart
	log       *slog.Logger
}

// newReloader returns the reloader of the agent.
func (a *agent) newReloader(config ReloadConfig) *reloader {
	return &reloader{
		config:    config,
		site:      a.config.Site,
		operators: a.operators,
		discovery: a.discovery,
		apply:     a.reconfigure,
		log:       a.log,
	}
}

// reconfigure applies what can change in an operators' file without a restart.
func (a *agent) reconfigure(operators operator.File) error {
	a.healthChecker.Configure(operators.HealthChecks.Settings())
	return a.pool.Configure(a.poolSettings(operators))
}

// run reads the configuration again at each signal, until the context ends.
func (r *reloader) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.config.Signals:
			r.reload()
		}
	}
}

// reload reads the platform's file and then the operators' file. A file that can't be used changes nothing: the agent goes on
// with what it has. If the platform's file can't be used, the operators' file is not read.
func (r *reloader) reload() {
	fresh, err := r.config.LoadPlatform()
	if err != nil {
		r.log.Error("configuration not reloaded, keeping the old one", "error", err)
		return
	}
	r.log.Info("configuration reloaded", "discovery", fresh.Discovery)
	if !reflect.DeepEqual(fresh.Site, r.site) {
		r.log.Warn("settings changed; they take effect at the next start")
	}
	r.discovery.SetAddress(fresh.Discovery)
	r.reloadOperators()
}

// reloadOperators reads the operators' file again, if there is one.
func (r *reloader) reloadOperators() {
	if r.config.LoadOperator == nil {
		return
	}
	fresh, err := r.config.LoadOperator()
	if err == nil {
		err = r.apply(fresh)
	}
	if err != nil {
		r.log.Error("operators' file not reloaded, keeping the old one", "error", err)
		return
	}
	r.log.Info("operators' file reloaded")
	if keys := r.operators.RestartRequired(fresh); len(keys) > 0 {
		r.log.Warn("operators' keys changed; they take effect at the next start", "keys", keys)
		fresh = withoutRestart(fresh, r.operators)
	}
	r.operators = fresh
}

// withoutRestart returns the fresh file with the values of the one in effect for the keys that take effect at a start only, so
// that the next reload compares with what is in effect.
func withoutRestart(fresh, inEffect operator.File) operator.File {
	fresh.Connections.MaxConnections = inEffect.Connections.MaxConnections
	fresh.Connections.SocketBufferBytes = inEffect.Connections.SocketBufferBytes
	fresh.HealthChecks.PerRequest = inEffect.HealthChecks.PerRequest
	fresh.HealthChecks.PerEndpointRate = inEffect.HealthChecks.PerEndpointRate
	fresh.Snapshot = inEffect.Snapshot
	fresh.Drain = inEffect.Drain
	fresh.Overload = inEffect.Overload
	fresh.Peers = inEffect.Peers
	return fresh
}
