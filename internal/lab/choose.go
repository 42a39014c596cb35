// Package lab plays days with one or more arms and says how they differ: agents against callers that choose nodes by
// themselves, on sockets or in simulated time.
package lab

import (
	"math"
	"math/rand/v2"
	"slices"

	"ryeweir/internal/world/callers"
)

// View is a node as a caller that chooses by itself sees it.
type View struct {
	ID   string
	Own  int // the chooser's own requests there
	True *Truth
}

// Truth is what only the emulator knows of a node.
type Truth struct {
	InFlight int
	Capacity float64 // work a second at present
	Failing  float64 // share of what is sent that comes to nothing
}

// Chooser chooses a node for a try, or -1. tried are the nodes that the request has been to. It is used by one goroutine at
// a time.
type Chooser interface {
	Choose(nodes []View, p callers.Planned, tried []string) int
}

// The reference arms.
const (
	Random     = "random"      // any node
	RoundRobin = "round-robin" // one after the other
	TwoChoices = "two-choices" // of two drawn evenly, the one with less of its own in flight
	Oracle     = "oracle"      // sees the true state of all nodes
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
	case Oracle:
		return oracle{}
	}
	return nil
}

// fresh are the nodes that were not tried, or all where all were.
func fresh(nodes []View, tried []string) []int {
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

func (c *random) Choose(nodes []View, _ callers.Planned, tried []string) int {
	among := fresh(nodes, tried)
	if len(among) == 0 {
		return -1
	}
	return among[c.rng.IntN(len(among))]
}

type roundRobin struct{ next int }

func (c *roundRobin) Choose(nodes []View, _ callers.Planned, _ []string) int {
	if len(nodes) == 0 {
		return -1
	}
	c.next++
	return c.next % len(nodes)
}

type twoChoices struct{ rng *rand.Rand }

func (c *twoChoices) Choose(nodes []View, _ callers.Planned, tried []string) int {
	among := fresh(nodes, tried)
	if len(among) == 0 {
		return -1
	}
	a, b := among[c.rng.IntN(len(among))], among[c.rng.IntN(len(among))]
	if nodes[b].Own < nodes[a].Own {
		return b
	}
	return a
}

// oracle sends where the answer will come soonest, by the true state.
type oracle struct{}

func (oracle) Choose(nodes []View, p callers.Planned, tried []string) int {
	best, least := -1, math.Inf(1)
	for _, i := range fresh(nodes, tried) {
		t := nodes[i].True
		if t == nil || t.Capacity <= 0 || t.Failing >= 1 {
			continue
		}
		load := (float64(t.InFlight) + 1) / t.Capacity / math.Pow(1-t.Failing, 4)
		if load < least {
			best, least = i, load
		}
	}
	return best
}
