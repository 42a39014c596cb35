package emulator

import (
	"fmt"
	"path"
	"slices"
	"time"

	"ryeweir/internal/config"
	"ryeweir/internal/emulator/discovery"
	"ryeweir/internal/emulator/link"
	"ryeweir/internal/emulator/node"
)

// PathSpec makes the ways between chosen hosts poor, or cuts them, for a while. Hosts are agents, nodes and "discovery", by name
// or pattern (path.Match, such as agent-*). Between agents there are ways only where they talk with each other.
type PathSpec struct {
	A      []string        `toml:"a"`
	B      []string        `toml:"b"`   // empty: all that are not of A
	Way    string          `toml:"way"` // both, or forth: only what A sends to B
	From   config.Duration `toml:"from"`
	To     config.Duration `toml:"to"`
	Cut    bool            `toml:"cut"`
	Delay  config.Duration `toml:"delay"` // more than usual, one way
	Jitter config.Duration `toml:"jitter"`
	Loss   float64         `toml:"loss"` // 0 to below 1: a stream stalls, a packet is gone
}

// The ways of a PathSpec.
const (
	BothWays = "both"
	Forth    = "forth"
)

// Discovery is the host that the list comes from, in a PathSpec.
const Discovery = "discovery"

func (p PathSpec) check(key string, wrong func(key, format string, args ...any)) {
	if len(p.A) == 0 {
		wrong(key+".a", "names no host")
	}
	for _, pattern := range slices.Concat(p.A, p.B) {
		if _, err := path.Match(pattern, ""); err != nil {
			wrong(key+".a", "%q is no pattern", pattern)
		}
	}
	if p.Way != "" && p.Way != BothWays && p.Way != Forth {
		wrong(key+".way", "%q is neither %s nor %s", p.Way, BothWays, Forth)
	}
	if err := p.conditions().Check(); err != nil || !p.Cut && p.Delay == 0 && p.Jitter == 0 && p.Loss == 0 {
		wrong(key+".cut", "needs a cut, a delay, jitter or a loss from 0 to below 1, none below 0")
	}
}

// checkHosts says what is wrong where either side names none of a day's hosts: nothing would befall anybody. A pattern of several may be
// for a larger fleet.
func (p PathSpec) checkHosts(key string, d *Scenario) error {
	for side, patterns := range map[string][]string{"a": p.A, "b": p.B} {
		if len(patterns) == 0 {
			continue
		}
		known := matches(patterns, Discovery) || slices.ContainsFunc(d.Agents, func(a string) bool { return matches(patterns, a) }) ||
			slices.ContainsFunc(d.Nodes, func(n node.Spec) bool { return matches(patterns, n.ID) })
		if !known {
			return config.Wrong(key+side, "%v names no host: there are agent-0 and on, node-01 and on, and %s", patterns, Discovery)
		}
	}
	return nil
}

func (p PathSpec) conditions() link.Conditions {
	return link.Conditions{Delay: p.Delay.D(), Jitter: p.Jitter.D(), Loss: p.Loss, Cut: p.Cut}
}

func matches(patterns []string, host string) bool {
	return slices.ContainsFunc(patterns, func(p string) bool {
		ok, _ := path.Match(p, host)
		return ok
	})
}

// applies says whether what one host sends to another goes by the spec.
func (p PathSpec) applies(from, to string) bool {
	b := func(host string) bool {
		if len(p.B) == 0 {
			return !matches(p.A, host)
		}
		return matches(p.B, host)
	}
	return matches(p.A, from) && b(to) || p.Way != Forth && matches(p.A, to) && b(from)
}

// AffectedAgents are the agents, by number, that a trouble of their own or a worse way to a node or to discovery befalls.
func (day *Scenario) AffectedAgents() map[int]bool {
	out := map[int]bool{}
	for _, t := range day.AgentFaults {
		out[t.Agent] = true
	}
	for i, agent := range day.Agents {
		for _, p := range day.Spec.Fleet.Paths {
			hit := p.applies(agent, Discovery) || p.applies(Discovery, agent)
			for _, n := range day.Nodes {
				hit = hit || p.applies(agent, n.ID) || p.applies(n.ID, agent)
			}
			out[i] = out[i] || hit
		}
	}
	return out
}

