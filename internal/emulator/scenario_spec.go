package emulator

import "ryeweir/internal/config"

// ScenarioSpec is a scenario as described by a TOML file. ApplyDefaults fills in the settings that a file leaves out. Check must
// pass before Draw is called.
type ScenarioSpec struct {
	Name   string          `toml:"name"`
	Length config.Duration `toml:"length"`

	Agents        int     `toml:"agents"`
	AgentSkew     float64 `toml:"agent_skew"`  // traffic of the busiest agent divided by that of the quietest one, minus 1
	HeavyFraction float64 `toml:"heavy"`       // fraction of the agents that get HeavyFactor times the traffic of the others
	HeavyFactor   float64 `toml:"heavy_times"` // 0 for no heavy agents

	Load          float64         `toml:"load"`         // offered work as a fraction of Scenario.Capacity
	Rate          float64         `toml:"rate"`         // requests per second; overrides Load unless 0
	Shape         string          `toml:"shape"`        // how the rate changes over time: see callers.Shape
	Swing         float64         `toml:"swing"`        // relative amplitude of Shape
	Period        config.Duration `toml:"period"`       // of the shapes wave and burst
	Keys          int             `toml:"keys"`         // number of distinct routing keys
	Zipf          float64         `toml:"zipf"`         // exponent of the Zipf distribution of the keys
	CostHintError float64         `toml:"hint"`         // relative standard deviation of the cost hint; negative for no hint
	ResponseBytes int             `toml:"answer_bytes"` // size of a response body
	RequestBytes  int             `toml:"body_bytes"`   // size of the body of a request that is not idempotent

	Kinds   []KindSpec   `toml:"kind"`
	Zones   []string     `toml:"zones"`
	Classes []ClassSpec  `toml:"class"`
	Tenants []TenantSpec `toml:"tenant"`
	Clients ClientSpec   `toml:"clients"`

	Network   NetworkSpec   `toml:"net"`
	Discovery DiscoverySpec `toml:"list"`
	Faults    []FaultSpec   `toml:"trouble"`
	Outages   []OutageSpec  `toml:"outage"`
	Fleet     FleetSpec     `toml:"fleet"`

	RetainFor config.Duration `toml:"keep_for"` // how long the referee retains a request after its end; 0 for the whole run
}

// KindSpec describes a kind of machine and the number of nodes that run on it. Its fields are those of node.Spec, unless they
// have a comment.
type KindSpec struct {
	Name         string  `toml:"name"`
	Nodes        int     `toml:"nodes"` // number of nodes of this kind
	Cores        int     `toml:"cores"`
	Speed        float64 `toml:"speed"`  // mean
	Spread       float64 `toml:"spread"` // relative standard deviation of the speeds
	QueuePerCore float64 `toml:"queue_per_core"`
	SlowStart    bool    `toml:"cold"`   // the nodes start with the scenario, in slow start
	Degrades     bool    `toml:"chokes"` // the nodes slow down after a sustained overload
	ConnCap      int     `toml:"conn_cap"`
	ErrorRate    float64 `toml:"error_rate"`
}

// ClassSpec describes a class of requests. Work is the mean time on a core of speed 1, CV its coefficient of variation. A
// response within LatencyObjective earns PriorityWeight; a later one earns the fraction LateWeight of it. Share is the class's
// fraction of the requests, relative to the sum of all shares.
type ClassSpec struct {
	Name             string          `toml:"name"`
	Share            float64         `toml:"share"`
	Work             config.Duration `toml:"work"`
	CV               float64         `toml:"cv"`
	LatencyObjective config.Duration `toml:"aim"`
	Deadline         config.Duration `toml:"deadline"`
	PriorityWeight   float64         `toml:"worth"`
	LateWeight       float64         `toml:"late_worth"`
	NonIdempotent    bool            `toml:"once"`
}

// TenantSpec describes a tenant. Requests beyond its share have a lower priority weight.
type TenantSpec struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"` // fraction of the requests, relative to the sum of all shares
}

