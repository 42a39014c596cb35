// Package emulator is the emulator: order nodes, discovery, a network with faults, callers and a referee, put together for a
// day. It imports nothing of the agent.
package emulator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ryeweir/internal/config"
	"ryeweir/internal/emulator/callers"
	"ryeweir/internal/emulator/link"
	"ryeweir/internal/emulator/node"
)

// ScenarioSpec says in a file what a day is like. What is not stated is as DefaultDay has it.
type ScenarioSpec struct {
	Name          string          `toml:"name"`
	Length        config.Duration `toml:"length"`
	Agents        int             `toml:"agents"`
	AgentSkew     float64         `toml:"agent_skew"` // how many times busier than the quietest the busiest agent is, less 1
	HeavyFraction float64         `toml:"heavy"`      // share of the agents that see heavy_times the traffic of the others
	HeavyFactor   float64         `toml:"heavy_times"`
	Load          float64         `toml:"load"` // asked for, as a share of what the nodes can do
	Rate          float64         `toml:"rate"` // requests a second; goes before load
	Shape         string          `toml:"shape"`
	Swing         float64         `toml:"swing"`
	Period        config.Duration `toml:"period"`
	Keys          int             `toml:"keys"`
	Zipf          float64         `toml:"zipf"`
	CostHintError float64         `toml:"hint"` // relative error of the cost hint; below 0 for no hint
	ResponseBytes int             `toml:"answer_bytes"`
	RequestBytes  int             `toml:"body_bytes"`
	Kinds         []KindSpec      `toml:"kind"`
	Zones         []string        `toml:"zones"`
	Classes       []ClassSpec     `toml:"class"`
	Tenants       []TenantSpec    `toml:"tenant"`
	Clients       ClientSpec      `toml:"clients"`
	Network       NetworkSpec     `toml:"net"`
	Discovery     DiscoverySpec   `toml:"list"`
	Faults        []FaultSpec     `toml:"trouble"`
	Outages       []OutageSpec    `toml:"outage"`
	Fleet         FleetSpec       `toml:"fleet"`
	RetainFor     config.Duration `toml:"keep_for"` // how long the referee remembers a request past its end; 0 for all of the day
}

// KindSpec is a kind of machine.
type KindSpec struct {
	Name         string  `toml:"name"`
	Nodes        int     `toml:"nodes"`
	Cores        int     `toml:"cores"`
	Speed        float64 `toml:"speed"`
	Spread       float64 `toml:"spread"` // of the speeds: relative standard deviation
	QueuePerCore float64 `toml:"queue_per_core"`
	SlowStart    bool    `toml:"cold"`     // starts with the day
	Degrades     bool    `toml:"chokes"`   // turns slow after a lasting overload
	ConnCap      int     `toml:"conn_cap"` // connections held at most
	ErrorRate    float64 `toml:"error_rate"`
}

// ClassSpec is a class of requests.
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

// TenantSpec is a tenant; what it asks for beyond its share is worth less.
type TenantSpec struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
}

// ClientSpec is how clients behave.
type ClientSpec struct {
	Retries                int             `toml:"retries"`
	AttemptTimeoutFraction float64         `toml:"try_share"`
	Backoff                config.Duration `toml:"backoff"`
	RetryAfterFraction     float64         `toml:"heed"`
	MaxRetryAfter          config.Duration `toml:"most_heed"`
	ImpatientFraction      float64         `toml:"impatient"`
	SlowFraction           float64         `toml:"slow"` // share that takes its time over sending
	MisbehavingRate        float64         `toml:"rude"` // rude clients a second, at each agent
}

// NetworkSpec is the network between agents and nodes.
type NetworkSpec struct {
	Same   config.Duration `toml:"same"`  // one way, in a zone
	Cross  config.Duration `toml:"cross"` // between zones
	Jitter config.Duration `toml:"jitter"`
	Loss   float64         `toml:"loss"`
}