// String says what it is, for a mark.
func (p PathSpec) String() string {
	what := "cut"
	if !p.Cut {
		what = fmt.Sprintf("%v more, loss %g", p.Delay.D(), p.Loss)
	}
	if p.Way == Forth {
		what += ", one way"
	}
	return fmt.Sprintf("%v to %v: %s", p.A, p.B, what)
}

// addConditions puts conditions on top of others.
func addConditions(c, more link.Conditions) link.Conditions {
	c.Delay, c.Jitter = c.Delay+more.Delay, c.Jitter+more.Jitter
	c.Loss = 1 - (1-c.Loss)*(1-more.Loss)
	c.Cut = c.Cut || more.Cut
	return c
}

// linkFault is a reason for which ways are worse than usual, while it lasts.
type linkFault struct {
	applies func(from, to string) bool
	added   link.Conditions
}

// addLinkFault makes ways worse until the function that it returns is called. Several reasons add up.
func (w *World) addLinkFault(s linkFault) (end func()) {
	w.mu.Lock()
	w.linkFaults = append(w.linkFaults, &s)
	mine := &s
	w.applyConditions(s.applies)
	w.mu.Unlock()
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.linkFaults = slices.DeleteFunc(w.linkFaults, func(x *linkFault) bool { return x == mine })
		w.applyConditions(s.applies)
		for agent, news := range w.heldNotifications { // what waits in a cut passes when it is over
			if !w.isCut(Discovery, agent) {
				for _, e := range news {
					w.recordNotified(agent, e, w.Now())
				}
				delete(w.heldNotifications, agent)
			}
		}
	}
}

// isCut says whether what one host sends to another does not pass at present. The lock is held.
func (w *World) isCut(from, to string) bool {
	return slices.ContainsFunc(w.linkFaults, func(s *linkFault) bool { return s.added.Cut && s.applies(from, to) })
}

// notified notes what discovery has written to an agent, unless a cut holds it up.
func (w *World) notified(agent string, e discovery.Entry, at time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isCut(Discovery, agent) {
		w.recordNotified(agent, e, at)
		return
	}
	if w.heldNotifications[agent] == nil {
		w.heldNotifications[agent] = map[string]discovery.Entry{}
	}
	w.heldNotifications[agent][e.ID] = e
}

// recordNotified notes what an agent has been told. The lock is held.
func (w *World) recordNotified(agent string, e discovery.Entry, at time.Duration) {
	w.Referee.Notified(agent, e.ID, e.State == discovery.Ready, at)
	if e.State != discovery.Removed {
		w.notifiedStarts[[2]string{agent, e.ID}] = e.StartedMS
	}
}

// unnotified says whether who sent a request had not been told of a node's present life, which began at a time of the world: nobody
// could know then that the node is cold. Callers that choose nodes by themselves go by the list itself.
func (w *World) unnotified(id, node string, started time.Duration) bool {
	agent := w.Referee.AgentOf(id)
	if agent == "" || started < 0 {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.notifiedStarts[[2]string{agent, node}] != w.Epoch.Add(started).UnixMilli()
}

// applyConditions gives the ways that something befalls their present conditions. The lock is held.
func (w *World) applyConditions(befalls func(from, to string) bool) {
	shape := func(a, b string, usual link.Conditions) {
		if !befalls(a, b) && !befalls(b, a) {
			return
		}
		forth, back := usual, usual
		for _, s := range w.linkFaults {
			if s.applies(a, b) {
				forth = addConditions(forth, s.added)
			}
			if s.applies(b, a) {
				back = addConditions(back, s.added)
			}
		}
		w.Network.SetConditions(a, b, forth, back)
	}
	for a, agent := range w.Scenario.Agents {
		for _, n := range w.Scenario.Nodes {
			shape(agent, n.ID, w.Scenario.LinkTo(w.Scenario.AgentZone(a), n.Zone))
		}
		shape(agent, Discovery, link.Conditions{})
		for b, other := range w.Scenario.Agents[:a] {
			shape(agent, other, w.Scenario.LinkTo(w.Scenario.AgentZone(a), w.Scenario.AgentZone(b)))
		}
	}
}

// injectLinkFault makes ways worse from a time of the world to another.
func (w *World) injectLinkFault(from, to time.Duration, who, text string, s linkFault) {
	if !w.waitUntil(from) {
		return
	}
	w.mark(from, to, who, text)
	end := w.addLinkFault(s)
	if w.waitUntil(to) {
		end()
	}
}
