package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ryeweir/internal/config"
	"ryeweir/internal/emulator/node"
)

// FleetScenario is a scenario of a whole fleet that is drawn anew for each seed.
type FleetScenario struct {
	Name   string `toml:"name"` // the kind where empty
	Kind   string `toml:"kind"`
	Agents int    `toml:"agents"`
	Nodes  int    `toml:"nodes"`
}

// The kinds of FleetScenario.
const (
	// CalmScenario has a burst of half as much traffic again, and traffic that shifts between zones.
	CalmScenario = "calm"
	// RolloutScenario replaces half of the nodes in steps while all agents restart, a tenth at a time.
	RolloutScenario = "roll"
	// ThunderingHerdScenario replaces half of the nodes and kills seven in ten agents at once. One node of eight fails fast, and
	// discovery handles half as many requests.
	ThunderingHerdScenario = "herd"
	// ZoneOutageScenario takes a zone away for 5 s, which returns in slow start, and partitions another. One node of eight is slow
	// or fails fast.
	ZoneOutageScenario = "zone"
	// PartitionScenario partitions a zone for 6 s, or a fifth of the nodes answer nothing. The list is delayed, and responses are
	// malformed or lost.
	PartitionScenario = "split"
	// ChurnScenario replaces six in ten nodes within 7 s. Responses are malformed, and clients retry in a storm.
	ChurnScenario = "join"
	// MixedScenario has any of the others together.
	MixedScenario = "mixed"
)

func fleetScenarioKinds() []string {
	return []string{CalmScenario, RolloutScenario, ThunderingHerdScenario, ZoneOutageScenario, PartitionScenario, ChurnScenario, MixedScenario}
}

// The size of a fleet.
const (
	defaultFleetAgents = 300
	defaultFleetNodes  = 200
	minFleetNodes      = 10
)

// Check fills in the defaults and returns what is wrong, with keys below a prefix.
func (f *FleetScenario) Check(prefix string) error {
	setDefault(&f.Agents, defaultFleetAgents)
	setDefault(&f.Nodes, defaultFleetNodes)
	setDefault(&f.Name, f.Kind)
	if !slices.Contains(fleetScenarioKinds(), f.Kind) {
		return config.Wrong(prefix+"kind", "%q is none of %v", f.Kind, fleetScenarioKinds())
	}
	if f.Nodes < minFleetNodes || f.Nodes > maxNodes {
		return config.Wrong(prefix+"nodes", "must be from 10 to 256, not %d", f.Nodes)
	}
	spec := f.Spec(checkSeed)
	return spec.Check(prefix)
}

// String names the kind and the size, in a line.
func (f FleetScenario) String() string {
	return fmt.Sprintf("%s (%d agents, %d nodes)", f.Kind, f.Agents, f.Nodes)
}

// fleetStream keeps the random numbers of Spec apart from those that other parts take from the same seed.
const fleetStream = 0x666c6565

// mixedProbability is that of each kind to be part of a mixed scenario.
const mixedProbability = 0.4

// Spec draws the scenario's spec. All faults of a kind are always there; their sizes and times are drawn. The order in which
// random numbers are taken is part of the contract, as recorded experiments are repeated by their seed.
func (f FleetScenario) Spec(seed uint64) ScenarioSpec {
	d := &scenarioDrawer{Rand: rand.New(rand.NewPCG(seed, fleetStream)), ScenarioSpec: DefaultScenario(), nodes: f.Nodes}
	d.Name, d.Agents = f.Name, f.Agents
	d.drawTraffic()
	d.drawEnvironment()
	d.drawKinds()
	kinds := []string{f.Kind}
	if f.Kind == MixedScenario {
		kinds = d.drawMixture()
	}
	for _, kind := range kinds {
		d.addKind(kind)
	}
	return d.ScenarioSpec
}

// scenarioDrawer is a spec that is being drawn. Durations are in seconds until they are put into the spec.
type scenarioDrawer struct {
	*rand.Rand
	ScenarioSpec
	nodes int // in the whole fleet
}

// uniform draws a number from low to below high.
func (d *scenarioDrawer) uniform(low, high float64) float64 { return low + (high-low)*d.Float64() }

