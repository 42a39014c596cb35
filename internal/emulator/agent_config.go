package emulator

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"ryeweir/internal/emulator/discovery"
)

// Limits are the resources that an agent may use on its machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// DefaultLimits returns the platform's limits.
func DefaultLimits() Limits { return Limits{Cores: 1, MemoryMB: 192, Sockets: 1024} }

// agentConfig is the platform's configuration of an agent. Its fields, and those of AgentSettings, are in the alphabetical order of
// their keys.
type agentConfig struct {
	Control   string          `json:"control,omitempty"`
	Discovery string          `json:"discovery"`
	Known     *discovery.List `json:"known,omitempty"`
	Limits    Limits          `json:"limits"`
	Listen    string          `json:"listen"`
	Name      string          `json:"name"`
	Seed      string          `json:"seed"` // 16 hexadecimal digits
	Settings  AgentSettings   `json:"settings"`
}

// AgentConfig returns the platform's configuration, as JSON, of the agent with that index. listen, control and discoveryAddr are
// host:port. An empty control address is left out of the configuration. known is the endpoint list that the agent starts with, or
// nil.
func (scenario *Scenario) AgentConfig(agent int, listen, control, discoveryAddr string, limits Limits, known *discovery.List) ([]byte, error) {
	return json.MarshalIndent(agentConfig{
		Control:   control,
		Discovery: discoveryAddr,
		Known:     known,
		Limits:    limits,
		Listen:    listen,
		Name:      scenario.Agents[agent],
		Seed:      fmt.Sprintf("%016x", scenario.Seed*64+uint64(agent)+1),
		Settings:  scenario.Settings(agent),
	}, "", " ")
}

// AgentSettings is the settings object of an agent in the platform's configuration. Keys and units are defined by the platform: Ns
// stands for nanoseconds, Us for microseconds.
type AgentSettings struct {
	Balancers      int              `json:"Balancers"`
	Blend          scoreWeights     `json:"Blend"`
	Callers        callerSettings   `json:"Callers"`
	Ceilings       ceilings         `json:"Ceilings"`
	Classes        []classSettings  `json:"Classes"`
	Discovery      string           `json:"Discovery"`
	Domain         domainSettings   `json:"Domain"`
	Family         string           `json:"Family"`
	Me             int              `json:"Me"`
	OverShareWorth float64          `json:"OverShareWorth"`
	Prices         priceSettings    `json:"Prices"`
	Report         reportSettings   `json:"Report"`
	Rules          ruleSettings     `json:"Rules"`
	Skus           []string         `json:"Skus"`
	Tenants        []tenantSettings `json:"Tenants"`
	TickNs         time.Duration    `json:"TickNs"`
	Tier           int              `json:"Tier"`
	Tiers          []string         `json:"Tiers"`
	WeightKind     string           `json:"WeightKind"`
	WorthBy        string           `json:"WorthBy"`
	Zone           int              `json:"Zone"`
	Zones          []string         `json:"Zones"`
}

type (
	scoreWeights struct {
		Whole       float64 `json:"Whole"`
		WorstClass  float64 `json:"WorstClass"`
		WorstTenant float64 `json:"WorstTenant"`
		WorstWindow float64 `json:"WorstWindow"`
	}
	callerSettings struct {
		MarksRetry bool `json:"MarksRetry"`
	}
	ceilings struct {
		ConnIdleNs       time.Duration `json:"ConnIdleNs"`
		ConnectTimeoutNs time.Duration `json:"ConnectTimeoutNs"`
		CPUUsPerRequest  float64       `json:"CpuUsPerRequest"`
		CPUUsPerS        int           `json:"CpuUsPerS"`
		MaxRetryAfterNs  time.Duration `json:"MaxRetryAfterNs"`
		MaxStreams       int           `json:"MaxStreams"`
		MayCancel        bool          `json:"MayCancel"`
		MostHeld         int           `json:"MostHeld"`
		MostTries        int           `json:"MostTries"`
		ParallelTries    bool          `json:"ParallelTries"`
		Peers            bool          `json:"Peers"`
		Probes           bool          `json:"Probes"`
		RetryAfter       bool          `json:"RetryAfter"`
	}
	classSettings struct {
		LatencyObjective time.Duration `json:"AimNs"`
		DeadlineNs       time.Duration `json:"DeadlineNs"`
		Effect           string        `json:"Effect"`
		Group            string        `json:"Group"`
		LateWeight       float64       `json:"LateWorth"`
		Name             string        `json:"Name"`
		Streamed         bool          `json:"Streamed"`
		WindowNs         time.Duration `json:"WindowNs"`
		PriorityWeight   float64       `json:"Worth"`
	}
	domainSettings struct {
		WarmKeys bool `json:"WarmKeys"`
	}
	priceSettings struct {
		Connection float64 `json:"Connection"`
		CrossZone  float64 `json:"CrossZone"`
		Discovery  float64 `json:"Discovery"`
		Handshake  float64 `json:"Handshake"`
		LateFail   float64 `json:"LateFail"`
		Moves      float64 `json:"Moves"`
		Origin     float64 `json:"Origin"`
		Peer       float64 `json:"Peer"`
		Probe      float64 `json:"Probe"`
		Waste      float64 `json:"Waste"`
	}
	reportSettings struct {
		Fields []string `json:"Fields"`
		Via    string   `json:"Via"`
	}
	ruleSettings struct {
		SlowStartInitialFraction float64       `json:"ColdFrom"`
		SlowStartWindow          time.Duration `json:"ColdNs"`
		DrainGraceNs             time.Duration `json:"DrainGraceNs"`
		OverloadWindow           time.Duration `json:"FallNs"`
		GraceToAnswerNs          time.Duration `json:"GraceToAnswerNs"`
		MustAskInNs              time.Duration `json:"MustAskInNs"`
		OverloadFactor           float64       `json:"OverloadFactor"`
	}
	tenantSettings struct {
		Name      string  `json:"Name"`
		Portion   float64 `json:"Portion"`
		QuotaPerS float64 `json:"QuotaPerS"`
	}
)

