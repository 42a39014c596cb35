package logic

import (
	"fmt"
	"time"
)

// Idempotency says what executing a request of a class more than once would do.
type Idempotency int

// The kinds of idempotency, from the least harmful on.
const (
	Idempotent        Idempotency = iota // may be executed any number of times
	IdempotentWithKey                    // repeats of its key are dropped, within a scope and for a time
	NonIdempotent                        // must not be executed twice
)

// DedupScope names the endpoints that drop repeats of a request with an idempotency key among themselves.
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
	DedupScope        DedupScope    // of IdempotentWithKey
	IdempotencyWindow time.Duration // of IdempotentWithKey: repeats are dropped for so long after the first send
	LatencyObjective  time.Duration // an answer within this time counts in full
	Timeout           time.Duration // how long a client waits over all attempts
	PriorityWeight    float64       // value of an answer in time, relative to other classes
}

// Settings configure a Balancer. They do not change while it lives.
type Settings struct {
	// Balancers is the number of balancers in front of the same endpoints, and BalancerIndex the number of
	// this one among them, the same after a restart.
	Balancers     int
	BalancerIndex int
	// TimerResolution is the most by which a timer may be late.
	TimerResolution time.Duration
	// Classes are the classes of requests. A Request names its class by the index here.
	Classes []Class
	// MaxAttempts bounds the attempts for one request.
	MaxAttempts int
	// HedgingAllowed says that a request may have two attempts in flight.
	HedgingAllowed bool
	// MaxRetryAfter is the longest Retry-After that clients respect; 0: none is given.
	MaxRetryAfter time.Duration

	// Zone is the zone of this balancer.
	Zone int
	// CrossZoneCost is the cost of an attempt in another zone, as a fraction of a request; 0: none.
	CrossZoneCost float64
	// UseListedWeights says that Endpoint.Weight is proportional to capacity.
	UseListedWeights bool
	// KeyAffinity says that an endpoint which has served a key lately does less work for it.
	KeyAffinity bool

	// SubscriptionRequired says that the owner subscribes to the endpoint list, or polls it, on Subscribe.
	SubscriptionRequired bool
	// MaxPollInterval is the time within which the list must be polled; 0: no limit.
	MaxPollInterval time.Duration
	// MaxPollRetryInterval is the time within which the list must be polled after a failed poll; 0: no limit.
	MaxPollRetryInterval time.Duration

	// SlowStartInitialFraction is the fraction of its capacity that an endpoint has at its start, at least.
	SlowStartInitialFraction float64
	// SlowStartWindow is the time from its start until an endpoint has its full capacity.
	SlowStartWindow time.Duration
	// SlowStartOverloadFactor is the multiple of its present capacity that overloads a warming endpoint; 0:
	// not known.
	SlowStartOverloadFactor float64

	// TenantQuotas are fractions of all requests, one for each tenant; may be empty.
	TenantQuotas []float64
	// OverQuotaWeight is the factor, from 0 to 1, of the priority of a request over its tenant's quota.
	OverQuotaWeight float64
	// ExternalAdmission says that the owner sheds load, by OverloadLevel. The Balancer then sheds none.
	ExternalAdmission bool

	// HealthChecksPerRequest is the number of health checks allowed for each request; 0: none.
	HealthChecksPerRequest float64
	// EndpointHealthCheckRate is the most health checks that an endpoint gets from all balancers together,
	// per second; 0: none.
	EndpointHealthCheckRate float64
}

// SettingsError is the error of New for a setting that it does not accept.
type SettingsError struct {
	Setting string // path of the field in Settings
	Problem string
}

// Error names the setting and what is wrong with it.
func (e *SettingsError) Error() string {
	return fmt.Sprintf("logic: setting %s %s", e.Setting, e.Problem)
}

// validate returns a *SettingsError for the first setting that is not acceptable.
func (set *Settings) validate() error {
	if len(set.Classes) == 0 {
		return &SettingsError{"Classes", "must not be empty"}
	}
	for i := range set.Classes {
		if err := set.Classes[i].validate(); err != nil {
			return err
		}
	}
	for i, quota := range set.TenantQuotas {
		if quota <= 0 || quota > 1 {
			return &SettingsError{fmt.Sprintf("TenantQuotas[%d]", i), "must be above 0 and at most 1"}
		}
	}
	switch {
	case set.OverQuotaWeight < 0 || set.OverQuotaWeight > 1:
		return &SettingsError{"OverQuotaWeight", "must be from 0 to 1"}
	case set.MaxPollInterval < 0:
		return &SettingsError{"MaxPollInterval", "must not be below 0"}
	case set.MaxPollRetryInterval < 0:
		return &SettingsError{"MaxPollRetryInterval", "must not be below 0"}
	case set.Balancers < 1:
		return &SettingsError{"Balancers", "must be at least 1"}
	case set.MaxAttempts < 1:
		return &SettingsError{"MaxAttempts", "must be at least 1"}
	case set.SlowStartWindow > 0 && (set.SlowStartInitialFraction <= 0 || set.SlowStartInitialFraction > 1):
		return &SettingsError{"SlowStartInitialFraction", "must be above 0 and at most 1"}
	case set.SlowStartOverloadFactor < 0:
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
