package experiment

import (
	"fmt"
	"sync"
	"time"

	"ryeweir/internal/emulator/callers"
	"ryeweir/internal/emulator/discovery"
	"ryeweir/internal/emulator/referee"
)

// route returns the id of the agent or node for a planned request, the client that is connected to it, and a function to call when the
// request ends. The client is nil if the chooser returned no node.
func (p *scenarioRun) route(c callers.PlannedRequest, tried []string) (string, *callers.Client, func(referee.Outcome)) {
	if p.choosers != nil {
		return p.choosers[c.Agent].route(c, tried)
	}
	return p.world.Scenario.Agents[c.Agent], p.clients[c.Agent], func(referee.Outcome) {}
}

// clientSideChooser routes the requests of one agent's callers directly to nodes.
type clientSideChooser struct {
	run       *scenarioRun
	agent     int
	seesTruth bool        // the chooser gets the true state of the nodes
	mu        *sync.Mutex // shared by all agents' choosers
	chooser   Chooser
	clients   map[string]*callers.Client // by address
	inFlight  map[string]int             // requests in flight, by node id
	addrs     []string                   // of nodes
	nodes     []View                     // the ready nodes of the endpoint list
	viewedAt  time.Time                  // when addrs and nodes were read
}

// viewInterval is how often choosers read the endpoint list. The oracle reads it, with the true state of the nodes, for each request.
const viewInterval = 50 * time.Millisecond

// startChoosers creates a chooser for each agent's callers. All agents share one oracle.
func (p *scenarioRun) startChoosers() error {
	var mu sync.Mutex // one for all agents, as they may share one oracle
	shared := NewChooser(p.variant.Chooser, p.world.Scenario.Seed)
	for i := range p.world.Scenario.Agents {
		chooser := shared
		if p.variant.Chooser != Oracle {
			chooser = NewChooser(p.variant.Chooser, p.world.Scenario.Seed+uint64(i))
		}
		c := &clientSideChooser{run: p, agent: i, seesTruth: p.variant.Chooser == Oracle, chooser: chooser, mu: &mu,
			clients: map[string]*callers.Client{}, inFlight: map[string]int{}}
		if c.chooser == nil {
			return fmt.Errorf("arm %s: unknown kind %q", p.variant.Name, p.variant.Chooser)
		}
		p.choosers = append(p.choosers, c)
	}
	return nil
}

// route is scenarioRun.route for the callers of one agent. It counts the request as in flight until the returned function is called.
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

// refresh reads the endpoint list and, for the oracle, the true state of the nodes. The list lags behind changes; the true state does not.
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
			t.OneWayDelay = c.run.world.Scenario.PathConditions(c.run.world.Scenario.AgentZone(c.agent), e.Zone).Delay
		}
		if e.State == discovery.Ready {
			c.addrs = append(c.addrs, e.Addr)
			c.nodes = append(c.nodes, View{ID: e.ID, TrueState: truth[e.ID]})
		}
	}
}
