package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"ryeweir/internal/emulator/callers"
)

// View is a node as a client-side chooser sees it.
type View struct {
	ID        string
	InFlight  int // the chooser's own requests at the node
	TrueState *TrueState
}

// Truth is what only the emulator knows of a node.
type TrueState struct {
	Capacity        float64 // cores' worth of work that it can do at present, in seconds a second
	Cores           int
	Backlog         time.Duration // time until all requests that it holds are done
	HasCapacity     bool          // its queue has room for another request
	FailureFraction float64       // fraction of the requests that fail
	OneWayDelay     time.Duration // of the network, from the caller
}

// Chooser returns the index of a node for an attempt, or -1 for none. tried are the nodes of the request's earlier attempts. It is used by
// one goroutine at a time.
type Chooser interface {
	Choose(nodes []View, p callers.PlannedRequest, tried []string) int
}

// The kinds of reference variants.
const (
	Random        = "random"      // any node
	RoundRobin    = "round-robin" // each node in turn
	TwoChoices    = "two-choices" // of two random nodes the one with fewer of its own requests in flight
	Oracle        = "oracle"      // sees the true state of all nodes; one chooser serves all callers
	DelayedOracle = "late"        // the oracle with a state of delayedViewAge ago and the work sent since; in simulated time only
)

// NewChooser returns the chooser of a reference variant, or nil for an unknown kind.
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

// untried returns the indices of the nodes that were not tried, or of all where all were.
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

// Choose returns the next node.
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

// oracle chooses the node with the lowest expected latency, by the true state, the true work and the keys that it sent there itself.
// A request of low priority weight for its work is not sent to a queue: it would delay the others.
type oracle struct {
	lastByKey   map[string]keySighting // where and when a key was sent last
	meanDensity float64                // moving average of priority weight over seconds of work
}

type keySighting struct {
	node   string
	sentAt time.Duration
}

const (
	keyLifetime        = 5 * time.Second // how long after a request the oracle takes its key as cached at the node
	keyedWorkReduction = 0.5
	maxKeys            = 1 << 16
	// Requests below half of the mean density wait for no longer than this: more would delay the rest beyond its latency objective.
	maxLowDensityWait = 60 * time.Millisecond
)

// Choose returns the node with the lowest expected latency, or -1 where none is fit or the request is not worth the delay of others.
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
