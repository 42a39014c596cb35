package core

import (
	"log/slog"
	"time"

	"ryeweir/internal/budget"
	"ryeweir/internal/event"
	"ryeweir/internal/invariant"
	"ryeweir/logic"
)

// Config configures a Core. Fields are required unless stated otherwise. The callbacks are called from the loop: they must not
// block and must not call methods of the Core.
type Config struct {
	Balancer *logic.Balancer // owned by the Core after New
	Clock    Clock
	Upstream Upstream
	Log      *slog.Logger

	// UploadTimeout is the time limit for receiving the message of a call with BodyPending.
	UploadTimeout time.Duration

	// HealthChecker executes the balancer's health checks. It may be nil if the balancer is configured to request none.
	HealthChecker HealthChecker

	// Subscribe is called when the balancer needs a new subscription to the endpoint list. It may be nil.
	Subscribe func()

	// OnEndpointCounts receives the number of listed endpoints and how many of them the balancer regards as unavailable, after
	// each update of the list and at each periodic check: every 500 ms, but not while the core is idle (see the package comment).
	// It may be nil.
	OnEndpointCounts func(listed, unavailable int)

	// OnAttemptOutcome receives each outcome that says something about the health of an endpoint: the endpoint's id, when the
	// balancer decided on the attempt, and whether the endpoint was healthy. It may be nil.
	OnAttemptOutcome func(endpoint string, sentAt time.Duration, healthy bool)

	// Budget is this agent's share of the budgets of the whole fleet of agents; nil for none. It requires a Balancer with
	// ExternalAdmission. It may shed a call before it reaches the balancer. It may also deny a retry or a health check that the
	// balancer requested, which the balancer then sees as logic.NotSent.
	Budget *budget.Budget

	// PriorityOrder gives the priority of a call to Budget. It is required if Budget is set.
	PriorityOrder *budget.PriorityOrder

	// Record remembers which requests of restricted classes may have been executed, beyond the end of their calls and of this process. nil
	// remembers none.
	Record RequestRecord

	Events  *event.Recorder    // records what happens to calls and attempts; nil records nothing
	Monitor *invariant.Monitor // counts violated invariants; nil counts nothing
}

// RequestRecord is the memory of requests that may have been executed. Its methods must not block.
type RequestRecord interface {
	// Claim reports whether a request with this ID that arrives now may be executed, and claims the ID if so. window is the time in which a
	// request with an idempotency key may be repeated, 0 for others.
	Claim(id string, window time.Duration) bool
	// Settle ends the work on a claimed ID.
	Settle(id string, mayHaveExecuted bool)
}

// withDefaults replaces nil callbacks by ones that do nothing, where the loop calls them without checking for nil.
func (cfg Config) withDefaults() Config {
	if cfg.Subscribe == nil {
		cfg.Subscribe = func() {}
	}
	if cfg.OnEndpointCounts == nil {
		cfg.OnEndpointCounts = func(int, int) {}
	}
	return cfg
}
