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

func fleetScenarioKinds() []string {
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
	if !slices.Contains(fleetScenarioKinds(), f.Kind) {
		return config.Wrong(prefix+"kind", "%q is none of %v", f.Kind, fleetScenarioKinds())
	}
	if f.Nodes < 10 || f.Nodes > 256 {
		return config.Wrong(prefix+"nodes", "must be from 10 to 256, not %d", f.Nodes)
	}
	spec := f.Spec(1)
	return spec.Check(prefix)
}

// scenarioDrawer draws what a fleet's day is like.
type scenarioDrawer struct {
	*rand.Rand
	ScenarioSpec
	nodes int
}

func (d *scenarioDrawer) uniform(low, high float64) float64 { return low + (high-low)*d.Float64() }

func (d *scenarioDrawer) nodeCount(share float64) int { return max(1, int(share*float64(d.nodes)+0.5)) }

func seconds(x float64) config.Duration { return config.Duration(x * float64(time.Second)) }

// addFault adds a trouble of a share of the nodes.
func (d *scenarioDrawer) addFault(kind node.FaultKind, share, from, to, size, over float64) {
	d.Faults = append(d.Faults, FaultSpec{Kind: string(kind), Nodes: d.nodeCount(share), From: seconds(from), To: seconds(to), Size: size, Stagger: seconds(over)})
}

// addOutlierNodes lets one node of eight be slow or fail fast for most of the day.
func (d *scenarioDrawer) addOutlierNodes(failing bool) {
	if failing {
		d.addFault(node.FastFail, 0.125, 3, d.Length.D().Seconds()-4, d.uniform(0.5, 0.98), 0)
	} else {
		d.addFault(node.Slow, 0.125, 3, d.Length.D().Seconds()-4, d.uniform(3.9, 9), 0)
	}
}

// Spec draws the day. Figures lie within what the deployment's pages name; the troubles of a kind are all there, at drawn sizes.
func (f FleetScenario) Spec(seed uint64) ScenarioSpec {
	d := &scenarioDrawer{Rand: rand.New(rand.NewPCG(seed, 0x666c6565)), ScenarioSpec: DefaultScenario(), nodes: f.Nodes}
	d.Name, d.Agents, d.Length = f.Name, f.Agents, seconds(d.uniform(28, 36))
	d.Load = d.uniform(0.45, 0.6)
	d.AgentSkew, d.HeavyFraction, d.HeavyFactor = d.uniform(0, 1), 0.04, d.uniform(3, 6)
	d.Classes[0].Work, d.Classes[1].Work = seconds(d.uniform(0.044, 0.080)), seconds(d.uniform(0.022, 0.040))
	d.Keys = 420 + d.IntN(680)
	d.Network.Cross = seconds(d.uniform(0.0036, 0.0063))
	d.Discovery.RemovalDelay, d.Discovery.AdditionDelay = seconds(d.uniform(0.5, 2.5)), seconds(d.uniform(0.3, 1.5))
	d.Discovery.Rate = 0.6 * float64(f.Agents) * d.uniform(0.8, 1.4)
	d.Clients.AttemptTimeoutFraction, d.Clients.RetryAfterFraction = d.uniform(0.3, 0.55), d.uniform(0, 0.5)
	d.Clients.Backoff = seconds(d.uniform(0, 0.1))
	d.Kinds[0].Nodes = max(1, f.Nodes*38/100)
	d.Kinds[1].Nodes = f.Nodes - d.Kinds[0].Nodes
	d.Kinds[0].Speed, d.Kinds[1].Speed = d.uniform(0.85, 1.1), d.uniform(0.64, 0.86)
	chokes := d.Float64() < 0.5
	for i := range d.Kinds {
		d.Kinds[i].ConnCap, d.Kinds[i].Degrades = 120, chokes
	}
	d.Fleet.Prices = Prices{HealthCheck: 0.045, Handshake: 0.02, List: 0.02, Waste: 0.05}
	kinds := []string{f.Kind}
	if f.Kind == MixedScenario {
		kinds = nil
		for _, k := range fleetScenarioKinds()[:len(fleetScenarioKinds())-1] {
			if d.Float64() < 0.4 {
				kinds = append(kinds, k)
			}
		}
		d.Length = seconds(d.uniform(28, 48))
		d.Load = d.uniform(0.3, 0.9)
	}
	for _, k := range kinds {
		d.addKind(k)
	}
	return d.ScenarioSpec
}

