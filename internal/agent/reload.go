package agent

import (
	"context"
	"log/slog"
	"os"
	"reflect"

	"ryeweir/internal/config/operator"
	"ryeweir/internal/config/platform"
	"ryeweir/internal/discovery"
)

// ReloadConfig says when the configuration is to be read again, and how.
type ReloadConfig struct {
	Signals      <-chan os.Signal
	LoadPlatform func() (platform.Config, error)
	LoadOperator func() (operator.File, error) // nil without an operators' file
}

// run reads the configuration again at each signal and points discovery to where it says. A file that can't be
// used changes nothing: the agent goes on with what it has.
func (r ReloadConfig) run(ctx context.Context, cfg platform.Config, ops operator.File, d *discovery.Client, apply func(operator.File) error, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Signals:
		}
		fresh, err := r.LoadPlatform()
		if err != nil {
			log.Error("configuration not reloaded, keeping the old one", "error", err)
			continue
		}
		log.Info("configuration reloaded", "discovery", fresh.Discovery)
		if !reflect.DeepEqual(fresh.Site, cfg.Site) {
			log.Warn("settings have changed, which takes effect at the next start only")
		}
		d.SetAddress(fresh.Discovery)
		ops = r.reloadOperator(ops, apply, log)
	}
}

// reloadOperator reads the operators' file again and returns what holds from then on.
func (r *ReloadConfig) reloadOperator(old operator.File, apply func(operator.File) error, log *slog.Logger) operator.File {
	if r.LoadOperator == nil {
		return old
	}
	fresh, err := r.LoadOperator()
	if err == nil {
		err = apply(fresh)
	}
	if err != nil {
		log.Error("operators' file not reloaded, keeping the old one", "error", err)
		return old
	}
	log.Info("operators' file reloaded")
	if keys := old.RestartRequired(fresh); len(keys) > 0 {
		log.Warn("keys have changed that take effect at the next start only", "keys", keys)
		fresh.Connections.MaxConnections, fresh.Connections.SocketBufferBytes = old.Connections.MaxConnections, old.Connections.SocketBufferBytes
		fresh.Overload, fresh.Peers = old.Overload, old.Peers
		fresh.Drain, fresh.Snapshot, fresh.HealthChecks.PerRequest, fresh.HealthChecks.PerEndpointRate = old.Drain, old.Snapshot, old.HealthChecks.PerRequest, old.HealthChecks.PerEndpointRate
	}
	return fresh
}