// ClientSpec describes how clients behave. Fields without a comment are those of callers.ClientProfile.
type ClientSpec struct {
	Retries                int             `toml:"retries"`
	AttemptTimeoutFraction float64         `toml:"try_share"`
	Backoff                config.Duration `toml:"backoff"`
	RetryAfterFraction     float64         `toml:"heed"`
	MaxRetryAfter          config.Duration `toml:"most_heed"`
	ImpatientFraction      float64         `toml:"impatient"`
	SlowFraction           float64         `toml:"slow"` // fraction of the calls whose requests are written slowly, in pieces
	MisbehavingRate        float64         `toml:"rude"` // misbehaving clients per second, at each agent
}

// NetworkSpec describes the network between agents and nodes while no fault is active.
type NetworkSpec struct {
	Same   config.Duration `toml:"same"`  // one-way delay within a zone
	Cross  config.Duration `toml:"cross"` // one-way delay between zones
	Jitter config.Duration `toml:"jitter"`
	Loss   float64         `toml:"loss"`
}

// DiscoverySpec describes how late discovery shows changes, and how many requests it handles.
type DiscoverySpec struct {
	RemovalDelay  config.Duration `toml:"notice"` // from a drain or the end of a process until the list shows it
	AdditionDelay config.Duration `toml:"add"`    // from the start of a process until the list shows it
	Rate          float64         `toml:"rate"`   // requests handled per second; 0 for no limit
}

// FaultSpec describes a fault and the nodes it hits: the nodes in Names, all nodes of Zone, and as many more as Nodes says, drawn
// at random. Size, On and Off are those of node.Fault.
type FaultSpec struct {
	Kind    string          `toml:"kind"`
	Nodes   int             `toml:"nodes"` // number of nodes hit in addition to those of Names and Zone
	Names   []string        `toml:"names"`
	Zone    string          `toml:"zone"`
	From    config.Duration `toml:"from"`
	To      config.Duration `toml:"to"`
	Stagger config.Duration `toml:"over"` // from the start at the first node to the start at the last; the others start evenly in between
	Size    float64         `toml:"size"`
	On      config.Duration `toml:"on"`
	Off     config.Duration `toml:"off"`
}

// OutageSpec is an interval in which discovery breaks off all watches and rejects all requests.
type OutageSpec struct {
	From config.Duration `toml:"from"`
	To   config.Duration `toml:"to"`
}

// ScaleTimes multiplies by a factor the scenario's length, the start and end times of everything that happens in it, FaultSpec.Stagger
// and AgentFaultSpec.Duration.
func (spec *ScenarioSpec) ScaleTimes(factor float64) {
	scale := func(durations ...*config.Duration) {
		for _, d := range durations {
			*d = config.Duration(float64(*d) * factor)
		}
	}
	scale(&spec.Length)
	for i := range spec.Faults {
		fault := &spec.Faults[i]
		scale(&fault.From, &fault.To, &fault.Stagger)
	}
	for i := range spec.Outages {
		scale(&spec.Outages[i].From, &spec.Outages[i].To)
	}
	spec.Fleet.scaleTimes(scale)
}

func (f *FleetSpec) scaleTimes(scale func(...*config.Duration)) {
	for i := range f.AgentFaults {
		fault := &f.AgentFaults[i]
		scale(&fault.From, &fault.To, &fault.Duration)
	}
	for i := range f.TrafficShifts {
		scale(&f.TrafficShifts[i].From, &f.TrafficShifts[i].To)
	}
	for i := range f.ListDelays {
		scale(&f.ListDelays[i].From, &f.ListDelays[i].To)
	}
	for i := range f.Partitions {
		scale(&f.Partitions[i].From, &f.Partitions[i].To)
	}
	for i := range f.RetryStorms {
		scale(&f.RetryStorms[i].From, &f.RetryStorms[i].To)
	}
	for i := range f.Paths {
		scale(&f.Paths[i].From, &f.Paths[i].To)
	}
}
