package logic

import (
	"fmt"
	"time"
)

// Idempotency is the effect of executing a request of a class more than once.
type Idempotency int

// The kinds of idempotency, in order of increasing harm of a repeated execution.
const (
	Idempotent        Idempotency = iota // may be executed any number of times
	IdempotentWithKey                    // repeats of the same key are dropped, within a scope and a time window
	NonIdempotent                        // must not be executed twice
)

// DedupScope is the set of endpoints that share deduplication of requests with an idempotency key.
type DedupScope int

// The deduplication scopes.
const (
	DedupFleet DedupScope = iota // all endpoints
	DedupZone                    // the endpoints of one zone
	DedupCell                    // the endpoints of one cell
)

// Class describes one class of requests.
type Class struct {
	Name              string
	Idempotency       Idempotency
	DedupScope        DedupScope    // only for IdempotentWithKey
	IdempotencyWindow time.Duration // IdempotentWithKey only: how long after the first send repeats are dropped
	LatencyObjective  time.Duration // a response within this time has its full value
	Timeout           time.Duration // how long a client waits, over all attempts
	PriorityWeight    float64       // value of a timely response, relative to other classes
}

// Settings configure a Balancer. They do not change during its lifetime.
type Settings struct {
	// Balancers is the number of balancers that share the endpoints. BalancerIndex is the index of this one
	// among them; it stays the same after a restart.
	Balancers     int
	BalancerIndex int
	// TimerResolution is the maximum time by which a timer may fire late.
	TimerResolution time.Duration
	// Classes are the classes of requests. Request.Class is an index into this slice.
	Classes []Class
	// MaxAttempts is the maximum number of attempts per request.
	MaxAttempts int
	// HedgingAllowed is whether a request may have two attempts in flight.
	HedgingAllowed bool
	// MaxRetryAfter is the longest Retry-After that clients respect; 0: no Retry-After is sent.
	MaxRetryAfter time.Duration

	// Zone is the zone of this balancer.
	Zone int
	// CrossZoneCost is the cost of sending an attempt to another zone, as a fraction of the cost of a
	// request; 0: no cost.
	CrossZoneCost float64
	// UseListedWeights is whether Endpoint.Weight is proportional to the endpoint's capacity.
	UseListedWeights bool
	// KeyAffinity is whether a request is cheaper for an endpoint that has recently served the same key.
	KeyAffinity bool

	// SubscriptionRequired is whether the owner subscribes to the endpoint list, or polls it, on Subscribe.
	SubscriptionRequired bool
	// MaxPollInterval is the longest allowed interval between polls of the endpoint list; 0: no limit.
	MaxPollInterval time.Duration
	// MaxPollRetryInterval is the longest allowed time from a failed poll to the next poll; 0: no limit.
	MaxPollRetryInterval time.Duration

	// SlowStartInitialFraction is the minimum fraction of its capacity that an endpoint has when it starts.
	SlowStartInitialFraction float64
	// SlowStartWindow is the time from an endpoint's start until it has its full capacity.
	SlowStartWindow time.Duration
	// SlowStartOverloadFactor is the multiple of its current capacity at which a warming endpoint is
	// overloaded; 0: unknown.
	SlowStartOverloadFactor float64

	// TenantQuotas are fractions of all requests, by tenant index; may be empty.
	TenantQuotas []float64
	// OverQuotaWeight is the factor, from 0 to 1, applied to the priority of requests over their tenant's
	// quota.
	OverQuotaWeight float64
	// ExternalAdmission is whether the owner sheds load itself, based on OverloadLevel. The Balancer then
	// sheds nothing.
	ExternalAdmission bool

	// HealthChecksPerRequest is the number of health checks allowed per request; 0: no health checks.
	HealthChecksPerRequest float64
	// EndpointHealthCheckRate is the maximum number of health checks per second that all balancers together
	// send to one endpoint; 0: no health checks.
	EndpointHealthCheckRate float64
}

// SettingsError is the error that New returns for an invalid setting.
type SettingsError struct {
	Setting string // path of the field in Settings
	Problem string
}

// Error names the setting and what is wrong with it.
func (e *SettingsError) Error() string {
	return fmt.Sprintf("logic: setting %s %s", e.Setting, e.Problem)
}

// validate returns a *SettingsError for the first invalid setting.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return &SettingsError{"Classes", "must not be empty"}
	}
	for i := range s.Classes {
		if err := s.Classes[i].validate(); err != nil {
			return err
		}
	}
	for i, quota := range s.TenantQuotas {
		if quota <= 0 || quota > 1 {
			return &SettingsError{fmt.Sprintf("TenantQuotas[%d]", i), "must be above 0 and at most 1"}
		}
	}
	switch {
	case s.OverQuotaWeight < 0 || s.OverQuotaWeight > 1:
		return &SettingsError{"OverQuotaWeight", "must be from 0 to 1"}
	case s.MaxPollInterval < 0:
		return &SettingsError{"MaxPollInterval", "must not be below 0"}
	case s.MaxPollRetryInterval < 0:
		return &SettingsError{"MaxPollRetryInterval", "must not be below 0"}
	case s.Balancers < 1:
		return &SettingsError{"Balancers", "must be at least 1"}
	case s.MaxAttempts < 1:
		return &SettingsError{"MaxAttempts", "must be at least 1"}
	case s.SlowStartWindow > 0 && (s.SlowStartInitialFraction <= 0 || s.SlowStartInitialFraction > 1):
		return &SettingsError{"SlowStartInitialFraction", "must be above 0 and at most 1"}
	case s.SlowStartOverloadFactor < 0:
		return &SettingsError{"SlowStartOverloadFactor", "must not be below 0"}
	}
	return nil
}

func (c *Class) validate() error {
	switch {
	case c.LatencyObjective <= 0:
		return &SettingsError{fmt.Sprintf("Classes[%q].LatencyObjective", c.Name), "must be above 0"}
	case c.Timeout <= 0:
		return &SettingsError{fmt.Sprintf("Classes[%q].Timeout", c.Name), "must be above 0"}
	case c.Idempotency == IdempotentWithKey && c.IdempotencyWindow <= 0:
		return &SettingsError{fmt.Sprintf("Classes[%q].IdempotencyWindow", c.Name), "must be above 0"}
	}
	return nil
}
