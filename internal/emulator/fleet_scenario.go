package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ryeweir/internal/config"
	"ryeweir/internal/emulator/node"
)

// FleetScenario describes a family of scenarios of a whole fleet. Each seed gives a different ScenarioSpec.
type FleetScenario struct {
	Name   string `toml:"name"` // the kind if empty
	Kind   string `toml:"kind"`
	Agents int    `toml:"agents"`
	Nodes  int    `toml:"nodes"`
}

// The kinds of FleetScenario.
const (
	// CalmScenario has a burst with 1.5 times the traffic, and later a shift of traffic between two zones.
	CalmScenario = "calm"
	// RolloutScenario replaces half of the nodes one after the other, while all agents restart in ten groups.
	RolloutScenario = "roll"
	// ThunderingHerdScenario replaces half of the nodes and kills 70% of the agents at once. One node in eight fails fast, and
	// discovery handles only half its usual rate of requests.
	ThunderingHerdScenario = "herd"
	// ZoneOutageScenario stops all nodes of a zone for 5 s, after which they are in slow start, and later partitions another zone.
	// One node in eight is slow or fails fast.
	ZoneOutageScenario = "zone"
	// PartitionScenario partitions a zone for 6 s, or makes a fifth of the nodes unresponsive for 6 s. The endpoint list is delayed,
	// and for some requests the response is malformed or the connection is reset.
	PartitionScenario = "split"
	// ChurnScenario replaces 60% of the nodes within 7 s. Some responses are malformed, and there is a retry storm.
	ChurnScenario = "join"
	// MixedScenario combines a random selection of the other kinds.
	MixedScenario = "mixed"
)

func fleetScenarioKinds() []string {
	return []string{CalmScenario, RolloutScenario, ThunderingHerdScenario, ZoneOutageScenario, PartitionScenario, ChurnScenario, MixedScenario}
}

// Sizes of a fleet.
const (
	defaultFleetAgents = 300
	defaultFleetNodes  = 200
	minFleetNodes      = 10
)

// Check sets the defaults of empty fields and returns an error that names the wrong key, with a prefix.
func (f *FleetScenario) Check(prefix string) error {
	setDefault(&f.Agents, defaultFleetAgents)
	setDefault(&f.Nodes, defaultFleetNodes)
	setDefault(&f.Name, f.Kind)
	if !slices.Contains(fleetScenarioKinds(), f.Kind) {
		return config.Wrong(prefix+"kind", "%q must be one of %v", f.Kind, fleetScenarioKinds())
	}
	if f.Nodes < minFleetNodes || f.Nodes > maxNodes {
		return config.Wrong(prefix+"nodes", "must be from %d to %d, not %d", minFleetNodes, maxNodes, f.Nodes)
	}
	spec := f.Spec(checkSeed)
	return spec.Check(prefix)
}

// String returns the kind and the size on one line.
func (f FleetScenario) String() string {
	return fmt.Sprintf("%s (%d agents, %d nodes)", f.Kind, f.Agents, f.Nodes)
}

// fleetStream selects a PCG stream of its own for Spec, independent of other generators with the same seed.
const fleetStream = 0x666c6565

// mixedProbability is the probability that a mixed scenario includes a given kind.
const mixedProbability = 0.4

// Spec draws the scenario's spec. A kind always has all its faults; their sizes and times, and in some kinds one of two
// alternatives, are random. Recorded experiments are repeated by their seed, so the order in which random numbers are drawn is
// part of the contract.
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

// scenarioDrawer is a spec that is being drawn. Its methods take and compute times in seconds.
type scenarioDrawer struct {
	*rand.Rand
	ScenarioSpec
	nodes int // in the whole fleet
}

// uniform draws a number from [low, high).
func (d *scenarioDrawer) uniform(low, high float64) float64 { return low + (high-low)*d.Float64() }

// nodeCount converts a fraction of the nodes to a number, at least 1.
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

// drawMixture draws the kinds that a mixed scenario combines. It redraws length and load from wider ranges.
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

// addFault adds a fault of a fraction of the nodes. It begins at one node after the other, over stagger seconds.
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

// addOutlierNodes makes one node in eight slow, or fail fast, for most of the scenario.
func (d *scenarioDrawer) addOutlierNodes(failing bool) {
	const share, from = 0.125, 3
	to := d.Length.D().Seconds() - 4
	if failing {
		d.addFault(node.FastFail, share, from, to, d.uniform(0.5, 0.98), 0)
	} else {
		d.addFault(node.Slow, share, from, to, d.uniform(3.9, 9), 0)
	}
}

// addKind adds the faults and events of a kind. It draws a permutation of the zones for every kind, even if that does not use it.
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
	duration := d.uniform(14, 18)
	d.addFault(node.Replace, 0.5, from, from+d.uniform(0.5, 2), 0, duration)
	d.Fleet.AgentFaults = append(d.Fleet.AgentFaults, AgentFaultSpec{
		Kind:     AgentRestart,
		Share:    1,
		Groups:   10,
		From:     seconds(from),
		To:       seconds(from + duration),
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