// DiscoverySpec is how discovery behaves.
type DiscoverySpec struct {
	RemovalDelay  config.Duration `toml:"notice"` // until the list tells of a drain or a death
	AdditionDelay config.Duration `toml:"add"`    // and of a start
	Rate          float64         `toml:"rate"`   // calls a second that it can handle; 0 for no limit
}

// FaultSpec is a trouble and whom it befalls: so many nodes, drawn by the day's seed, those named, or all of a zone.
type FaultSpec struct {
	Kind    string          `toml:"kind"`
	Nodes   int             `toml:"nodes"`
	Names   []string        `toml:"names"`
	Zone    string          `toml:"zone"`
	From    config.Duration `toml:"from"`
	To      config.Duration `toml:"to"`
	Stagger config.Duration `toml:"over"` // they begin one after the other over this time, and end as much later
	Size    float64         `toml:"size"`
	On      config.Duration `toml:"on"`
	Off     config.Duration `toml:"off"`
}

// OutageSpec is a time in which discovery is down.
type OutageSpec struct {
	From config.Duration `toml:"from"`
	To   config.Duration `toml:"to"`
}

func ms(n float64) config.Duration { return config.Duration(n * float64(time.Millisecond)) }

// DefaultScenario is a quiet day of 20 s on ten nodes of two kinds in three zones, with two agents and about 290 requests a
// second.
func DefaultScenario() ScenarioSpec {
	return ScenarioSpec{Name: "quiet", Length: config.Duration(20 * time.Second), Agents: 2, AgentSkew: 1, Load: 0.5, Shape: "steady",
		Period: config.Duration(10 * time.Second), Keys: 700, Zipf: 0.95, CostHintError: 0.2, ResponseBytes: 400, RequestBytes: 200,
		Kinds: DefaultKinds(), Zones: []string{"colombo", "kandy", "galle"}, Classes: DefaultClasses(), Tenants: DefaultTenants(),
		Clients:   ClientSpec{Retries: 3, AttemptTimeoutFraction: 0.42, Backoff: ms(20), RetryAfterFraction: 0.2, MaxRetryAfter: ms(2000), ImpatientFraction: 0.015},
		Network:   NetworkSpec{Same: ms(0.25), Cross: ms(4.5), Jitter: ms(0.3)},
		Discovery: DiscoverySpec{RemovalDelay: ms(1000), AdditionDelay: ms(800), Rate: 60},
	}
}

// DefaultKinds are the two kinds of machine.
func DefaultKinds() []KindSpec {
	return []KindSpec{
		{Name: "gen-a", Nodes: 4, Cores: 2, Speed: 0.97, Spread: 0.1, QueuePerCore: 2.6, Degrades: true, ConnCap: 390, ErrorRate: 0.0003},
		{Name: "gen-b", Nodes: 6, Cores: 2, Speed: 0.75, Spread: 0.16, QueuePerCore: 2.5, Degrades: true, ConnCap: 390, ErrorRate: 0.0003},
	}
}

// DefaultClasses are the two classes; their work is scaled so that ten nodes are asked for about 290 requests a second at
// half of what they can do.
func DefaultClasses() []ClassSpec {
	return []ClassSpec{
		{Name: "price-basket", Share: 0.6, Work: ms(35), CV: 1.1, LatencyObjective: ms(500), Deadline: ms(2000), PriorityWeight: 1, LateWeight: 0.5},
		{Name: "place-order", Share: 0.4, Work: ms(18), CV: 1, LatencyObjective: ms(200), Deadline: ms(800), PriorityWeight: 8, LateWeight: 0.25, NonIdempotent: true},
	}
}

// DefaultTenants are the four brands.
func DefaultTenants() []TenantSpec {
	return []TenantSpec{{"ranmuthu-eats", 0.56}, {"kottu-run", 0.24}, {"bath-box", 0.11}, {"sambol-go", 0.09}}
}

