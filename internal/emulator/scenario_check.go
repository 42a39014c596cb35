package emulator

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"ryeweir/internal/config"
	"ryeweir/internal/emulator/link"
)

// MaxProcesses is the maximum number of agents of a scenario that runs each agent as a process.
const MaxProcesses = 64

// Bounds of a scenario.
const (
	maxAgents          = 10000
	maxNodes           = 256
	maxLength          = time.Hour
	maxLoad            = 20 // as a multiple of what the nodes can do
	maxMessageBytes    = 32 << 20
	maxSpeedSpread     = 0.5
	maxRetries         = 10
	maxMisbehavingRate = 1000    // clients per second, at each agent
	maxPlannedRequests = 600_000 // somewhat more than 300 agents send to 200 nodes in a minute
)

// checkSeed is the seed with which Check draws a scenario, to find errors that show only when a spec is drawn.
const checkSeed = 1

// reportFunc reports an error in a spec and the key of the wrong value.
type reportFunc func(key, format string, args ...any)

// Check returns all errors in the spec, joined. Each names its key, with a prefix such as "day[0].". A spec that passes can be
// drawn.
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
		report("agent_skew", "must be at least 0, not %v", spec.AgentSkew)
	}
	if spec.Load < 0 || spec.Rate < 0 || spec.Load > maxLoad {
		report("load", "load must be from 0 to %d, not %v, and rate at least 0, not %v", maxLoad, spec.Load, spec.Rate)
	}
	validSize := func(bytes int) bool { return bytes >= 0 && bytes <= maxMessageBytes }
	if !validSize(spec.ResponseBytes) || !validSize(spec.RequestBytes) {
		report("answer_bytes", "answer_bytes and body_bytes must be from 0 to %d, not %d and %d", maxMessageBytes, spec.ResponseBytes, spec.RequestBytes)
	}
}

// checkKinds returns the total number of nodes of all kinds.
func (spec *ScenarioSpec) checkKinds(report reportFunc) (nodes int) {
	for i, kind := range spec.Kinds {
		nodes += kind.Nodes
		if kind.invalid() {
			report(fmt.Sprintf("kind[%d].name", i), "%q: nodes (%d) and cores (%d) must be at least 1, speed (%v) above 0, spread (%v) from 0 to %v, "+
				"queue_per_core (%v) and conn_cap (%d) at least 0", kind.Name, kind.Nodes, kind.Cores, kind.Speed, kind.Spread, maxSpeedSpread,
				kind.QueuePerCore, kind.ConnCap)
		}
	}
	if nodes > maxNodes {
		report("kind", "all kinds together may have at most %d nodes, not %d", maxNodes, nodes)
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
			report(fmt.Sprintf("class[%d].name", i), "%q: name must not be empty, share (%v), work (%v), worth (%v) and aim (%v) must be above 0, "+
				"deadline (%v) at least aim, late_worth (%v) from 0 to 1, and cv (%v) at least 0", class.Name, class.Share, class.Work.D(),
				class.PriorityWeight, class.LatencyObjective.D(), class.Deadline.D(), class.LateWeight, class.CV)
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
			report(fmt.Sprintf("tenant[%d].share", i), "must be above 0 and at most 1, not %v, and the tenant's name %q must not be empty", tenant.Share, tenant.Name)
		}
	}
}

func (spec *ScenarioSpec) checkNetwork(report reportFunc) {
	network := spec.Network
	conditions := link.Conditions{Delay: network.Cross.D(), Jitter: network.Jitter.D(), Loss: network.Loss}
	if err := conditions.Check(); err != nil || network.Same < 0 {
		report("net.loss", "loss must be at least 0 and below 1, not %v, and same (%v), cross (%v) and jitter (%v) at least 0",
			network.Loss, network.Same.D(), network.Cross.D(), network.Jitter.D())
	}
}

func (spec *ScenarioSpec) checkClients(report reportFunc) {
	clients := spec.Clients
	fractions := []float64{clients.AttemptTimeoutFraction, clients.RetryAfterFraction, clients.ImpatientFraction, clients.SlowFraction}
	if clients.Retries < 0 || clients.Retries > maxRetries || slices.ContainsFunc(fractions, notAFraction) ||
		clients.Backoff < 0 || clients.MisbehavingRate < 0 || clients.MisbehavingRate > maxMisbehavingRate {
		report("clients.retries", "retries must be from 0 to %d, not %d, rude from 0 to %d, not %v, "+
			"try_share (%v), heed (%v), impatient (%v) and slow (%v) from 0 to 1, and backoff (%v) at least 0",
			maxRetries, clients.Retries, maxMisbehavingRate, clients.MisbehavingRate, clients.AttemptTimeoutFraction, clients.RetryAfterFraction,
			clients.ImpatientFraction, clients.SlowFraction, clients.Backoff.D())
	}
}

// notAFraction reports whether x is outside [0, 1].
func notAFraction(x float64) bool { return x < 0 || x > 1 }

func (spec *ScenarioSpec) checkFaults(nodes int, report reportFunc) {
	for i, fault := range spec.Faults {
		key := fmt.Sprintf("trouble[%d].kind", i)
		if err := fault.fault().Check(); err != nil {
			report(key, "%v", err)
		}
		hitsNothing := fault.Nodes == 0 && len(fault.Names) == 0 && fault.Zone == ""
		if fault.Nodes < 0 || fault.Nodes > nodes || hitsNothing || fault.Stagger < 0 {
			report(key, "nodes (%d) must be from 0 to %d, at least one of nodes, names (%v) and zone (%q) must be set, and over (%v) must be at least 0",
				fault.Nodes, nodes, fault.Names, fault.Zone, fault.Stagger.D())
		}
		if fault.Zone != "" && !slices.Contains(spec.Zones, fault.Zone) {
			report(fmt.Sprintf("trouble[%d].zone", i), "%q must be one of %v", fault.Zone, spec.Zones)
		}
	}
}

func (spec *ScenarioSpec) checkOutages(report reportFunc) {
	for i, outage := range spec.Outages {
		if outage.From < 0 || outage.To <= outage.From {
			report(fmt.Sprintf("outage[%d].from", i), "must be at least 0 and before to (%v), not %v", outage.To.D(), outage.From.D())
		}
	}
}

func (spec *ScenarioSpec) checkHeavyAgents(report reportFunc) {
	if spec.HeavyFraction < 0 || spec.HeavyFraction > 1 || spec.HeavyFactor < 0 {
		report("heavy", "must be from 0 to 1, not %v, and heavy_times at least 0, not %v", spec.HeavyFraction, spec.HeavyFactor)
	}
}
