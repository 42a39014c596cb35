package emulator

import "ryeweir/internal/config"

// The kinds of agent faults.
const (
	AgentRestart = "restart" // graceful shutdown and start of a new process
	AgentKill    = "kill"    // SIGKILL and start of a new process
	AgentPause   = "pause"   // SIGSTOP, and SIGCONT after Duration; connections stay open. Real processes only
	AgentSlow    = "slow"    // the process runs only RunFraction of the time for Duration. Real processes only
)

// AgentFaultSpec describes a fault of a fraction of the agents, which are drawn at random. A new process starts with the endpoint
// list of its predecessor, and with the predecessor's persisted state only if WithState is set.
type AgentFaultSpec struct {
	Kind        string          `toml:"kind"`
	Share       float64         `toml:"share"`  // fraction of the agents
	Groups      int             `toml:"groups"` // groups of agents hit one after the other, at even intervals from From to To; 0 is 1
	From        config.Duration `toml:"from"`
	To          config.Duration `toml:"to"`
	Duration    config.Duration `toml:"away"` // until the new process accepts clients, or the paused or slow one runs normally again
	WithState   bool            `toml:"kept"` // the new process starts with the state that its predecessor persisted
	RunFraction float64         `toml:"part"` // fraction of the time in which a slow process runs: 0.05 to 0.95
}

// TrafficShiftSpec multiplies the traffic of the agents of a zone by Factor from From to To, or of all agents if Zone is empty.
type TrafficShiftSpec struct {
	Zone   string          `toml:"zone"`
	From   config.Duration `toml:"from"`
	To     config.Duration `toml:"to"`
	Factor float64         `toml:"times"`
}

// ListDelaySpec delays by By, in addition to the delays of DiscoverySpec, all changes of the endpoint list that happen from From
// to To.
type ListDelaySpec struct {
	From config.Duration `toml:"from"`
	To   config.Duration `toml:"to"`
	By   config.Duration `toml:"by"`
}

// PartitionSpec cuts a zone off from the other zones from From to To: packets are lost without an error.
type PartitionSpec struct {
	Zone string          `toml:"zone"`
	From config.Duration `toml:"from"`
	To   config.Duration `toml:"to"`
}

// RetryStormSpec replaces settings of ClientSpec from From to To, so that clients retry more.
type RetryStormSpec struct {
	From                   config.Duration `toml:"from"`
	To                     config.Duration `toml:"to"`
	Retries                int             `toml:"retries"`
	Backoff                config.Duration `toml:"backoff"`
	AttemptTimeoutFraction float64         `toml:"try_share"`
	ImpatientFraction      float64         `toml:"impatient"`
}

// Prices weight the costs of a run. Each price times its cost is subtracted from the run's goal (referee.Service.Goal).
type Prices struct {
	HealthCheck float64 `toml:"probe"`     // cost: health checks per request
	Handshake   float64 `toml:"handshake"` // cost: handshakes per request
	List        float64 `toml:"list"`      // cost: requests to discovery per request
	Waste       float64 `toml:"waste"`     // cost: wasted work as a fraction of all work done
}

// FleetSpec describes the faults and events that affect a fleet as a whole, and the prices of its costs.
type FleetSpec struct {
	AgentFaults    []AgentFaultSpec    `toml:"agent_trouble"`
	TrafficShifts  []TrafficShiftSpec  `toml:"shift"`
	ListDelays     []ListDelaySpec     `toml:"late"`
	Partitions     []PartitionSpec     `toml:"cut"`
	RetryStorms    []RetryStormSpec    `toml:"storm"`
	Paths          []PathSpec          `toml:"path"` // real processes only
	ByzantinePeers []ByzantinePeerSpec `toml:"liar"` // real processes that gossip only
	Prices         Prices              `toml:"prices"`
}

// ByzantinePeerSpec describes a gossip peer that is not an agent and sends false reports to the agents.
type ByzantinePeerSpec struct {
	Says []string        `toml:"says"` // kinds of false reports
	From config.Duration `toml:"from"`
	To   config.Duration `toml:"to"`
}

// The false reports of a Byzantine peer.
const (
	FalseSuspicion = "suspect" // every node is an outlier: sent in its own and in the agents' names, with the latest timestamps that agents accept
	FalseRemoval   = "gone"    // half of the nodes are gone
	FalseDemand    = "demand"  // its own demand equals the whole capacity
	FalseRate      = "rate"    // the nodes handle a million requests per second
)

// FalseReports returns all kinds of false reports.
func FalseReports() []string { return []string{FalseSuspicion, FalseRemoval, FalseDemand, FalseRate} }
