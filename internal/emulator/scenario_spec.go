package emulator

import "ryeweir/internal/config"

// ScenarioSpec is a scenario as a TOML file states it. What a file does not state is as in DefaultScenario. Check must pass
// before Draw is called.
type ScenarioSpec struct {
	Name   string          `toml:"name"`
	Length config.Duration `toml:"length"`

	Agents        int     `toml:"agents"`
	AgentSkew     float64 `toml:"agent_skew"`  // how many times the traffic of the quietest agent the busiest one gets, less 1
	HeavyFraction float64 `toml:"heavy"`       // share of the agents that get HeavyFactor times the traffic of the others
	HeavyFactor   float64 `toml:"heavy_times"` // 0 for no heavy agents

	Load          float64         `toml:"load"` // offered work as a share of what the nodes can do
	Rate          float64         `toml:"rate"` // requests a second; takes precedence over Load where it is not 0
	Shape         string          `toml:"shape"`
	Swing         float64         `toml:"swing"`
	Period        config.Duration `toml:"period"`
	Keys          int             `toml:"keys"`         // distinct routing keys
	Zipf          float64         `toml:"zipf"`         // exponent of their popularity
	CostHintError float64         `toml:"hint"`         // relative error of the cost hint; below 0 for no hint
	ResponseBytes int             `toml:"answer_bytes"` // of a response body
	RequestBytes  int             `toml:"body_bytes"`   // of the body of a request that is not idempotent

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

	RetainFor config.Duration `toml:"keep_for"` // how long the referee retains a request past its end; 0 for the whole run
}

// KindSpec is a kind of machine and how many nodes run on it.
type KindSpec struct {
	Name         string  `toml:"name"`
	Nodes        int     `toml:"nodes"`
	Cores        int     `toml:"cores"`
	Speed        float64 `toml:"speed"`
	Spread       float64 `toml:"spread"` // relative standard deviation of the speeds
	QueuePerCore float64 `toml:"queue_per_core"`
	SlowStart    bool    `toml:"cold"`     // its nodes start with the scenario, in slow start
	Degrades     bool    `toml:"chokes"`   // its nodes slow down after a lasting overload
	ConnCap      int     `toml:"conn_cap"` // connections that a node holds at most
	ErrorRate    float64 `toml:"error_rate"`
}

// ClassSpec is a class of requests. Work is the mean time on a core of speed 1, CV its coefficient of variation. A response
// within LatencyObjective earns PriorityWeight; a later one earns LateWeight of it.
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

// TenantSpec is a tenant; requests beyond its share have a lower priority weight.
type TenantSpec struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
}

// ClientSpec is how clients behave: see callers.ClientProfile.
type ClientSpec struct {
	Retries                int             `toml:"retries"`
	AttemptTimeoutFraction float64         `toml:"try_share"`
	Backoff                config.Duration `toml:"backoff"`
	RetryAfterFraction     float64         `toml:"heed"`
	MaxRetryAfter          config.Duration `toml:"most_heed"`
	ImpatientFraction      float64         `toml:"impatient"`
	SlowFraction           float64         `toml:"slow"` // share of the clients that send a request slowly
	MisbehavingRate        float64         `toml:"rude"` // misbehaving clients a second, at each agent
}

// NetworkSpec is the network between agents and nodes, without faults.
type NetworkSpec struct {
	Same   config.Duration `toml:"same"`  // delay one way, within a zone
	Cross  config.Duration `toml:"cross"` // likewise between zones
	Jitter config.Duration `toml:"jitter"`
	Loss   float64         `toml:"loss"`
}

// DiscoverySpec is how quickly discovery learns of changes, and how many requests it handles.
type DiscoverySpec struct {
	RemovalDelay  config.Duration `toml:"notice"` // until the list shows a drain or the end of a process
	AdditionDelay config.Duration `toml:"add"`    // until the list shows a start
	Rate          float64         `toml:"rate"`   // requests handled a second; 0 for no limit
}

// FaultSpec is a fault and the nodes that it hits: those in Names, all of Zone, and so many more drawn by the seed. Size, On
// and Off are those of node.Fault.
type FaultSpec struct {
	Kind    string          `toml:"kind"`
	Nodes   int             `toml:"nodes"`
	Names   []string        `toml:"names"`
	Zone    string          `toml:"zone"`
	From    config.Duration `toml:"from"`
	To      config.Duration `toml:"to"`
	Stagger config.Duration `toml:"over"` // the nodes are hit one after the other, over this time
	Size    float64         `toml:"size"`
	On      config.Duration `toml:"on"`
	Off     config.Duration `toml:"off"`
}

// OutageSpec is a time in which discovery answers nobody.
type OutageSpec struct {
	From config.Duration `toml:"from"`
	To   config.Duration `toml:"to"`
}

// ScaleTimes multiplies by a factor all times of the scenario at which something begins or ends.
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
