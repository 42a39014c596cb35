package emulator

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"ryeweir/internal/config"
	"ryeweir/internal/emulator/link"
)

// MaxProcesses is how many agents a scenario has at most where each is a process.
const MaxProcesses = 64

// Bounds of a scenario.
const (
	maxAgents          = 10000
	maxNodes           = 256
	maxLength          = time.Hour
	maxLoad            = 20 // times what the nodes can do
	maxMessageBytes    = 32 << 20
	maxSpeedSpread     = 0.5
	maxRetries         = 10
	maxMisbehavingRate = 1000    // clients a second, at each agent
	maxPlannedRequests = 600_000 // those of 300 agents before 200 nodes for a minute, and some more
)

// checkSeed draws the scenario by which Check finds what shows only when a spec is drawn.
const checkSeed = 1

// reportFunc takes a problem of a spec and the key that it is at.
type reportFunc func(key, format string, args ...any)

// Check returns all that is wrong with the spec, joined, each with its key below a prefix such as "day[0].". A spec that
// passes can be drawn.
func (spec *ScenarioSpec) Check(prefix string) error {
	var errs []error
	report := func(key, format string, args ...any) {
		errs = append(errs, config.Wrong(prefix+key, format, args...))
	}
	spec.checkSize(report)
	nodes := spec.checkKinds(report)
	spec.checkClasses(report)
	spec.checkTenants(report)
	spec.checkNetwork(report)
	spec.checkClients(report)
	spec.checkFaults(nodes, report)
	spec.checkOutages(report)
	spec.Fleet.check(spec.Zones, func(key, format string, args ...any) { report("fleet."+key, format, args...) })
	spec.checkHeavyAgents(report)
	if len(errs) > 0 {
		return errors.Join(errs...)
	}
	if _, err := spec.Draw(checkSeed); err != nil {
		return &config.KeyError{Key: prefix + "name", Err: err}
	}
	return nil
}

func (spec *ScenarioSpec) checkSize(report reportFunc) {
	if spec.Length.D() <= 0 || spec.Length.D() > maxLength {
		report("length", "must be above 0 and at most %v, not %v", maxLength, spec.Length.D())
	}
	if spec.Agents < 1 || spec.Agents > maxAgents {
		report("agents", "must be from 1 to %d, not %d", maxAgents, spec.Agents)
	}
	if spec.AgentSkew < 0 {
		report("agent_skew", "must not be below 0")
	}
	if spec.Load < 0 || spec.Rate < 0 || spec.Load > maxLoad {
		report("load", "load must be from 0 to 20 and rate not below 0")
	}
	messageSize := func(bytes int) bool { return bytes >= 0 && bytes <= maxMessageBytes }
	if !messageSize(spec.ResponseBytes) || !messageSize(spec.RequestBytes) {
		report("answer_bytes", "answers and bodies hold from 0 to 32 MiB")
	}
}

// checkKinds returns how many nodes the kinds have together.
func (spec *ScenarioSpec) checkKinds(report reportFunc) (nodes int) {
	for i, kind := range spec.Kinds {
		nodes += kind.Nodes
		if kind.invalid() {
			report(fmt.Sprintf("kind[%d].name", i), "%q needs nodes, cores and a speed above 0, a spread from 0 to 0.5, and no figure below 0", kind.Name)
		}
	}
	if nodes > maxNodes {
		report("kind", "%d nodes are more than %d", nodes, maxNodes)
	}
	return nodes
}

func (kind KindSpec) invalid() bool {
	tooSmall := kind.Nodes < 1 || kind.Cores < 1 || !(kind.Speed > 0)
	return tooSmall || kind.Spread < 0 || kind.Spread > maxSpeedSpread || kind.QueuePerCore < 0 || kind.ConnCap < 0
}

func (spec *ScenarioSpec) checkClasses(report reportFunc) {
	for i, class := range spec.Classes {
		if class.invalid() {
			report(fmt.Sprintf("class[%d].name", i), "%q needs a name, share, work, worth, an aim above 0 and a deadline not before it", class.Name)
		}
	}
}

func (class ClassSpec) invalid() bool {
	notPositive := class.Share <= 0 || class.Work <= 0 || class.LatencyObjective <= 0 || class.PriorityWeight <= 0
	badLateWeight := class.LateWeight < 0 || class.LateWeight > 1
	return class.Name == "" || notPositive || class.Deadline < class.LatencyObjective || badLateWeight || class.CV < 0
}

func (spec *ScenarioSpec) checkTenants(report reportFunc) {
	for i, tenant := range spec.Tenants {
		if tenant.Name == "" || tenant.Share <= 0 || tenant.Share > 1 {
			report(fmt.Sprintf("tenant[%d].share", i), "must be above 0 and at most 1, of a tenant with a name")
		}
	}
}

func (spec *ScenarioSpec) checkNetwork(report reportFunc) {
	network := spec.Network
	conditions := link.Conditions{Delay: network.Cross.D(), Jitter: network.Jitter.D(), Loss: network.Loss}
	if err := conditions.Check(); err != nil || network.Same < 0 {
		report("net.loss", "%v", errors.Join(err, errors.New("no time may be below 0")))
	}
}

func (spec *ScenarioSpec) checkClients(report reportFunc) {
	clients := spec.Clients
	fractions := []float64{clients.AttemptTimeoutFraction, clients.RetryAfterFraction, clients.ImpatientFraction, clients.SlowFraction}
	if clients.Retries < 0 || clients.Retries > maxRetries || slices.ContainsFunc(fractions, notAFraction) ||
		clients.Backoff < 0 || clients.MisbehavingRate < 0 || clients.MisbehavingRate > maxMisbehavingRate {
		report("clients.retries", "retries are from 0 to 10, rude clients from 0 to 1,000 a second, shares from 0 to 1, and no time below 0")
	}
}

func notAFraction(x float64) bool { return x < 0 || x > 1 }

func (spec *ScenarioSpec) checkFaults(nodes int, report reportFunc) {
	for i, fault := range spec.Faults {
		key := fmt.Sprintf("trouble[%d].kind", i)
		if err := fault.fault().Check(); err != nil {
			report(key, "%v", err)
		}
		hitsNothing := fault.Nodes == 0 && len(fault.Names) == 0 && fault.Zone == ""
		if fault.Nodes < 0 || fault.Nodes > nodes || hitsNothing || fault.Stagger < 0 {
			report(key, "it must befall from 1 to %d nodes, some that are named, or a zone, and not begin over a time below 0", nodes)
		}
		if fault.Zone != "" && !slices.Contains(spec.Zones, fault.Zone) {
			report(fmt.Sprintf("trouble[%d].zone", i), "%q is none of %v", fault.Zone, spec.Zones)
		}
	}
}

func (spec *ScenarioSpec) checkOutages(report reportFunc) {
	for i, outage := range spec.Outages {
		if outage.From < 0 || outage.To <= outage.From {
			report(fmt.Sprintf("outage[%d].from", i), "must be before its end")
		}
	}
}

func (spec *ScenarioSpec) checkHeavyAgents(report reportFunc) {
	if spec.HeavyFraction < 0 || spec.HeavyFraction > 1 || spec.HeavyFactor < 0 {
		report("heavy", "must be from 0 to 1, and heavy_times not below 0")
	}
}
