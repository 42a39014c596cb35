package core

import (
	"log/slog"
	"time"

	"ryeweir/internal/budget"
	"ryeweir/internal/event"
	"ryeweir/internal/invariant"
	"ryeweir/logic"
)

// Config holds what a Core works with. Unless stated otherwise a field is required. The callbacks are called by the loop: they
// must not block and must not call the Core.
type Config struct {
	Balancer *logic.Balancer // owned by the Core from New on
	Clock    Clock
	Upstream Upstream
	Log      *slog.Logger

	// UploadTimeout limits how long the message of a call with BodyPending may take to arrive.
	UploadTimeout time.Duration

	// HealthChecker carries out the module's health checks. It may be nil if the module is configured to request none.
	HealthChecker HealthChecker

	// Subscribe is called when the module wants the endpoint list to be requested anew. It may be nil.
	Subscribe func()

	// OnEndpointCounts receives the number of listed endpoints and how many of them the module avoids, after each update of the
	// list and at each check of the boundary. It may be nil.
	OnEndpointCounts func(listed, avoided int)

	// OnAttemptOutcome receives each outcome that is evidence about an endpoint: the endpoint's id, when the attempt was decided
	// on, and whether the endpoint was healthy. It may be nil.
	OnAttemptOutcome func(endpoint string, sentAt time.Duration, healthy bool)

	// Budget is this agent's part of the fleet's budgets; nil for none. It needs a Balancer with ExternalAdmission. It may shed a
	// call before the module sees it, and withhold a retry or a health check that the module requested, which the module then
	// sees as logic.NotSent.
	Budget *budget.Budget

	// PriorityOrder ranks calls for Budget; required with it.
	PriorityOrder *budget.PriorityOrder

	Events  *event.Recorder    // records what happens to calls and attempts; nil records nothing
	Monitor *invariant.Monitor // counts violated invariants; nil counts nothing
}

// withDefaults returns the configuration with callbacks that do nothing in place of those that are nil and that the loop
// calls unconditionally.
func (cfg Config) withDefaults() Config {
	if cfg.Subscribe == nil {
		cfg.Subscribe = func() {}
	}
	if cfg.OnEndpointCounts == nil {
		cfg.OnEndpointCounts = func(int, int) {}
	}
	return cfg
}
