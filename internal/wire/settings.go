package wire

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"ryeweir/logic"
)

// Site holds the decoded settings of an instance: those of its balancer, and those that only the agent around it uses.
type Site struct {
	Logic            logic.Settings
	LoadReportFields []string      // names of the values in a load report, in order
	Tenants          []string      // names, by tenant index
	Zones            []string      // names, by zone index
	ConnectTimeout   time.Duration // limit for establishing a connection
	IdleTimeout      time.Duration // endpoints close connections that are idle for longer
	MaxOpenRequests  int           // maximum number of concurrent requests; 0 means no limit
	MaxRetryAfter    time.Duration // longest Retry-After that clients respect
}

// DecodeSettings decodes the settings object of an instance. Its errors come from encoding/json or name the invalid class.
func DecodeSettings(data []byte) (Site, error) {
	var object settingsObject
	if err := json.Unmarshal(data, &object); err != nil {
		return Site{}, err
	}
	settings, err := object.settings()
	site := Site{
		Logic:            settings,
		LoadReportFields: object.Report.Fields,
		Zones:            object.Zones,
		ConnectTimeout:   time.Duration(object.Limits.ConnectTimeoutNs),
		IdleTimeout:      time.Duration(object.Limits.IdleTimeoutNs),
		MaxOpenRequests:  object.Limits.MaxOpenRequests,
		MaxRetryAfter:    time.Duration(object.Limits.MaxRetryAfterNs),
	}
	for _, tenant := range object.Tenants {
		site.Tenants = append(site.Tenants, tenant.Name)
	}
	return site, err
}

// The health check budget, if the settings allow health checks.
const (
	HealthChecksPerRequest  = 0.02 // health checks per request of a balancer
	EndpointHealthCheckRate = 4    // health checks per second to one endpoint
)

// settingsObject is the JSON form of the settings, without the keys that are not used. The platform defines the keys, and the struct tags map
// them to the names that the code uses.
type settingsObject struct {
	Balancers  int               `json:"Balancers"`
	Classes    []classObject     `json:"Classes"`
	Limits     limitsObject      `json:"Ceilings"`
	Discovery  string            `json:"Discovery"`
	Workload   workloadObject    `json:"Domain"`
	Costs      costsObject       `json:"Prices"`
	Report     reportObject      `json:"Report"`
	Rules      rulesObject       `json:"Rules"`
	Tenants    []tenantObject    `json:"Tenants"`
	Zones      []string          `json:"Zones"`
	OverQuota  float64           `json:"OverShareWorth"`
	TickNs     int64             `json:"TickNs"`
	Index      int               `json:"Me"`
	WeightKind listedWeightsKind `json:"WeightKind"`
	Zone       int               `json:"Zone"`
}

// classObject is the JSON form of a request class.
type classObject struct {
	Name               string  `json:"Name"`
	Idempotency        string  `json:"Effect"`
	DedupScope         string  `json:"Group"`
	LatencyObjectiveNs int64   `json:"AimNs"`
	TimeoutNs          int64   `json:"DeadlineNs"`
	WindowNs           int64   `json:"WindowNs"`
	PriorityWeight     float64 `json:"Worth"`
}

// limitsObject contains limits and permissions that the platform sets for an agent.
type limitsObject struct {
	HedgingAllowed      bool  `json:"ParallelTries"`
	RetryAfterAllowed   bool  `json:"RetryAfter"`
	HealthChecksAllowed bool  `json:"Probes"`
	MaxRetryAfterNs     int64 `json:"MaxRetryAfterNs"`
	ConnectTimeoutNs    int64 `json:"ConnectTimeoutNs"`
	IdleTimeoutNs       int64 `json:"ConnIdleNs"`
	MaxAttempts         int   `json:"MostTries"`
	MaxOpenRequests     int   `json:"MostHeld"`
}

// workloadObject describes how endpoints process requests.
type workloadObject struct {
	KeyAffinity bool `json:"WarmKeys"`
}

// costsObject contains costs of attempts, as a fraction of a request.
type costsObject struct {
	CrossZone float64 `json:"CrossZone"`
}

// reportObject names the values in a load report.
type reportObject struct {
	Fields []string `json:"Fields"`
}