// ApplyDefaults puts the defaults in place of what a file does not state: a table of a file starts empty.
func (spec *ScenarioSpec) ApplyDefaults() {
	def := DefaultScenario()
	fillDuration := func(p *config.Duration, v config.Duration) {
		if *p == 0 {
			*p = v
		}
	}
	fillDuration(&spec.Length, def.Length)
	fillDuration(&spec.Period, def.Period)
	if spec.Name == "" {
		spec.Name = def.Name
	}
	if spec.Agents == 0 {
		spec.Agents = def.Agents
	}
	if spec.Shape == "" {
		spec.Shape = def.Shape
	}
	if spec.Load == 0 {
		spec.Load = def.Load
	}
	if len(spec.Kinds) == 0 {
		spec.Kinds = def.Kinds
	}
	if len(spec.Zones) == 0 {
		spec.Zones = def.Zones
	}
	if len(spec.Classes) == 0 {
		spec.Classes = def.Classes
	}
	if len(spec.Tenants) == 0 {
		spec.Tenants = def.Tenants
	}
	if spec.Clients == (ClientSpec{}) {
		spec.Clients = def.Clients
	}
	if spec.Network == (NetworkSpec{}) {
		spec.Network = def.Network
	}
	if spec.Discovery == (DiscoverySpec{}) {
		spec.Discovery = def.Discovery
	}
	if spec.Keys == 0 && spec.Zipf == 0 {
		spec.Keys, spec.Zipf = def.Keys, def.Zipf
	}
	if spec.CostHintError == 0 {
		spec.CostHintError = def.CostHintError
	}
	if spec.ResponseBytes == 0 {
		spec.ResponseBytes = def.ResponseBytes
	}
	if spec.RequestBytes == 0 {
		spec.RequestBytes = def.RequestBytes
	}
}

// MaxProcesses is how many agents a day has at most where each is a process.
const MaxProcesses = 64

// Bounds of a day.
const (
	maxAgents = 10000
	maxNodes  = 256
	maxLength = time.Hour
	// Requests of a day: those of 300 agents before 200 nodes for a minute, with room.
	maxPlannedRequests = 600_000
)

