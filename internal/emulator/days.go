package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ryeweir/internal/config"
	"ryeweir/internal/emulator/node"
)

// FleetScenario is a day of a whole fleet, drawn anew for each seed.
type FleetScenario struct {
	Name   string `toml:"name"` // empty for the kind's
	Kind   string `toml:"kind"`
	Agents int    `toml:"agents"`
	Nodes  int    `toml:"nodes"`
}

// The kinds of days of a whole fleet.
const (
	CalmScenario           = "calm"  // a burst of half as much again, and traffic that shifts between zones
	RolloutScenario        = "roll"  // half of the nodes replaced in steps while all agents are restarted, a tenth at a time
	ThunderingHerdScenario = "herd"  // a release of half of the nodes; seven in ten agents killed at once; one node of eight fails; a crowd at discovery
	ZoneOutageScenario     = "zone"  // a zone is lost for 5 s and returns cold; another is cut off; one node of eight is slow or fails
	PartitionScenario      = "split" // a zone is cut off for 6 s or a fifth of the nodes say nothing; late lists, late and lost answers
	ChurnScenario          = "join"  // six in ten nodes replaced within 7 s; spoilt answers; clients give up early and come again too often
	MixedScenario          = "mixed" // any of it together
)

func fleetKinds() []string {
	return []string{CalmScenario, RolloutScenario, ThunderingHerdScenario, ZoneOutageScenario, PartitionScenario, ChurnScenario, MixedScenario}
}

// Check puts in the defaults and says what is wrong.
func (f *FleetScenario) Check(prefix string) error {
	if f.Agents == 0 {
		f.Agents = 300
	}
	if f.Nodes == 0 {
		f.Nodes = 200
	}
	if f.Name == "" {
		f.Name = f.Kind
	}
	if !slices.Contains(fleetKinds(), f.Kind) {
		return config.Wrong(prefix+"kind", "%q is none of %v", f.Kind, fleetKinds())
	}
	if f.Nodes < 10 || f.Nodes > 256 {
		return config.Wrong(prefix+"nodes", "must be from 10 to 256, not %d", f.Nodes)
	}
	spec := f.Spec(1)
	return spec.Check(prefix)
}

// dayDrawer draws what a fleet's day is like.
type dayDrawer struct {
	*rand.Rand
	ScenarioSpec
	nodes int
}

func (d *dayDrawer) between(low, high float64) float64 { return low + (high-low)*d.Float64() }

func (d *dayDrawer) part(share float64) int { return max(1, int(share*float64(d.nodes)+0.5)) }

func secs(x float64) config.Duration { return config.Duration(x * float64(time.Second)) }

// fault adds a trouble of a share of the nodes.
func (d *dayDrawer) fault(kind node.FaultKind, share, from, to, size, over float64) {
	d.Faults = append(d.Faults, FaultSpec{Kind: string(kind), Nodes: d.part(share), From: secs(from), To: secs(to), Size: size, Stagger: secs(over)})
}

// bad lets one node of eight be slow or fail fast for most of the day.
func (d *dayDrawer) bad(failing bool) {
	if failing {
		d.fault(node.FastFail, 0.125, 3, d.Length.D().Seconds()-4, d.between(0.5, 0.98), 0)
	} else {
		d.fault(node.Slow, 0.125, 3, d.Length.D().Seconds()-4, d.between(3.9, 9), 0)
	}
}

// Spec draws the day. Figures lie within what the deployment's pages name; the troubles of a kind are all there, at drawn sizes.
func (f FleetScenario) Spec(seed uint64) ScenarioSpec {
	d := &dayDrawer{Rand: rand.New(rand.NewPCG(seed, 0x666c6565)), ScenarioSpec: DefaultScenario(), nodes: f.Nodes}
	d.Name, d.Agents, d.Length = f.Name, f.Agents, secs(d.between(28, 36))
	d.Load = d.between(0.45, 0.6)
	d.AgentSkew, d.HeavyFraction, d.HeavyFactor = d.between(0, 1), 0.04, d.between(3, 6)
	d.Classes[0].Work, d.Classes[1].Work = secs(d.between(0.044, 0.080)), secs(d.between(0.022, 0.040))
	d.Keys = 420 + d.IntN(680)
	d.Network.Cross = secs(d.between(0.0036, 0.0063))
	d.Discovery.RemovalDelay, d.Discovery.AdditionDelay = secs(d.between(0.5, 2.5)), secs(d.between(0.3, 1.5))
	d.Discovery.Rate = 0.6 * float64(f.Agents) * d.between(0.8, 1.4)
	d.Clients.AttemptTimeoutFraction, d.Clients.RetryAfterFraction = d.between(0.3, 0.55), d.between(0, 0.5)
	d.Clients.Backoff = secs(d.between(0, 0.1))
	d.Kinds[0].Nodes = max(1, f.Nodes*38/100)
	d.Kinds[1].Nodes = f.Nodes - d.Kinds[0].Nodes
	d.Kinds[0].Speed, d.Kinds[1].Speed = d.between(0.85, 1.1), d.between(0.64, 0.86)
	chokes := d.Float64() < 0.5
	for i := range d.Kinds {
		d.Kinds[i].ConnCap, d.Kinds[i].Degrades = 120, chokes
	}
	d.Fleet.Prices = Prices{HealthCheck: 0.045, Handshake: 0.02, List: 0.02, Waste: 0.05}
	kinds := []string{f.Kind}
	if f.Kind == MixedScenario {
		kinds = nil
		for _, k := range fleetKinds()[:len(fleetKinds())-1] {
			if d.Float64() < 0.4 {
				kinds = append(kinds, k)
			}
		}
		d.Length = secs(d.between(28, 48))
		d.Load = d.between(0.3, 0.9)
	}
	for _, k := range kinds {
		d.befall(k)
	}
	return d.ScenarioSpec
}

