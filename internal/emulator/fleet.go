package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ryeweir/internal/config"
	"ryeweir/internal/emulator/callers"
)

// The kinds of troubles that befall agents.
const (
	AgentRestart = "restart" // planned: what an agent has open it brings to an end, and takes nothing new
	AgentKill    = "kill"    // what it has open ends with it
	AgentPause   = "pause"   // stopped (SIGSTOP) for the time away and let go; it keeps what it has open. Real processes only
	AgentSlow    = "slow"    // for the time away it runs for Part of each slowEvery only. Real processes only
)

// AgentFaultSpec is something that befalls a share of the agents, drawn by the day's seed. They begin anew from the list that they
// had, and with nothing learnt unless Kept.
type AgentFaultSpec struct {
	Kind        string          `toml:"kind"`
	Share       float64         `toml:"share"`
	Groups      int             `toml:"groups"` // one after the other, evenly from From to To; 0 is 1
	From        config.Duration `toml:"from"`
	To          config.Duration `toml:"to"`
	Duration    config.Duration `toml:"away"` // until the new process takes clients, or the paused or slow one goes on as before
	WithState   bool            `toml:"kept"` // the new process begins with what the one before it had learnt
	RunFraction float64         `toml:"part"` // of the time, in which a slow process runs: 0.05 to 0.95
}

// TrafficShiftSpec multiplies the traffic at a zone's agents for a while, or that of all where no zone is named.
type TrafficShiftSpec struct {
	Zone   string          `toml:"zone"`
	From   config.Duration `toml:"from"`
	To     config.Duration `toml:"to"`
	Factor float64         `toml:"times"`
}

// ListDelaySpec makes all that happens to the list in a while known only so much later.
type ListDelaySpec struct {
	From config.Duration `toml:"from"`
	To   config.Duration `toml:"to"`
	By   config.Duration `toml:"by"`
}

// PartitionSpec cuts a zone off from the others for a while: nothing passes, and nothing is said.
type PartitionSpec struct {
	Zone string          `toml:"zone"`
	From config.Duration `toml:"from"`
	To   config.Duration `toml:"to"`
}

// RetryStormSpec changes how clients go about their tries for a while.
type RetryStormSpec struct {
	From                   config.Duration `toml:"from"`
	To                     config.Duration `toml:"to"`
	Retries                int             `toml:"retries"`
	Backoff                config.Duration `toml:"backoff"`
	AttemptTimeoutFraction float64         `toml:"try_share"`
	ImpatientFraction      float64         `toml:"impatient"`
}

// Prices are taken off a day's goal, each times its figure.
type Prices struct {
	HealthCheck float64 `toml:"probe"`     // one probe a request
	Handshake   float64 `toml:"handshake"` // one handshake a request
	List        float64 `toml:"list"`      // one call for the list a request
	Waste       float64 `toml:"waste"`     // as much work for nothing as was done in all
}

// FleetSpec is what befalls a fleet as a whole.
type FleetSpec struct {
	AgentFaults    []AgentFaultSpec    `toml:"agent_trouble"`
	TrafficShifts  []TrafficShiftSpec  `toml:"shift"`
	ListDelays     []ListDelaySpec     `toml:"late"`
	Partitions     []PartitionSpec     `toml:"cut"`
	RetryStorms    []RetryStormSpec    `toml:"storm"`
	Paths          []PathSpec          `toml:"path"` // real processes only
	ByzantinePeers []ByzantinePeerSpec `toml:"liar"` // likewise, and only where agents talk with each other
	Prices         Prices              `toml:"prices"`
}

// ByzantinePeerSpec is a peer among agents that talk with each other: it serves nobody, and tells the others what is not so.
type ByzantinePeerSpec struct {
	Says []string        `toml:"says"`
	From config.Duration `toml:"from"`
	To   config.Duration `toml:"to"`
}

// What a liar says.
const (
	FalseSuspicion = "suspect" // of all servers, in its own and in the agents' names, stamped as far ahead as is believed
	FalseRemoval   = "gone"    // of half of the servers
	FalseDemand    = "demand"  // that all there is is asked of it
	FalseRate      = "rate"    // that the nodes bear a million requests a second
)

// FalseReports are all that a liar may say.
func FalseReports() []string { return []string{FalseSuspicion, FalseRemoval, FalseDemand, FalseRate} }