// nodeCount is a share of the nodes, at least one.
func (d *scenarioDrawer) nodeCount(share float64) int {
	return max(1, int(share*float64(d.nodes)+0.5))
}

func seconds(x float64) config.Duration { return config.Duration(x * float64(time.Second)) }

func (d *scenarioDrawer) drawTraffic() {
	d.Length = seconds(d.uniform(28, 36))
	d.Load = d.uniform(0.45, 0.6)
	d.AgentSkew, d.HeavyFraction, d.HeavyFactor = d.uniform(0, 1), 0.04, d.uniform(3, 6)
	d.Classes[0].Work = seconds(d.uniform(0.044, 0.080))
	d.Classes[1].Work = seconds(d.uniform(0.022, 0.040))
	d.Keys = 420 + d.IntN(680)
}

func (d *scenarioDrawer) drawEnvironment() {
	d.Network.Cross = seconds(d.uniform(0.0036, 0.0063))
	d.Discovery.RemovalDelay = seconds(d.uniform(0.5, 2.5))
	d.Discovery.AdditionDelay = seconds(d.uniform(0.3, 1.5))
	d.Discovery.Rate = 0.6 * float64(d.Agents) * d.uniform(0.8, 1.4)
	d.Clients.AttemptTimeoutFraction = d.uniform(0.3, 0.55)
	d.Clients.RetryAfterFraction = d.uniform(0, 0.5)
	d.Clients.Backoff = seconds(d.uniform(0, 0.1))
}

func (d *scenarioDrawer) drawKinds() {
	d.Kinds[0].Nodes = max(1, d.nodes*38/100)
	d.Kinds[1].Nodes = d.nodes - d.Kinds[0].Nodes
	d.Kinds[0].Speed = d.uniform(0.85, 1.1)
	d.Kinds[1].Speed = d.uniform(0.64, 0.86)
	degrades := d.Float64() < 0.5
	for i := range d.Kinds {
		d.Kinds[i].ConnCap, d.Kinds[i].Degrades = 120, degrades
	}
	d.Fleet.Prices = Prices{HealthCheck: 0.045, Handshake: 0.02, List: 0.02, Waste: 0.05}
}

// drawMixture draws the kinds of a mixed scenario, and its length and load from wider ranges.
func (d *scenarioDrawer) drawMixture() (kinds []string) {
	all := fleetScenarioKinds()
	for _, kind := range all[:len(all)-1] {
		if d.Float64() < mixedProbability {
			kinds = append(kinds, kind)
		}
	}
	d.Length = seconds(d.uniform(28, 48))
	d.Load = d.uniform(0.3, 0.9)
	return kinds
}

// addFault adds a fault of a share of the nodes, which begins at them one after the other over stagger seconds.
func (d *scenarioDrawer) addFault(kind node.FaultKind, share, from, to, size, stagger float64) {
	d.Faults = append(d.Faults, FaultSpec{
		Kind:    string(kind),
		Nodes:   d.nodeCount(share),
		From:    seconds(from),
		To:      seconds(to),
		Size:    size,
		Stagger: seconds(stagger),
	})
}

// addOutlierNodes makes one node of eight slow, or fail fast, for most of the scenario.
func (d *scenarioDrawer) addOutlierNodes(failing bool) {
	const share, from = 0.125, 3
	to := d.Length.D().Seconds() - 4
	if failing {
		d.addFault(node.FastFail, share, from, to, d.uniform(0.5, 0.98), 0)
	} else {
		d.addFault(node.Slow, share, from, to, d.uniform(3.9, 9), 0)
	}
}

// addKind adds what a kind of scenario has. Every kind takes one permutation of the zones first.
func (d *scenarioDrawer) addKind(kind string) {
	zones := d.Perm(len(d.Zones))
	switch kind {
	case CalmScenario:
		d.addCalm(zones)
	case RolloutScenario:
		d.addRollout()
	case ThunderingHerdScenario:
		d.addThunderingHerd()
	case ZoneOutageScenario:
		d.addZoneOutage(zones)
	case PartitionScenario:
		d.addPartition(zones)
	case ChurnScenario:
		d.addChurn()
	}
}