func (d *dayDrawer) befall(kind string) {
	fleet := &d.Fleet
	zones := d.Perm(len(d.Zones))
	switch kind {
	case CalmScenario:
		from := d.between(8, 12)
		fleet.TrafficShifts = append(fleet.TrafficShifts, TrafficShiftSpec{From: secs(from), To: secs(from + d.between(4, 8)), Factor: 1.5},
			TrafficShiftSpec{Zone: d.Zones[zones[0]], From: secs(from + 9), To: secs(from + 15), Factor: d.between(1.4, 2)},
			TrafficShiftSpec{Zone: d.Zones[zones[1]], From: secs(from + 9), To: secs(from + 15), Factor: d.between(0.3, 0.7)})
	case RolloutScenario:
		over := d.between(14, 18)
		d.fault(node.Replace, 0.5, 5, 5+d.between(0.5, 2), 0, over)
		fleet.AgentFaults = append(fleet.AgentFaults, AgentFaultSpec{Kind: AgentRestart, Share: 1, Groups: 10, From: secs(5), To: secs(5 + over), Duration: secs(d.between(0.2, 0.6))})
	case ThunderingHerdScenario:
		from := d.between(5, 8)
		d.fault(node.Replace, 0.5, from, from+d.between(0.5, 2), 0, d.between(3, 6))
		fleet.AgentFaults = append(fleet.AgentFaults, AgentFaultSpec{Kind: AgentKill, Share: 0.7, From: secs(from + d.between(0, 4)), Duration: secs(d.between(0.4, 1.5))})
		d.Discovery.Rate /= 2
		d.bad(true)
	case ZoneOutageScenario:
		from := d.between(5, 8)
		d.Faults = append(d.Faults, FaultSpec{Kind: string(node.Restart), Zone: d.Zones[zones[0]], From: secs(from), To: secs(from + 5)})
		cut := from + d.between(8, 12)
		fleet.Partitions = append(fleet.Partitions, PartitionSpec{Zone: d.Zones[zones[1]], From: secs(cut), To: secs(cut + d.between(2, 4))})
		d.bad(d.Float64() < 0.5)
	case PartitionScenario:
		from := d.between(6, 12)
		if d.Float64() < 0.5 {
			fleet.Partitions = append(fleet.Partitions, PartitionSpec{Zone: d.Zones[zones[0]], From: secs(from), To: secs(from + 6)})
		} else {
			d.fault(node.Blackhole, 0.2, from, from+6, 0, 0)
		}
		fleet.ListDelays = append(fleet.ListDelays, ListDelaySpec{From: secs(from - 2), To: secs(from + 10), By: secs(d.between(1, 4))})
		d.fault(node.ResetConn, 0.5, from-3, from+9, d.between(0.01, 0.04), 0)
		d.fault(node.MalformedResponse, 0.5, from-3, from+9, d.between(0.01, 0.03), 0)
	case ChurnScenario:
		from := d.between(5, 9)
		d.fault(node.Replace, 0.6, from, from+d.between(0.5, 2), 0, 7)
		d.fault(node.MalformedResponse, 1, 2, d.Length.D().Seconds()-2, d.between(0.002, 0.01), 0)
		fleet.RetryStorms = append(fleet.RetryStorms, RetryStormSpec{From: secs(from + d.between(0, 6)), To: secs(from + d.between(9, 14)), Retries: 5,
			Backoff: secs(d.between(0, 0.02)), AttemptTimeoutFraction: d.between(0.2, 0.4), ImpatientFraction: d.between(0.02, 0.15)})
	}
}

// String says what the day is, in a line.
func (f FleetScenario) String() string {
	return fmt.Sprintf("%s (%d agents, %d nodes)", f.Kind, f.Agents, f.Nodes)
}