// Check says what is wrong, with keys below a prefix such as "day[0].".
func (spec *ScenarioSpec) Check(prefix string) error {
	var all []error
	wrong := func(key, format string, args ...any) { all = append(all, config.Wrong(prefix+key, format, args...)) }
	if spec.Length.D() <= 0 || spec.Length.D() > maxLength {
		wrong("length", "must be above 0 and at most %v, not %v", maxLength, spec.Length.D())
	}
	if spec.Agents < 1 || spec.Agents > maxAgents {
		wrong("agents", "must be from 1 to %d, not %d", maxAgents, spec.Agents)
	}
	if spec.AgentSkew < 0 {
		wrong("agent_skew", "must not be below 0")
	}
	if spec.Load < 0 || spec.Rate < 0 || spec.Load > 20 {
		wrong("load", "load must be from 0 to 20 and rate not below 0")
	}
	if spec.ResponseBytes < 0 || spec.ResponseBytes > 32<<20 || spec.RequestBytes < 0 || spec.RequestBytes > 32<<20 {
		wrong("answer_bytes", "answers and bodies hold from 0 to 32 MiB")
	}
	nodes := 0
	for i, k := range spec.Kinds {
		nodes += k.Nodes
		if k.Nodes < 1 || k.Cores < 1 || !(k.Speed > 0) || k.Spread < 0 || k.Spread > 0.5 || k.QueuePerCore < 0 || k.ConnCap < 0 {
			wrong(fmt.Sprintf("kind[%d].name", i), "%q needs nodes, cores and a speed above 0, a spread from 0 to 0.5, and no figure below 0", k.Name)
		}
	}
	if nodes > maxNodes {
		wrong("kind", "%d nodes are more than %d", nodes, maxNodes)
	}
	for i, c := range spec.Classes {
		if c.Name == "" || c.Share <= 0 || c.Work <= 0 || c.LatencyObjective <= 0 || c.Deadline < c.LatencyObjective || c.PriorityWeight <= 0 || c.LateWeight < 0 || c.LateWeight > 1 || c.CV < 0 {
			wrong(fmt.Sprintf("class[%d].name", i), "%q needs a name, share, work, worth, an aim above 0 and a deadline not before it", c.Name)
		}
	}
	for i, t := range spec.Tenants {
		if t.Name == "" || t.Share <= 0 || t.Share > 1 {
			wrong(fmt.Sprintf("tenant[%d].share", i), "must be above 0 and at most 1, of a tenant with a name")
		}
	}
	if err := (link.Conditions{Delay: spec.Network.Cross.D(), Jitter: spec.Network.Jitter.D(), Loss: spec.Network.Loss}).Check(); err != nil || spec.Network.Same < 0 {
		wrong("net.loss", "%v", errors.Join(err, errors.New("no time may be below 0")))
	}
	if c := spec.Clients; c.Retries < 0 || c.Retries > 10 || c.AttemptTimeoutFraction < 0 || c.AttemptTimeoutFraction > 1 || c.Backoff < 0 || c.RetryAfterFraction < 0 || c.RetryAfterFraction > 1 ||
		c.ImpatientFraction < 0 || c.ImpatientFraction > 1 || c.SlowFraction < 0 || c.SlowFraction > 1 || c.MisbehavingRate < 0 || c.MisbehavingRate > 1000 {
		wrong("clients.retries", "retries are from 0 to 10, rude clients from 0 to 1,000 a second, shares from 0 to 1, and no time below 0")
	}
	for i, t := range spec.Faults {
		key := fmt.Sprintf("trouble[%d].kind", i)
		if err := t.fault().Check(); err != nil {
			wrong(key, "%v", err)
		}
		if t.Nodes < 0 || t.Nodes > nodes || t.Nodes == 0 && len(t.Names) == 0 && t.Zone == "" || t.Stagger < 0 {
			wrong(key, "it must befall from 1 to %d nodes, some that are named, or a zone, and not begin over a time below 0", nodes)
		}
		if t.Zone != "" && !slices.Contains(spec.Zones, t.Zone) {
			wrong(fmt.Sprintf("trouble[%d].zone", i), "%q is none of %v", t.Zone, spec.Zones)
		}
	}
	for i, o := range spec.Outages {
		if o.From < 0 || o.To <= o.From {
			wrong(fmt.Sprintf("outage[%d].from", i), "must be before its end")
		}
	}
	spec.Fleet.check(spec.Zones, func(key, format string, args ...any) { wrong("fleet."+key, format, args...) })
	if spec.HeavyFraction < 0 || spec.HeavyFraction > 1 || spec.HeavyFactor < 0 {
		wrong("heavy", "must be from 0 to 1, and heavy_times not below 0")
	}
	if len(all) > 0 {
		return errors.Join(all...)
	}
	if _, err := spec.Draw(1); err != nil {
		return &config.KeyError{Key: prefix + "name", Err: err}
	}
	return nil
}

// ScaleTimes multiplies all times of the day at which something begins or ends.
func (spec *ScenarioSpec) ScaleTimes(times float64) {
	stretch := func(all ...*config.Duration) {
		for _, t := range all {
			*t = config.Duration(float64(*t) * times)
		}
	}
	stretch(&spec.Length)
	for i := range spec.Faults {
		stretch(&spec.Faults[i].From, &spec.Faults[i].To, &spec.Faults[i].Stagger)
	}
	for i := range spec.Outages {
		stretch(&spec.Outages[i].From, &spec.Outages[i].To)
	}
	f := &spec.Fleet
	for i := range f.AgentFaults {
		stretch(&f.AgentFaults[i].From, &f.AgentFaults[i].To, &f.AgentFaults[i].Duration)
	}
	for i := range f.TrafficShifts {
		stretch(&f.TrafficShifts[i].From, &f.TrafficShifts[i].To)
	}
	for i := range f.ListDelays {
		stretch(&f.ListDelays[i].From, &f.ListDelays[i].To)
	}
	for i := range f.Partitions {
		stretch(&f.Partitions[i].From, &f.Partitions[i].To)
	}
	for i := range f.RetryStorms {
		stretch(&f.RetryStorms[i].From, &f.RetryStorms[i].To)
	}
	for i := range f.Paths {
		stretch(&f.Paths[i].From, &f.Paths[i].To)
	}
}

