package wire

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"ryeweir/logic"
)

// Site is what the settings of an instance say of its deployment, to the module and to the agent around it.
type Site struct {
	Logic            logic.Settings
	LoadReportFields []string      // the figures of a load report, in order
	Tenants          []string      // names, in the order of the module's numbers
	Zones            []string      // names, in the order of the module's numbers
	ConnectTimeout   time.Duration // a connection that is not established by then has failed
	IdleTimeout      time.Duration // endpoints close connections that are idle for so long
	MaxOpenRequests  int           // requests that may be open at a time; 0: no limit
	MaxRetryAfter    time.Duration // the longest Retry-After that clients heed
}

// DecodeSettings reads the settings object of an instance. The error names the class that is wrong, or is one of encoding/json.
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

// What health checks may cost where the settings allow them at all.
const (
	HealthChecksPerRequest  = 0.02 // for each request of a balancer
	EndpointHealthCheckRate = 4    // a second, for each endpoint
)

// settingsObject is the settings object as it comes, as far as there is a use for it. Its JSON keys are the platform's.
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

// classObject is a class of requests.
type classObject struct {
	Name               string  `json:"Name"`
	Idempotency        string  `json:"Effect"`
	DedupScope         string  `json:"Group"`
	LatencyObjectiveNs int64   `json:"AimNs"`
	TimeoutNs          int64   `json:"DeadlineNs"`
	WindowNs           int64   `json:"WindowNs"`
	PriorityWeight     float64 `json:"Worth"`
}

// limitsObject is what the platform allows an agent.
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

// workloadObject says what endpoints do with requests.
type workloadObject struct {
	KeyAffinity bool `json:"WarmKeys"`
}

// costsObject is what attempts cost, as a share of a request.
type costsObject struct {
	CrossZone float64 `json:"CrossZone"`
}

// reportObject names the figures of a load report.
type reportObject struct {
	Fields []string `json:"Fields"`
}

// rulesObject is how slow start and polling are judged.
type rulesObject struct {
	SlowStartInitialFraction float64 `json:"ColdFrom"`
	SlowStartOverloadFactor  float64 `json:"OverloadFactor"`
	SlowStartWindowNs        int64   `json:"ColdNs"`
	MaxPollIntervalNs        int64   `json:"MustAskInNs"`
}

// tenantObject is a tenant and its quota, as a fraction of the service.
type tenantObject struct {
	Name  string  `json:"Name"`
	Quota float64 `json:"Portion"`
}

// listedWeightsKind says what the weights in the endpoint list are worth.
type listedWeightsKind string

// The kinds of listed weights that say something of capacity.
const (
	weightsNominal listedWeightsKind = "nominal"
	weightsRough   listedWeightsKind = "rough"
)

// discoverySubscribe is the mode of discovery in which the endpoint list is pushed to subscribers.
const discoverySubscribe = "subscribe"

// The settings' words for the module's enumerations, by value.
var (
	idempotencyNames = []string{logic.Idempotent: "repeatable", logic.IdempotentWithKey: "by_key", logic.NonIdempotent: "once"}
	dedupScopeNames  = []string{logic.DedupFleet: "all", logic.DedupZone: "zone", logic.DedupCell: "cell"}
)

// settings maps the object to the module's settings.
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

// class maps a class to the module's. The error names the word that is not known.
func (o *classObject) class() (logic.Class, error) {
	idempotency := slices.Index(idempotencyNames, o.Idempotency)
	if idempotency < 0 {
		return logic.Class{}, fmt.Errorf("class %q has the unknown Effect %q", o.Name, o.Idempotency)
	}
	scope := slices.Index(dedupScopeNames, o.DedupScope)
	if scope < 0 && o.DedupScope != "" {
		return logic.Class{}, fmt.Errorf("class %q has the unknown Group %q", o.Name, o.DedupScope)
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
