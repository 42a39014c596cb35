package node

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// tickInterval is how often the model looks at what changes steadily: slow start, degradation, its load.
const tickInterval = 100 * time.Millisecond

// nodeStream keeps the random numbers of a node apart from those that other parts take from the same seed.
const nodeStream = 0x6e6f6465

// Node is one incarnation of an order node. It is not safe for concurrent use. Times that are handed in never go back.
type Node struct {
	Spec
	rng    *rand.Rand
	now    time.Duration
	faults []Fault

	running     []*workItem // in slots
	queue       []*workItem
	completions []Completion // for the next Advance
	started     []uint64     // for the next TakeStarted
	conns       int
	figures     Figures

	lastTick            time.Duration
	tickCoreSeconds     float64 // in use since the last tick
	smoothedUtilization float64 // share of the cores in use
	recentRejections    []time.Duration
	recentHealthChecks  []time.Duration // of the latest second

	degradation degradation
	slowStart   slowStartLoad
	keys        recentKeys
	reports     loadReports

	overloaded        bool
	overloadAvoidable bool
}

// workItem is a request that was accepted.
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

// AddFault adds a fault, which must pass its Check.
func (n *Node) AddFault(fault Fault) { n.faults = append(n.faults, fault) }

// Figures returns the counts so far.
func (n *Node) Figures() Figures { return n.figures }

// InFlight returns how many requests the node holds, executing and queued.
func (n *Node) InFlight() int { return len(n.running) + len(n.queue) }

// Waiting returns how many requests are queued for a slot.
func (n *Node) Waiting() int { return len(n.queue) }

// Unresponsive reports whether the node answers nobody at present.
func (n *Node) Unresponsive() bool { return n.overloaded || n.faultActive(Blackhole) }

// draw returns true with a probability. It takes no random number for 0.
func (n *Node) draw(probability float64) bool {
	return probability > 0 && n.rng.Float64() < probability
}

// NextEvent returns when Advance has to be called next, at the latest.
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

// Advance lets time pass and returns what has completed since the last call, in order.
func (n *Node) Advance(now time.Duration) []Completion {
	n.advanceTo(now)
	completions := n.completions
	n.completions = nil
	return completions
}

// TakeStarted returns the tickets of the requests whose execution has started since the last call: from then on they may have
// taken effect.
func (n *Node) TakeStarted() []uint64 {
	started := n.started
	n.started = nil
	return started
}

// advanceTo lets time pass from event to event. Completions wait for the next Advance.
func (n *Node) advanceTo(now time.Duration) {
	for next := n.NextEvent(); next <= now; next = n.NextEvent() {
		n.passTo(next)
	}
	if now > n.now {
		n.passTo(now)
	}
}

// passTo lets time pass to a moment before which there is no event.
func (n *Node) passTo(to time.Duration) {
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

// utilizationWindow is the time constant over which utilization is smoothed, in seconds.
const utilizationWindow = 0.5

// onTick updates what changes steadily. Utilization is measured over the whole tick: at its end a slot may just be free.
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

// HealthCheck counts a health check; false says that the node does not answer it, because it answers none or has had too many
// within a second.
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

// Load returns the latest load report that can be seen; false when there is none yet.
func (n *Node) Load() (LoadReport, bool) { return n.reports.latest() }