func (t FaultSpec) fault() node.Fault {
	return node.Fault{Kind: node.FaultKind(t.Kind), From: t.From.D(), To: t.To.D(), Size: t.Size, On: t.On.D(), Off: t.Off.D()}
}

// NodeFault is a trouble at a node.
type NodeFault struct {
	Node int
	node.Fault
}

// Scenario is a day as it was drawn: equal specs and seeds draw equal days.
type Scenario struct {
	Spec    ScenarioSpec
	Seed    uint64
	Length  time.Duration
	Nodes   []node.Spec
	Agents  []string
	Plan    []callers.PlannedRequest
	Classes []callers.Class
	Tenants []callers.Tenant
	Clients callers.ClientProfile
	Faults  []NodeFault // in the order of their beginning
	// In the order of their time.
	AgentFaults []AgentFault
	Rate        float64 // requests a second, on average and but for shifts
	Capacity    float64 // work a second that all nodes can do when warm
}

// Draw draws a day.
func (spec *ScenarioSpec) Draw(seed uint64) (*Scenario, error) {
	rng := rand.New(rand.NewPCG(seed, 0x646179))
	scenario := &Scenario{Spec: *spec, Seed: seed, Length: spec.Length.D()}
	for _, k := range spec.Kinds {
		for range k.Nodes {
			id := fmt.Sprintf("node-%02d", len(scenario.Nodes)+1)
			s := node.TypicalSpec(id, k.Name, spec.Zones[len(scenario.Nodes)%len(spec.Zones)], k.Speed*max(0.4, 1+k.Spread*rng.NormFloat64()))
			s.Cores, s.QueuePerCore, s.ConnCap, s.ErrorRate = k.Cores, k.QueuePerCore, k.ConnCap, k.ErrorRate
			if !k.Degrades {
				s.Degradation = node.Degradation{}
			}
			if k.SlowStart {
				s.Started = 0
			}
			if err := s.Check(); err != nil {
				return nil, err
			}
			scenario.Nodes = append(scenario.Nodes, s)
			scenario.Capacity += float64(s.Cores) * s.Speed
		}
	}
	work, shares := 0.0, 0.0
	for _, c := range spec.Classes {
		work += c.Share * c.Work.D().Seconds()
		shares += c.Share
		scenario.Classes = append(scenario.Classes, callers.Class{Name: c.Name, Share: c.Share, Work: c.Work.D(), CV: c.CV, LatencyObjective: c.LatencyObjective.D(),
			Deadline: c.Deadline.D(), PriorityWeight: c.PriorityWeight, LateWeight: c.LateWeight, NonIdempotent: c.NonIdempotent})
	}
	for _, t := range spec.Tenants {
		scenario.Tenants = append(scenario.Tenants, callers.Tenant{Name: t.Name, Share: t.Share})
	}
	if scenario.Rate = spec.Rate; scenario.Rate == 0 {
		scenario.Rate = spec.Load * scenario.Capacity / (work / shares)
	}
	shareOf := make([]float64, spec.Agents)
	for i := range shareOf {
		scenario.Agents = append(scenario.Agents, fmt.Sprintf("agent-%d", i))
		shareOf[i] = 1
		if spec.Agents > 1 {
			shareOf[i] += spec.AgentSkew * float64(i) / float64(spec.Agents-1)
		}
		if spec.HeavyFactor > 0 && float64(i) < spec.HeavyFraction*float64(spec.Agents) {
			shareOf[i] *= spec.HeavyFactor
		}
	}
	for i, p := range spec.Fleet.Paths {
		if err := p.checkHosts(fmt.Sprintf("fleet.path[%d].", i), scenario); err != nil {
			return nil, err
		}
	}
	var err error
	scenario.Plan, err = callers.Plan(callers.Spec{Classes: scenario.Classes, Tenants: scenario.Tenants, Rate: scenario.Rate, Duration: scenario.Length,
		Shape: callers.Shape(spec.Shape), Swing: spec.Swing, Period: spec.Period.D(), Agents: shareOf, Keys: spec.Keys, Zipf: spec.Zipf, CostHintError: spec.CostHintError,
		MaxRequests: maxPlannedRequests, Shifts: scenario.trafficShifts()}, seed)
	if err != nil {
		return nil, err
	}
	c := spec.Clients
	scenario.Clients = callers.ClientProfile{Retries: c.Retries, AttemptTimeoutFraction: c.AttemptTimeoutFraction, Backoff: c.Backoff.D(), RetryAfterFraction: c.RetryAfterFraction, MaxRetryAfter: c.MaxRetryAfter.D(), ImpatientFraction: c.ImpatientFraction}
	if err := scenario.placeFaults(rng); err != nil {
		return nil, err
	}
	scenario.placeAgentFaults(rng)
	return scenario, nil
}

