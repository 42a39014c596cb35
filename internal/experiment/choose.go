// Package experiment plays days with one or more arms and says how they differ: agents against callers that choose nodes by
// themselves, on sockets or in simulated time.
package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"ryeweir/internal/emulator/callers"
)

// View is a node as a caller that chooses by itself sees it.
type View struct {
	ID       string
	InFlight int // the chooser's own requests there
	Truth    *Truth
}

// Truth is what only the emulator knows of a node.
type Truth struct {
	Capacity        float64 // work a second at present
	Cores           int
	Backlog         time.Duration // until all that it holds is done
	HasCapacity     bool          // another request would find a place
	FailureFraction float64       // share of what is sent that comes to nothing
	OneWayDelay     time.Duration // one way
}

// Chooser chooses a node for a try, or -1. tried are the nodes that the request has been to. It is used by one goroutine at
// a time.
type Chooser interface {
	Choose(nodes []View, p callers.PlannedRequest, tried []string) int
}

// The reference arms.
const (
	Random        = "random"      // any node
	RoundRobin    = "round-robin" // one after the other
	TwoChoices    = "two-choices" // of two drawn evenly, the one with less of its own in flight
	Oracle        = "oracle"      // sees the true state of all nodes, for all callers together
	DelayedOracle = "late"        // likewise, as it was a while ago, and knows what has been sent since; in simulated time only
)

// NewChooser returns the chooser of a reference arm, or nil for a name that is none.
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

// untried are the nodes that were not tried, or all where all were.
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

func (c *random) Choose(nodes []View, _ callers.PlannedRequest, tried []string) int {
	among := untried(nodes, tried)
	if len(among) == 0 {
		return -1
	}
	return among[c.rng.IntN(len(among))]
}

type roundRobin struct{ next int }

func (c *roundRobin) Choose(nodes []View, _ callers.PlannedRequest, _ []string) int {
	if len(nodes) == 0 {
		return -1
	}
	c.next++
	return c.next % len(nodes)
}

type twoChoices struct{ rng *rand.Rand }

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

// oracle sends where the answer will come soonest, by the true state, the true work and the keys that it sent there itself.
// Where no answer would come in time it does not send at all; and what is worth less than the rest for its work is not sent
// where it would make others wait.
type oracle struct {
	lastByKey   map[string]keySighting // where a key was sent last
	meanDensity float64                // mean worth for the work, lately
}

type keySighting struct {
	node   string
	sentAt time.Duration
}

const (
	keyLifetime        = 5 * time.Second // how long the oracle takes a key for known
	keyedWorkReduction = 0.5
	maxKeys            = 1 << 16
	// Work that is worth less than half of the mean waits for no more than this: more would delay the rest beyond its aim.
	maxLowDensityWait = 60 * time.Millisecond
)

func (c *oracle) Choose(nodes []View, planned callers.PlannedRequest, tried []string) int {
	best, shortest := -1, math.Inf(1)
	var wait time.Duration
	for _, i := range untried(nodes, tried) {
		truth := nodes[i].Truth
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
