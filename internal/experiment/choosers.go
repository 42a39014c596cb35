package experiment

import (
	"fmt"
	"sync"
	"time"

	"ryeweir/internal/emulator/callers"
	"ryeweir/internal/emulator/discovery"
	"ryeweir/internal/emulator/referee"
)

// route returns where a planned request goes: the id of the agent or node, the client of its address, and what to call at its end. The
// client is nil where the chooser chose no node.
func (p *scenarioRun) route(c callers.PlannedRequest, tried []string) (string, *callers.Client, func(referee.Outcome)) {
	if p.choosers != nil {
		return p.choosers[c.Agent].route(c, tried)
	}
	return p.world.Scenario.Agents[c.Agent], p.clients[c.Agent], func(referee.Outcome) {}
}

// clientSideChooser route the calls of one agent's callers, who choose nodes by themselves.
type clientSideChooser struct {
	run       *scenarioRun
	agent     int
	seesTruth bool // the true state
	mu        *sync.Mutex
	chooser   Chooser
	clients   map[string]*callers.Client // by address
	inFlight  map[string]int             // in flight, by id
	addrs     []string
	nodes     []View
	viewedAt  time.Time
}

// viewInterval is how often the endpoint list is read; the oracle reads it, and the true state, for each request.
const viewInterval = 50 * time.Millisecond

// startChoosers makes a chooser for each agent's callers. The oracle is one for all, behind one mutex.
func (p *scenarioRun) startChoosers() error {
	var mu sync.Mutex // of the one who sees all there is only one
	shared := NewChooser(p.variant.Chooser, p.world.Scenario.Seed)
	for i := range p.world.Scenario.Agents {
		chooser := shared
		if p.variant.Chooser != Oracle {
			chooser = NewChooser(p.variant.Chooser, p.world.Scenario.Seed+uint64(i))
		}
		c := &clientSideChooser{run: p, agent: i, seesTruth: p.variant.Chooser == Oracle, chooser: chooser, mu: &mu,
			clients: map[string]*callers.Client{}, inFlight: map[string]int{}}
		if c.chooser == nil {
			return fmt.Errorf("arm %s: %q is no way to choose", p.variant.Name, p.variant.Chooser)
		}
		p.choosers = append(p.choosers, c)
	}
	return nil
}

// route does the same by the chooser, and counts the request as in flight until its end.
func (c *clientSideChooser) route(planned callers.PlannedRequest, tried []string) (string, *callers.Client, func(referee.Outcome)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seesTruth || time.Since(c.viewedAt) > viewInterval {
		c.refresh()
	}
	for index := range c.nodes {
		c.nodes[index].InFlight = c.inFlight[c.nodes[index].ID]
	}
	index := c.chooser.Choose(c.nodes, planned, tried)
	if index < 0 {
		return "", nil, nil
	}
	nodeID, addr := c.nodes[index].ID, c.addrs[index]
	client := c.clients[addr]
	if client == nil {
		client = &callers.Client{Addr: addr, Dial: c.run.world.Network.Dialer("")}
		c.clients[addr] = client
		c.run.mu.Lock()
		c.run.clients = append(c.run.clients, client)
		c.run.mu.Unlock()
	}
	c.inFlight[nodeID]++
	return nodeID, client, func(referee.Outcome) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.inFlight[nodeID]--
	}
}

// refresh reads the endpoint list, which lags, and for the oracle the true state, which does not.
func (c *clientSideChooser) refresh() {
	truth := map[string]*TrueState{}
	if c.seesTruth {
		for _, s := range c.run.world.NodeStates() {
			if s.Up {
				truth[s.ID] = &TrueState{Capacity: s.Capacity, Cores: s.Cores, Backlog: s.Backlog, HasCapacity: s.HasCapacity, FailureFraction: s.FailureFraction}
			}
		}
	}
	c.addrs, c.nodes, c.viewedAt = c.addrs[:0], c.nodes[:0], time.Now()
	for _, e := range c.run.world.EndpointList(c.agent).Servers {
		if t := truth[e.ID]; t != nil {
			t.OneWayDelay = c.run.world.Scenario.LinkTo(c.run.world.Scenario.AgentZone(c.agent), e.Zone).Delay
		}
		if e.State == discovery.Ready {
			c.addrs = append(c.addrs, e.Addr)
			c.nodes = append(c.nodes, View{ID: e.ID, TrueState: truth[e.ID]})
		}
	}
}