// placeFaults says which nodes the troubles befall. A node has at most one of those that end its life.
func (day *Scenario) placeFaults(rng *rand.Rand) error {
	ends := map[int]bool{}
	for _, t := range day.Spec.Faults {
		trouble := t.fault()
		ending := trouble.Kind == node.Drain || trouble.Kind == node.Restart || trouble.Kind == node.Replace
		var at []int
		for _, name := range t.Names {
			i := slices.IndexFunc(day.Nodes, func(s node.Spec) bool { return s.ID == name })
			if i < 0 {
				return fmt.Errorf("trouble %s befalls %q, which is no node: they are node-01 to node-%02d", t.Kind, name, len(day.Nodes))
			}
			at = append(at, i)
		}
		for i, s := range day.Nodes {
			if t.Zone != "" && s.Zone == t.Zone && !slices.Contains(at, i) && !(ending && ends[i]) {
				at = append(at, i)
			}
		}
		drawn := len(at) + t.Nodes
		for _, i := range rng.Perm(len(day.Nodes)) {
			if len(at) < drawn && !slices.Contains(at, i) && !(ending && ends[i]) {
				at = append(at, i)
			}
		}
		for n, i := range at {
			if ending && ends[i] {
				return fmt.Errorf("%s ends its life twice", day.Nodes[i].ID)
			}
			ends[i] = ends[i] || ending
			later := trouble
			if len(at) > 1 {
				wait := t.Stagger.D() * time.Duration(n) / time.Duration(len(at)-1)
				later.From, later.To = later.From+wait, later.To+wait
			}
			day.Faults = append(day.Faults, NodeFault{i, later})
		}
	}
	slices.SortStableFunc(day.Faults, func(a, b NodeFault) int { return int(a.From - b.From) })
	return nil
}

// LinkTo is the path between two zones.
func (scenario *Scenario) LinkTo(a, b string) link.Conditions {
	n := scenario.Spec.Network
	c := link.Conditions{Delay: n.Cross.D(), Jitter: n.Jitter.D(), Loss: n.Loss}
	if a == b {
		c.Delay = n.Same.D()
	}
	return c
}

// AgentZone is where an agent is.
func (scenario *Scenario) AgentZone(agent int) string {
	return scenario.Spec.Zones[agent%len(scenario.Spec.Zones)]
}
