package emulator

import "ryeweir/internal/config"

// The kinds of agent faults.
const (
	AgentRestart = "restart" // graceful shutdown, and a new process
	AgentKill    = "kill"    // SIGKILL, and a new process
	AgentPause   = "pause"   // SIGSTOP for the duration, then SIGCONT; open connections stay. Real processes only
	AgentSlow    = "slow"    // for the duration it runs for RunFraction of the time only. Real processes only
)

// AgentFaultSpec is a fault of a share of the agents, which are drawn by the seed. A new process starts from the endpoint list
// of the one before it, and without its persisted state unless WithState.
type AgentFaultSpec struct {
	Kind        string          `toml:"kind"`
	Share       float64         `toml:"share"`
	Groups      int             `toml:"groups"` // hit one after the other, evenly from From to To; 0 is 1
	From        config.Duration `toml:"from"`
	To          config.Duration `toml:"to"`
	Duration    config.Duration `toml:"away"` // until the new process takes clients, or the paused or slow one goes on as before
	WithState   bool            `toml:"kept"` // the new process starts with the state that the one before it persisted
	RunFraction float64         `toml:"part"` // of the time, in which a slow process runs: 0.05 to 0.95
}

// TrafficShiftSpec multiplies the traffic of a zone's agents for a while, or of all agents where Zone is empty.
type TrafficShiftSpec struct {
	Zone   string          `toml:"zone"`
	From   config.Duration `toml:"from"`
	To     config.Duration `toml:"to"`
	Factor float64         `toml:"times"`
}

// ListDelaySpec delays all changes of the endpoint list that happen in a while.
type ListDelaySpec struct {
	From config.Duration `toml:"from"`
	To   config.Duration `toml:"to"`
	By   config.Duration `toml:"by"`
}

// PartitionSpec cuts a zone off from the others for a while: packets are lost without an error.
type PartitionSpec struct {
	Zone string          `toml:"zone"`
	From config.Duration `toml:"from"`
	To   config.Duration `toml:"to"`
}

// RetryStormSpec changes how clients retry for a while: see ClientSpec.
type RetryStormSpec struct {
	From                   config.Duration `toml:"from"`
	To                     config.Duration `toml:"to"`
	Retries                int             `toml:"retries"`
	Backoff                config.Duration `toml:"backoff"`
	AttemptTimeoutFraction float64         `toml:"try_share"`
	ImpatientFraction      float64         `toml:"impatient"`
}

// Prices are subtracted from a run's goal, each multiplied by the cost that it names.
type Prices struct {
	HealthCheck float64 `toml:"probe"`     // a health check for each request
	Handshake   float64 `toml:"handshake"` // a handshake for each request
	List        float64 `toml:"list"`      // a request to discovery for each request
	Waste       float64 `toml:"waste"`     // wasted work, as a share of all work done
}

// FleetSpec is what happens to a fleet as a whole.
type FleetSpec struct {
	AgentFaults    []AgentFaultSpec    `toml:"agent_trouble"`
	TrafficShifts  []TrafficShiftSpec  `toml:"shift"`
	ListDelays     []ListDelaySpec     `toml:"late"`
	Partitions     []PartitionSpec     `toml:"cut"`
	RetryStorms    []RetryStormSpec    `toml:"storm"`
	Paths          []PathSpec          `toml:"path"` // real processes only
	ByzantinePeers []ByzantinePeerSpec `toml:"liar"` // likewise, and only where agents gossip
	Prices         Prices              `toml:"prices"`
}

// ByzantinePeerSpec is a gossip peer that is no agent and sends false reports to the agents.
type ByzantinePeerSpec struct {
	Says []string        `toml:"says"`
	From config.Duration `toml:"from"`
	To   config.Duration `toml:"to"`
}

// The false reports of a Byzantine peer.
const (
	FalseSuspicion = "suspect" // every server is an outlier: in its own and in the agents' names, with timestamps as far ahead as agents accept
	FalseRemoval   = "gone"    // half of the servers are gone
	FalseDemand    = "demand"  // it has the demand for the whole capacity
	FalseRate      = "rate"    // nodes handle a million requests a second
)

// FalseReports returns all kinds of false reports.
func FalseReports() []string { return []string{FalseSuspicion, FalseRemoval, FalseDemand, FalseRate} }