func (d *scenarioDrawer) addKind(kind string) {
	fleet := &d.Fleet
	zones := d.Perm(len(d.Zones))
	switch kind {
	case CalmScenario:
		from := d.uniform(8, 12)
		fleet.TrafficShifts = append(fleet.TrafficShifts, TrafficShiftSpec{From: seconds(from), To: seconds(from + d.uniform(4, 8)), Factor: 1.5},
			TrafficShiftSpec{Zone: d.Zones[zones[0]], From: seconds(from + 9), To: seconds(from + 15), Factor: d.uniform(1.4, 2)},
			TrafficShiftSpec{Zone: d.Zones[zones[1]], From: seconds(from + 9), To: seconds(from + 15), Factor: d.uniform(0.3, 0.7)})
	case RolloutScenario:
		over := d.uniform(14, 18)
		d.addFault(node.Replace, 0.5, 5, 5+d.uniform(0.5, 2), 0, over)
		fleet.AgentFaults = append(fleet.AgentFaults, AgentFaultSpec{Kind: AgentRestart, Share: 1, Groups: 10, From: seconds(5), To: seconds(5 + over), Duration: seconds(d.uniform(0.2, 0.6))})
	case ThunderingHerdScenario:
		from := d.uniform(5, 8)
		d.addFault(node.Replace, 0.5, from, from+d.uniform(0.5, 2), 0, d.uniform(3, 6))
		fleet.AgentFaults = append(fleet.AgentFaults, AgentFaultSpec{Kind: AgentKill, Share: 0.7, From: seconds(from + d.uniform(0, 4)), Duration: seconds(d.uniform(0.4, 1.5))})
		d.Discovery.Rate /= 2
		d.addOutlierNodes(true)
	case ZoneOutageScenario:
		from := d.uniform(5, 8)
		d.Faults = append(d.Faults, FaultSpec{Kind: string(node.Restart), Zone: d.Zones[zones[0]], From: seconds(from), To: seconds(from + 5)})
		cut := from + d.uniform(8, 12)
		fleet.Partitions = append(fleet.Partitions, PartitionSpec{Zone: d.Zones[zones[1]], From: seconds(cut), To: seconds(cut + d.uniform(2, 4))})
		d.addOutlierNodes(d.Float64() < 0.5)
	case PartitionScenario:
		from := d.uniform(6, 12)
		if d.Float64() < 0.5 {
			fleet.Partitions = append(fleet.Partitions, PartitionSpec{Zone: d.Zones[zones[0]], From: seconds(from), To: seconds(from + 6)})
		} else {
			d.addFault(node.Blackhole, 0.2, from, from+6, 0, 0)
		}
		fleet.ListDelays = append(fleet.ListDelays, ListDelaySpec{From: seconds(from - 2), To: seconds(from + 10), By: seconds(d.uniform(1, 4))})
		d.addFault(node.ResetConn, 0.5, from-3, from+9, d.uniform(0.01, 0.04), 0)
		d.addFault(node.MalformedResponse, 0.5, from-3, from+9, d.uniform(0.01, 0.03), 0)
	case ChurnScenario:
		from := d.uniform(5, 9)
		d.addFault(node.Replace, 0.6, from, from+d.uniform(0.5, 2), 0, 7)
		d.addFault(node.MalformedResponse, 1, 2, d.Length.D().Seconds()-2, d.uniform(0.002, 0.01), 0)
		fleet.RetryStorms = append(fleet.RetryStorms, RetryStormSpec{From: seconds(from + d.uniform(0, 6)), To: seconds(from + d.uniform(9, 14)), Retries: 5,
			Backoff: seconds(d.uniform(0, 0.02)), AttemptTimeoutFraction: d.uniform(0.2, 0.4), ImpatientFraction: d.uniform(0.02, 0.15)})
	}
}

// String says what the day is, in a line.
func (f FleetScenario) String() string {
	return fmt.Sprintf("%s (%d agents, %d nodes)", f.Kind, f.Agents, f.Nodes)
}
