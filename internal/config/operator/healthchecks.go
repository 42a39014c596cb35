package operator

import (
	"time"

	"ryeweir/internal/config"
	"ryeweir/internal/healthcheck"
	"ryeweir/internal/wire"
	"ryeweir/logic"
)

// HealthChecks limits the cost of health checks, if the platform allows them.
type HealthChecks struct {
	PerRequest      float64         `toml:"per_request"`           // health checks allowed per request of an agent
	PerEndpointRate float64         `toml:"per_server_per_second"` // health checks per second to one endpoint by all agents
	MaxConcurrent   int             `toml:"concurrent"`
	Timeout         config.Duration `toml:"timeout"` // including connection setup
}

const (
	maxConcurrentHealthChecks = 1024
	minHealthCheckTimeout     = time.Millisecond
	maxHealthCheckTimeout     = 10 * time.Second
)

func defaultHealthChecks() HealthChecks {
	return HealthChecks{
		PerRequest:      wire.HealthChecksPerRequest,
		PerEndpointRate: wire.EndpointHealthCheckRate,
		MaxConcurrent:   healthcheck.DefaultMaxConcurrent,
		Timeout:         config.Duration(healthcheck.DefaultTimeout),
	}
}

func (h *HealthChecks) check(p *problems) {
	p.requireRatio("probes.per_request", h.PerRequest)
	p.requireRate("probes.per_server_per_second", h.PerEndpointRate)
	p.require(h.MaxConcurrent >= 1 && h.MaxConcurrent <= maxConcurrentHealthChecks,
		"probes.concurrent", "must be from 1 to %d", maxConcurrentHealthChecks)
	p.require(h.Timeout.D() >= minHealthCheckTimeout && h.Timeout.D() <= maxHealthCheckTimeout,
		"probes.timeout", "must be from 1ms to %v", maxHealthCheckTimeout)
}

// Settings returns the settings of the health checker.
func (h *HealthChecks) Settings() healthcheck.Settings {
	return healthcheck.Settings{MaxConcurrent: h.MaxConcurrent, Timeout: h.Timeout.D()}
}

// Apply sets the health check budget in the settings of the balancer, unless the platform forbids health checks.
func (h *HealthChecks) Apply(settings *logic.Settings) {
	if settings.HealthChecksPerRequest <= 0 {
		return
	}
	settings.HealthChecksPerRequest = h.PerRequest
	settings.EndpointHealthCheckRate = h.PerEndpointRate
}
