package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"ryeweir/internal/emulator/callers"
)

// View is a node as a Chooser sees it.
type View struct {
	ID        string
	InFlight  int // requests in flight at the node that this chooser's callers sent
	TrueState *TrueState
}

// TrueState is the state of a node, which only the emulator knows.
type TrueState struct {
	Capacity        float64 // current capacity, in core-seconds of work per second
	Cores           int
	Backlog         time.Duration // time until the node has finished all requests that it holds
	HasCapacity     bool          // whether its queue has room for another request
	FailureFraction float64       // fraction of its requests that fail
	OneWayDelay     time.Duration // network delay from the caller to the node
}

// Chooser is a reference policy that selects nodes. A Chooser must not be used by more than one goroutine at a time.
type Chooser interface {
	// Choose returns the index in nodes for the next attempt of p, or -1 for none. tried has the ids of the nodes of p's earlier attempts.
	Choose(nodes []View, p callers.PlannedRequest, tried []string) int
}

// The kinds of Choosers.
const (
	Random        = "random"      // a random node that was not tried
	RoundRobin    = "round-robin" // each node in turn
	TwoChoices    = "two-choices" // of two random nodes that were not tried, the one with fewer of the caller's requests in flight
	Oracle        = "oracle"      // uses the true state of all nodes; all callers share one Chooser
	DelayedOracle = "late"        // the oracle with the state of delayedViewAge ago and the work sent since; in simulated time only
)

// NewChooser returns a Chooser of a kind, or nil for an unknown kind.
func NewChooser(name string, seed uint64) Chooser {
	rng := rand.New(rand.NewPCG(seed, 0x63686f6f))
	switch name {
	case Random:
		return &random{rng}
	case RoundRobin:
		return &roundRobin{next: rng.IntN(1 << 20)}
	case TwoChoices:
		return &twoChoices{rng}
	case Oracle, DelayedOracle:
		return &oracle{lastByKey: map[string]keySighting{}}
	}
	return nil
}

// untried returns the indices of the nodes that were not tried, or of all nodes if all were tried.
func untried(nodes []View, tried []string) []int {
	var out, all []int
	for i, n := range nodes {
		all = append(all, i)
		if !slices.Contains(tried, n.ID) {
			out = append(out, i)
		}
	}
	if len(out) == 0 {
		return all
	}
	return out
}

type random struct{ rng *rand.Rand }

// Choose returns a random node that was not tried.
func (c *random) Choose(nodes []View, _ callers.PlannedRequest, tried []string) int {
	among := untried(nodes, tried)
	if len(among) == 0 {
		return -1
	}
	return among[c.rng.IntN(len(among))]
}

type roundRobin struct{ next int }

// Choose returns the next node in turn.
func (c *roundRobin) Choose(nodes []View, _ callers.PlannedRequest, _ []string) int {
	if len(nodes) == 0 {
		return -1
	}
	c.next++
	return c.next % len(nodes)
}

type twoChoices struct{ rng *rand.Rand }

// Choose returns the one of two random nodes with fewer requests in flight.
func (c *twoChoices) Choose(nodes []View, _ callers.PlannedRequest, tried []string) int {
	among := untried(nodes, tried)
	if len(among) == 0 {
		return -1
	}
	a, b := among[c.rng.IntN(len(among))], among[c.rng.IntN(len(among))]
	if nodes[b].InFlight < nodes[a].InFlight {
		return b
	}
	return a
}

// oracle chooses the node with the lowest expected latency, which it computes from the node's true state, the request's true work and the
// keys that it sent to the node before. A request with a low ratio of priority weight to work is rejected rather than queued for long,
// as it would delay the other requests.
type oracle struct {
	lastByKey   map[string]keySighting // the last request with each key
	meanDensity float64                // moving average of priority weight over seconds of work
}

// keySighting is when and to which node a key was last sent.
type keySighting struct {
	node   string
	sentAt time.Duration
}

const (
	keyLifetime        = 5 * time.Second // how long after a request the oracle assumes that its key is cached at the node
	keyedWorkReduction = 0.5             // fraction of the work that the oracle assumes a cached key to save
	maxKeys            = 1 << 16
	// A request below half of the mean density is not queued for longer than this. Longer queues would delay the other requests beyond
	// their latency objectives.
	maxLowDensityWait = 60 * time.Millisecond
)

// Choose returns the node with the lowest expected latency, or -1 if no node can serve the request or the request is of low density and
// would wait too long.
func (c *oracle) Choose(nodes []View, planned callers.PlannedRequest, tried []string) int {
	best, shortest := -1, math.Inf(1)
	var wait time.Duration
	for _, i := range untried(nodes, tried) {
		truth := nodes[i].TrueState
		if truth == nil || truth.Capacity <= 0 || truth.FailureFraction >= 1 || !truth.HasCapacity {
			continue
		}
		work := planned.Work.Seconds()
		if m := c.lastByKey[planned.Key]; planned.Key != "" && m.node == nodes[i].ID && planned.At-m.sentAt < keyLifetime {
			work *= 1 - keyedWorkReduction
		}
		latency := (truth.Backlog + 2*truth.OneWayDelay).Seconds() + work*float64(truth.Cores)/truth.Capacity
		if latency /= math.Pow(1-truth.FailureFraction, 4); latency < shortest {
			best, shortest, wait = i, latency, truth.Backlog
		}
	}
	density := planned.PriorityWeight / planned.Work.Seconds()
	c.meanDensity += 0.01 * (density - c.meanDensity)
	if best < 0 || wait > maxLowDensityWait && density < c.meanDensity/2 {
		return -1
	}
	if len(c.lastByKey) < maxKeys {
		c.lastByKey[planned.Key] = keySighting{nodes[best].ID, planned.At}
	}
	return best
}