func (d *scenarioDrawer) addShift(zone string, from, to, factor float64) {
	d.Fleet.TrafficShifts = append(d.Fleet.TrafficShifts,
		TrafficShiftSpec{Zone: zone, From: seconds(from), To: seconds(to), Factor: factor})
}

func (d *scenarioDrawer) addCalm(zones []int) {
	burst := d.uniform(8, 12)
	d.addShift("", burst, burst+d.uniform(4, 8), 1.5)
	d.addShift(d.Zones[zones[0]], burst+9, burst+15, d.uniform(1.4, 2))
	d.addShift(d.Zones[zones[1]], burst+9, burst+15, d.uniform(0.3, 0.7))
}

func (d *scenarioDrawer) addRollout() {
	const from = 5
	lasts := d.uniform(14, 18)
	d.addFault(node.Replace, 0.5, from, from+d.uniform(0.5, 2), 0, lasts)
	d.Fleet.AgentFaults = append(d.Fleet.AgentFaults, AgentFaultSpec{
		Kind:     AgentRestart,
		Share:    1,
		Groups:   10,
		From:     seconds(from),
		To:       seconds(from + lasts),
		Duration: seconds(d.uniform(0.2, 0.6)),
	})
}

func (d *scenarioDrawer) addThunderingHerd() {
	from := d.uniform(5, 8)
	d.addFault(node.Replace, 0.5, from, from+d.uniform(0.5, 2), 0, d.uniform(3, 6))
	d.Fleet.AgentFaults = append(d.Fleet.AgentFaults, AgentFaultSpec{
		Kind:     AgentKill,
		Share:    0.7,
		From:     seconds(from + d.uniform(0, 4)),
		Duration: seconds(d.uniform(0.4, 1.5)),
	})
	d.Discovery.Rate /= 2
	d.addOutlierNodes(true)
}

func (d *scenarioDrawer) addZoneOutage(zones []int) {
	from := d.uniform(5, 8)
	d.Faults = append(d.Faults, FaultSpec{
		Kind: string(node.Restart),
		Zone: d.Zones[zones[0]],
		From: seconds(from),
		To:   seconds(from + 5),
	})
	partition := from + d.uniform(8, 12)
	d.Fleet.Partitions = append(d.Fleet.Partitions, PartitionSpec{
		Zone: d.Zones[zones[1]],
		From: seconds(partition),
		To:   seconds(partition + d.uniform(2, 4)),
	})
	d.addOutlierNodes(d.Float64() < 0.5)
}

func (d *scenarioDrawer) addPartition(zones []int) {
	from := d.uniform(6, 12)
	if d.Float64() < 0.5 {
		d.Fleet.Partitions = append(d.Fleet.Partitions,
			PartitionSpec{Zone: d.Zones[zones[0]], From: seconds(from), To: seconds(from + 6)})
	} else {
		d.addFault(node.Blackhole, 0.2, from, from+6, 0, 0)
	}
	d.Fleet.ListDelays = append(d.Fleet.ListDelays,
		ListDelaySpec{From: seconds(from - 2), To: seconds(from + 10), By: seconds(d.uniform(1, 4))})
	d.addFault(node.ResetConn, 0.5, from-3, from+9, d.uniform(0.01, 0.04), 0)
	d.addFault(node.MalformedResponse, 0.5, from-3, from+9, d.uniform(0.01, 0.03), 0)
}

func (d *scenarioDrawer) addChurn() {
	from := d.uniform(5, 9)
	d.addFault(node.Replace, 0.6, from, from+d.uniform(0.5, 2), 0, 7)
	d.addFault(node.MalformedResponse, 1, 2, d.Length.D().Seconds()-2, d.uniform(0.002, 0.01), 0)
	d.Fleet.RetryStorms = append(d.Fleet.RetryStorms, RetryStormSpec{
		From:                   seconds(from + d.uniform(0, 6)),
		To:                     seconds(from + d.uniform(9, 14)),
		Retries:                5,
		Backoff:                seconds(d.uniform(0, 0.02)),
		AttemptTimeoutFraction: d.uniform(0.2, 0.4),
		ImpatientFraction:      d.uniform(0.02, 0.15),
	})
}
