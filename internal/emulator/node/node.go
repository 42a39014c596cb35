package node

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// tickInterval is how often the model updates what changes gradually: slow start, degradation and the measured load.
const tickInterval = 100 * time.Millisecond

// nodeStream selects a PCG stream of its own for a node, independent of other generators with the same seed.
const nodeStream = 0x6e6f6465

// Node is one incarnation of an order node. It is not safe for concurrent use. The times that a caller passes must not decrease.
type Node struct {
	Spec
	rng    *rand.Rand
	now    time.Duration
	faults []Fault

	running     []*workItem  // one per occupied slot
	queue       []*workItem  // oldest first
	completions []Completion // for the next Advance
	started     []uint64     // for the next TakeStarted
	conns       int
	figures     Figures

	lastTick            time.Duration
	tickCoreSeconds     float64         // core time used since the last tick
	smoothedUtilization float64         // fraction of the cores in use
	recentRejections    []time.Duration // times of the rejections in the last second
	recentHealthChecks  []time.Duration // times of the health checks answered in the last second

	degradation degradation
	slowStart   slowStartLoad
	keys        recentKeys
	reports     loadReports

	overloaded        bool
	overloadAvoidable bool
}

// workItem is an accepted request.
type workItem struct {
	Work
	remaining, workDone float64 // seconds on a core of speed 1
}

// New returns a node without faults. The spec must pass Check.
func New(spec Spec, seed uint64) *Node {
	return &Node{
		Spec:        spec,
		rng:         rand.New(rand.NewPCG(seed, nodeStream)),
		degradation: newDegradation(),
		keys:        newRecentKeys(spec.Affinity),
	}
}

// AddFault adds a fault, which must pass Fault.Check.
func (n *Node) AddFault(fault Fault) { n.faults = append(n.faults, fault) }

// Figures returns the counts so far.
func (n *Node) Figures() Figures { return n.figures }

// InFlight returns the number of requests that are executing or queued.
func (n *Node) InFlight() int { return len(n.running) + len(n.queue) }

// Waiting returns the number of queued requests.
func (n *Node) Waiting() int { return len(n.queue) }

// Unresponsive reports whether the node currently answers no requests and no health checks.
func (n *Node) Unresponsive() bool { return n.overloaded || n.faultActive(Blackhole) }

// draw returns true with the given probability. It draws no random number if the probability is 0.
func (n *Node) draw(probability float64) bool {
	return probability > 0 && n.rng.Float64() < probability
}

// NextEvent returns the latest time at which Advance must be called next.
func (n *Node) NextEvent() time.Duration {
	next := n.lastTick + tickInterval
	if rate := n.slotRate(); rate > 0 {
		least := math.Inf(1)
		for _, item := range n.running {
			least = min(least, item.remaining)
		}
		next = min(next, n.now+max(1, time.Duration(math.Ceil(least/rate*1e9))))
	}
	for _, fault := range n.faults {
		if at := fault.nextChange(n.now); at > 0 {
			next = min(next, at)
		}
	}
	return next
}

// Advance moves the model's time to now and returns the requests that have completed since the last call, in that order.
func (n *Node) Advance(now time.Duration) []Completion {
	n.advanceTo(now)
	completions := n.completions
	n.completions = nil
	return completions
}

// TakeStarted returns the tickets of the requests whose execution has started since the last call. A request may have taken
// effect as soon as its execution has started.
func (n *Node) TakeStarted() []uint64 {
	started := n.started
	n.started = nil
	return started
}

// advanceTo moves the model's time to now, event by event. Completions are kept for the next Advance.
func (n *Node) advanceTo(now time.Duration) {
	for next := n.NextEvent(); next <= now; next = n.NextEvent() {
		n.stepTo(next)
	}
	if now > n.now {
		n.stepTo(now)
	}
}

// stepTo moves the model's time to a moment before which there is no event.
func (n *Node) stepTo(to time.Duration) {
	span, rate := (to - n.now).Seconds(), n.slotRate()
	for _, item := range n.running {
		item.remaining -= span * rate
		item.workDone += span * rate
	}
	used := span * float64(min(len(n.running), n.Cores))
	n.reports.coreSeconds += used
	n.tickCoreSeconds += used
	n.now = to
	n.completeFinished()
	if n.now >= n.lastTick+tickInterval {
		n.onTick()
	}
	n.startQueued()
}

// utilizationWindow is the time constant of the smoothed utilization, in seconds.
const utilizationWindow = 0.5

// onTick updates utilization, degradation and load reports. Utilization is the mean over the whole tick, since a slot may happen
// to be free at its end.
func (n *Node) onTick() {
	span := (n.now - n.lastTick).Seconds()
	n.lastTick = n.now
	utilization := n.tickCoreSeconds / span / float64(n.Cores)
	n.tickCoreSeconds = 0
	n.smoothedUtilization += min(1, span/utilizationWindow) * (utilization - n.smoothedUtilization)
	for len(n.recentRejections) > 0 && n.recentRejections[0] <= n.now-time.Second {
		n.recentRejections = n.recentRejections[1:]
	}
	n.updateDegradation()
	n.reports.update(n.now, n.Cores, n.LoadReporting, n.rng)
}

// HealthCheck reports whether the node answers a health check, and counts it if so. The node does not answer if it is
// unresponsive or has answered HealthCheckRate of them within the last second.
func (n *Node) HealthCheck(now time.Duration) bool {
	n.advanceTo(now)
	n.recentHealthChecks = slices.DeleteFunc(n.recentHealthChecks, func(t time.Duration) bool { return t <= now-time.Second })
	if n.HealthCheckRate > 0 && float64(len(n.recentHealthChecks)) >= n.HealthCheckRate || n.Unresponsive() {
		return false
	}
	n.recentHealthChecks = append(n.recentHealthChecks, now)
	n.figures.HealthChecks++
	n.addOverhead(n.HealthCheckWork)
	return true
}

// Load returns the latest visible load report, or false if there is none yet.
func (n *Node) Load() (LoadReport, bool) { return n.reports.latest() }
