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

// ReloadConfig configures when and how the configuration files are reloaded.
type ReloadConfig struct {
	Signals      <-chan os.Signal                // each signal triggers a reload; nil for no reloads
	LoadPlatform func() (platform.Config, error) // required if Signals is set
	LoadOperator func() (operator.File, error)   // nil if there is no operators' file
}

// reloader reloads the configuration files and applies them to a running agent.
type reloader struct {
	config    ReloadConfig
	site      wire.Site     // as read at the start; stays in effect until the next start
	operators operator.File // the values in effect
	discovery *discovery.Client
	apply     func(operator.File) error // applies the keys that can change without a restart
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

// reconfigure applies the keys of an operators' file that can change without a restart.
func (a *agent) reconfigure(operators operator.File) error {
	a.healthChecker.Configure(operators.HealthChecks.Settings())
	return a.pool.Configure(a.poolSettings(operators))
}

// run reloads the configuration files at each signal, until ctx ends.
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

// reload reads the platform's file and then the operators' file. A file that can't be used changes nothing: the agent continues with
// the configuration in effect. If the platform's file can't be used, the operators' file is not read.
func (r *reloader) reload() {
	fresh, err := r.config.LoadPlatform()
	if err != nil {
		r.log.Error("configuration not reloaded, keeping the old one", "error", err)
		return
	}
	r.log.Info("configuration reloaded", "discovery", fresh.Discovery)
	if !reflect.DeepEqual(fresh.Site, r.site) {
		r.log.Warn("platform settings changed; they take effect at the next start")
	}
	r.discovery.SetAddress(fresh.Discovery)
	r.reloadOperators()
}

// reloadOperators reloads the operators' file, if there is one.
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
		r.log.Warn("keys of the operators' file changed; they take effect at the next start", "keys", keys)
		fresh = keepRestartOnlyKeys(fresh, r.operators)
	}
	r.operators = fresh
}

// keepRestartOnlyKeys returns the fresh file with the values in effect for the keys that are only applied at a start. The next reload
// then compares with the values in effect.
func keepRestartOnlyKeys(fresh, inEffect operator.File) operator.File {
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