// Settings of agents that are the same in all scenarios.
const (
	agentTick       = 5 * time.Millisecond
	classWindow     = 5 * time.Second
	drainGrace      = 250 * time.Millisecond
	graceToAnswer   = 20 * time.Millisecond
	maxPollInterval = 10 * time.Second
	agentCPUPerS    = 80_000 // microseconds
	maxHeldRequests = 20_000
	maxAttempts     = 5
)

// Settings returns the settings object of the agent with that index.
func (scenario *Scenario) Settings(agent int) AgentSettings {
	return AgentSettings{
		Balancers: len(scenario.Agents),
		Blend:     scoreWeights{Whole: 0.35, WorstWindow: 0.35, WorstClass: 0.2, WorstTenant: 0.1},
		Ceilings: ceilings{
			ConnIdleNs:       ConnectionIdleTimeout,
			ConnectTimeoutNs: ConnectTimeout,
			CPUUsPerS:        agentCPUPerS,
			MaxRetryAfterNs:  scenario.Spec.Clients.MaxRetryAfter.D(),
			MaxStreams:       1,
			MayCancel:        true,
			MostHeld:         maxHeldRequests,
			MostTries:        maxAttempts,
			ParallelTries:    true,
			Probes:           true,
			RetryAfter:       true,
		},
		Classes:        scenario.classSettings(),
		Discovery:      "subscribe",
		Domain:         domainSettings{WarmKeys: true},
		Family:         "mesh",
		Me:             agent,
		OverShareWorth: 0.2,
		Prices:         priceSettings{CrossZone: 0.01, LateFail: 0.03, Probe: 0.045, Waste: 0.05},
		Report:         reportSettings{Fields: loadReportFields(), Via: loadReportMode},
		Rules:          scenario.ruleSettings(),
		Skus:           scenario.kindNames(),
		Tenants:        scenario.tenantSettings(),
		TickNs:         agentTick,
		Tiers:          []string{"order-api"},
		WeightKind:     "silent",
		WorthBy:        "work",
		Zone:           slices.Index(scenario.Spec.Zones, scenario.AgentZone(agent)),
		Zones:          scenario.Spec.Zones,
	}
}

func (scenario *Scenario) classSettings() (settings []classSettings) {
	for _, class := range scenario.Classes {
		effect := "repeatable"
		if class.NonIdempotent {
			effect = "once"
		}
		settings = append(settings, classSettings{
			Name:             class.Name,
			Effect:           effect,
			Group:            "all",
			LatencyObjective: class.LatencyObjective,
			DeadlineNs:       class.Deadline,
			PriorityWeight:   class.PriorityWeight,
			LateWeight:       class.LateWeight,
			WindowNs:         classWindow,
		})
	}
	return settings
}

// tenantSettings returns the tenants' shares, and quotas that divide the scenario's rate by these shares, in requests per second.
func (scenario *Scenario) tenantSettings() (settings []tenantSettings) {
	total := 0.0
	for _, tenant := range scenario.Tenants {
		total += tenant.Share
	}
	for _, tenant := range scenario.Tenants {
		settings = append(settings, tenantSettings{
			Name:      tenant.Name,
			Portion:   tenant.Share / total,
			QuotaPerS: scenario.Rate * tenant.Share / total,
		})
	}
	return settings
}

// ruleSettings takes the slow start settings from the first node, since they are the same for all nodes.
func (scenario *Scenario) ruleSettings() ruleSettings {
	node := scenario.Nodes[0]
	return ruleSettings{
		SlowStartInitialFraction: node.SlowStartInitialFraction,
		SlowStartWindow:          node.SlowStartWindow,
		DrainGraceNs:             drainGrace,
		OverloadWindow:           node.OverloadWindow,
		GraceToAnswerNs:          graceToAnswer,
		MustAskInNs:              maxPollInterval,
		OverloadFactor:           node.SlowStartOverloadFactor,
	}
}

func (scenario *Scenario) kindNames() []string {
	names := []string{}
	for _, kind := range scenario.Spec.Kinds {
		names = append(names, kind.Name)
	}
	return names
}

// loadReportMode is the mode in which agents fetch a node's load report with separate requests.
const loadReportMode = "pull"

// loadReportFields returns the fields of a node's load report: completed requests per second and utilization.
func loadReportFields() []string { return []string{"qps", "util"} }