// rulesObject contains the parameters of slow start and of polling the endpoint list.
type rulesObject struct {
	SlowStartInitialFraction float64 `json:"ColdFrom"`
	SlowStartOverloadFactor  float64 `json:"OverloadFactor"`
	SlowStartWindowNs        int64   `json:"ColdNs"`
	MaxPollIntervalNs        int64   `json:"MustAskInNs"`
}

// tenantObject is a tenant and its quota, as a fraction of the total service.
type tenantObject struct {
	Name  string  `json:"Name"`
	Quota float64 `json:"Portion"`
}

// listedWeightsKind defines how the weights in the endpoint list relate to capacity.
type listedWeightsKind string

// The kinds of listed weights that indicate the capacity of endpoints.
const (
	weightsNominal listedWeightsKind = "nominal"
	weightsRough   listedWeightsKind = "rough"
)

// discoverySubscribe is the mode of discovery in which the endpoint list is pushed to subscribers.
const discoverySubscribe = "subscribe"

// Names in the settings, by the value of the enumeration in package logic.
var (
	idempotencyNames = []string{logic.Idempotent: "repeatable", logic.IdempotentWithKey: "by_key", logic.NonIdempotent: "once"}
	dedupScopeNames  = []string{logic.DedupFleet: "all", logic.DedupZone: "zone", logic.DedupCell: "cell"}
)

// settings converts the object to the settings of a balancer.
func (o *settingsObject) settings() (logic.Settings, error) {
	s := logic.Settings{
		Balancers:                o.Balancers,
		BalancerIndex:            o.Index,
		OverQuotaWeight:          o.OverQuota,
		MaxPollInterval:          time.Duration(o.Rules.MaxPollIntervalNs),
		TimerResolution:          time.Duration(o.TickNs),
		Zone:                     o.Zone,
		CrossZoneCost:            o.Costs.CrossZone,
		UseListedWeights:         o.WeightKind == weightsNominal || o.WeightKind == weightsRough,
		SubscriptionRequired:     o.Discovery == discoverySubscribe,
		KeyAffinity:              o.Workload.KeyAffinity,
		MaxAttempts:              o.Limits.MaxAttempts,
		HedgingAllowed:           o.Limits.HedgingAllowed,
		SlowStartInitialFraction: o.Rules.SlowStartInitialFraction,
		SlowStartWindow:          time.Duration(o.Rules.SlowStartWindowNs),
		SlowStartOverloadFactor:  o.Rules.SlowStartOverloadFactor,
	}
	for _, tenant := range o.Tenants {
		s.TenantQuotas = append(s.TenantQuotas, tenant.Quota)
	}
	if o.Limits.HealthChecksAllowed {
		s.HealthChecksPerRequest, s.EndpointHealthCheckRate = HealthChecksPerRequest, EndpointHealthCheckRate
	}
	if o.Limits.RetryAfterAllowed {
		s.MaxRetryAfter = time.Duration(o.Limits.MaxRetryAfterNs)
	}
	for _, object := range o.Classes {
		class, err := object.class()
		if err != nil {
			return s, err
		}
		s.Classes = append(s.Classes, class)
	}
	return s, nil
}

// class converts a class. The error names the unknown Effect or Group.
func (o *classObject) class() (logic.Class, error) {
	idempotency := slices.Index(idempotencyNames, o.Idempotency)
	if idempotency < 0 {
		return logic.Class{}, fmt.Errorf("class %q has unknown Effect %q", o.Name, o.Idempotency)
	}
	scope := slices.Index(dedupScopeNames, o.DedupScope)
	if scope < 0 && o.DedupScope != "" {
		return logic.Class{}, fmt.Errorf("class %q has unknown Group %q", o.Name, o.DedupScope)
	}
	return logic.Class{
		Name:              o.Name,
		Idempotency:       logic.Idempotency(idempotency),
		DedupScope:        logic.DedupScope(max(scope, 0)),
		IdempotencyWindow: time.Duration(o.WindowNs),
		LatencyObjective:  time.Duration(o.LatencyObjectiveNs),
		Timeout:           time.Duration(o.TimeoutNs),
		PriorityWeight:    o.PriorityWeight,
	}, nil
}