// check tells of what is wrong.
func (f FleetSpec) check(zones []string, wrong func(key, format string, args ...any)) {
	span := func(key string, from, to config.Duration) {
		if from < 0 || to <= from {
			wrong(key+".from", "must be 0 or later, and before its end")
		}
	}
	zone := func(key, z string, needed bool) {
		if (needed || z != "") && !slices.Contains(zones, z) {
			wrong(key+".zone", "%q is none of %v", z, zones)
		}
	}
	for i, a := range f.AgentFaults {
		key := fmt.Sprintf("agent_trouble[%d]", i)
		if kinds := []string{AgentRestart, AgentKill, AgentPause, AgentSlow}; !slices.Contains(kinds, a.Kind) {
			wrong(key+".kind", "%q is none of %v", a.Kind, kinds)
		}
		if lives := a.Kind == AgentPause || a.Kind == AgentSlow; lives && a.WithState {
			wrong(key+".kept", "a process that goes on keeps all it has; kept is for one that is started again")
		}
		if slow := a.Kind == AgentSlow; slow && !(a.RunFraction >= 0.05 && a.RunFraction <= 0.95) || !slow && a.RunFraction != 0 {
			wrong(key+".part", "is from 0.05 to 0.95 for a slow process, and for no other")
		}
		if !(a.Share > 0 && a.Share <= 1) || a.Groups < 0 || a.Groups > maxAgents || a.Duration < 0 {
			wrong(key+".share", "needs a share above 0 up to 1, and neither groups nor a time away below 0")
		}
		span(key, a.From, max(a.To, a.From+1))
	}
	for i, s := range f.TrafficShifts {
		key := fmt.Sprintf("shift[%d]", i)
		span(key, s.From, s.To)
		zone(key, s.Zone, false)
		if !(s.Factor >= 0 && s.Factor <= 100) {
			wrong(key+".times", "must be from 0 to 100")
		}
	}
	for i, l := range f.ListDelays {
		span(fmt.Sprintf("late[%d]", i), l.From, l.To)
		if l.By < 0 || l.By.D() > time.Minute {
			wrong(fmt.Sprintf("late[%d].by", i), "must be from 0 to a minute")
		}
	}
	for i, c := range f.Partitions {
		key := fmt.Sprintf("cut[%d]", i)
		span(key, c.From, c.To)
		zone(key, c.Zone, true)
	}
	for i, p := range f.Paths {
		key := fmt.Sprintf("path[%d]", i)
		span(key, p.From, p.To)
		p.check(key, wrong)
	}
	for i, l := range f.ByzantinePeers {
		key := fmt.Sprintf("liar[%d]", i)
		span(key, l.From, l.To)
		if len(l.Says) == 0 || slices.ContainsFunc(l.Says, func(lie string) bool { return !slices.Contains(FalseReports(), lie) }) {
			wrong(key+".says", "%v is not made up of %v", l.Says, FalseReports())
		}
	}
	for i, s := range f.RetryStorms {
		key := fmt.Sprintf("storm[%d]", i)
		span(key, s.From, s.To)
		if s.Retries < 0 || s.Retries > 10 || s.AttemptTimeoutFraction < 0 || s.AttemptTimeoutFraction > 1 || s.Backoff < 0 || s.ImpatientFraction < 0 || s.ImpatientFraction > 1 {
			wrong(key+".retries", "retries are from 0 to 10, shares from 0 to 1, and no time below 0")
		}
	}
	if p := f.Prices; p.HealthCheck < 0 || p.Handshake < 0 || p.List < 0 || p.Waste < 0 {
		wrong("prices.probe", "no price may be below 0")
	}
}

// AgentFault is a trouble at an agent.
type AgentFault struct {
	Agent       int
	Kind        string
	At          time.Duration
	Duration    time.Duration
	WithState   bool    // the next process begins with what was learnt
	RunFraction float64 // of the time, in which a slow process runs
}

// Survives says whether the process goes on after the trouble, with all that it had.
func (t AgentFault) Survives() bool { return t.Kind == AgentPause || t.Kind == AgentSlow }

// placeAgentFaults says which agents the troubles befall.
func (day *Scenario) placeAgentFaults(rng *rand.Rand) {
	for _, a := range day.Spec.Fleet.AgentFaults {
		n := max(1, int(a.Share*float64(len(day.Agents))+0.5))
		groups := max(1, a.Groups)
		for i, agent := range rng.Perm(len(day.Agents))[:n] {
			at := a.From.D()
			if group := i * groups / n; groups > 1 {
				at += time.Duration(group) * (a.To - a.From).D() / time.Duration(groups-1)
			}
			day.AgentFaults = append(day.AgentFaults, AgentFault{agent, a.Kind, at, a.Duration.D(), a.WithState, a.RunFraction})
		}
	}
	slices.SortStableFunc(day.AgentFaults, func(a, b AgentFault) int { return int(a.At - b.At) })
}

// trafficShifts are the day's shifts, by agent.
func (day *Scenario) trafficShifts() (out []callers.TrafficShift) {
	for _, s := range day.Spec.Fleet.TrafficShifts {
		shift := callers.TrafficShift{From: s.From.D(), To: s.To.D(), Factors: make([]float64, len(day.Agents))}
		for i := range shift.Factors {
			shift.Factors[i] = 1
			if s.Zone == "" || day.AgentZone(i) == s.Zone {
				shift.Factors[i] = s.Factor
			}
		}
		out = append(out, shift)
	}
	return out
}

// ClientProfileAt are the habits of a client whose request comes at that time.
func (day *Scenario) ClientProfileAt(at time.Duration) callers.ClientProfile {
	h := day.Clients
	for _, s := range day.Spec.Fleet.RetryStorms {
		if at >= s.From.D() && at < s.To.D() {
			h.Retries, h.Backoff, h.AttemptTimeoutFraction, h.ImpatientFraction = s.Retries, s.Backoff.D(), s.AttemptTimeoutFraction, s.ImpatientFraction
		}
	}
	return h
}

// ListDelay is how much later than usual what happens at that time comes to the list.
func (day *Scenario) ListDelay(at time.Duration) (delay time.Duration) {
	for _, l := range day.Spec.Fleet.ListDelays {
		if at >= l.From.D() && at < l.To.D() {
			delay = max(delay, l.By.D())
		}
	}
	return delay
}

// Partitioned reports whether nothing passes between two zones at that time.
func (day *Scenario) Partitioned(a, b string, at time.Duration) bool {
	return a != b && slices.ContainsFunc(day.Spec.Fleet.Partitions, func(c PartitionSpec) bool {
		return (c.Zone == a || c.Zone == b) && at >= c.From.D() && at < c.To.D()
	})
}
