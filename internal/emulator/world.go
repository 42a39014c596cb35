package emulator

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"ryeweir/internal/emulator/backend"
	"ryeweir/internal/emulator/callers"
	"ryeweir/internal/emulator/discovery"
	"ryeweir/internal/emulator/link"
	"ryeweir/internal/emulator/node"
	"ryeweir/internal/emulator/referee"
)

// What all days have alike.
const (
	ConnectionIdleTimeout = 10 * time.Second       // nodes close connections that are idle for so long
	ConnectTimeout        = 100 * time.Millisecond // a connection that is not up by then has failed
	HealthCheckTimeout    = 120 * time.Millisecond // a probe that has no answer by then has failed
	drainSlack            = 100 * time.Millisecond // for the way through relays under load, in the rule on drains
)

// Dial opens a connection, as net.Dialer's DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Network is the network that a world stands on: the machine's loopback, or one in memory.
type Network interface {
	// Listen listens for a host; addresses are the network's own choice.
	Listen(host string) (net.Listener, error)
	// Again listens at an address that has been in use before.
	ListenAgain(addr string) (net.Listener, error)
	// Path is the address at which an agent reaches a node, under conditions that Shape changes later.
	AddPath(agent, node, addr string, c link.Conditions) (string, error)
	// Shape changes the conditions from an agent to a node, to discovery or to another agent, and back.
	SetConditions(agent, other string, forth, back link.Conditions)
	// Down says that a node's process is down, or up again: connections to it are refused.
	SetDown(node string, on bool) error
	// Dialer returns the dial of a host.
	Dialer(host string) Dial
	// Close gives back what the paths hold.
	Close()
}

// World is a day's emulator, running.
type World struct {
	Scenario *Scenario
	Network  Network
	Epoch    time.Time
	Referee  *referee.Referee

	ctx            context.Context
	stop           context.CancelFunc
	discovery      *discovery.Server
	discoveryAddrs []string
	backends       []*backend.Backend
	goroutines     sync.WaitGroup

	mu           sync.Mutex
	nodeAddrs    []string             // where the nodes listen
	agentAddrs   map[[2]string]string // agent and a node's address: where the agent reaches it
	replacements int
	replacedIDs  []string      // of the nodes that were replaced, "" for the others
	startedAt    time.Duration // when the day began
	events       []Event
	err          error
	// reasons for which ways are worse than usual at present
	linkFaults        []*linkFault
	heldNotifications map[string]map[string]discovery.Entry // by agent and node: what discovery wrote into a cut
	notifiedStarts    map[[2]string]int64                   // by agent and node: the start of the node's life that the agent was told of last
}

// Event is something that happened, for reports.
type Event struct {
	At   time.Duration `json:"at_ns"`
	To   time.Duration `json:"to_ns"`
	Node string        `json:"node"`
	Text string        `json:"text"`
}

// Start starts a day's nodes and discovery. strict lets nodes turn away ids that no caller of this process sent.
func Start(ctx context.Context, day *Scenario, on Network, strict bool) (*World, error) {
	rules := referee.DefaultRules()
	rules.TransitSlack += drainSlack
	rules.RetainFor = day.Spec.RetainFor.D()
	ctx, stop := context.WithCancel(ctx)
	w := &World{Scenario: day, Network: on, Epoch: time.Now(), Referee: referee.New(rules), ctx: ctx, stop: stop, agentAddrs: map[[2]string]string{},
		heldNotifications: map[string]map[string]discovery.Entry{}, notifiedStarts: map[[2]string]int64{}}
	w.discovery = discovery.New(discovery.Config{Rate: day.Spec.Discovery.Rate, RewriteEntry: w.rewrite,
		OnNotified: func(agent string, e discovery.Entry, at time.Time) { w.notified(agent, e, at.Sub(w.Epoch)) }})
	if err := w.start(strict); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

func (w *World) start(strict bool) error {
	for i, spec := range w.Scenario.Nodes {
		first := true
		host := spec.ID
		w.nodeAddrs, w.replacedIDs = append(w.nodeAddrs, ""), append(w.replacedIDs, "")
		cfg := backend.Config{Epoch: w.Epoch, Observer: w.Referee, Unnotified: w.unnotified, RejectUnknown: strict, IdleTimeout: ConnectionIdleTimeout, LoadReportMode: "pull", LoadReportFields: []string{"qps", "util"}}
		cfg.Listen = func() (net.Listener, error) {
			if !first {
				return w.Network.ListenAgain(w.nodeAddrs[i])
			}
			first = false
			return w.Network.Listen(host)
		}
		b, err := backend.Start(w.ctx, cfg, spec, w.Scenario.Seed*1000+uint64(i))
		if err != nil {
			return err
		}
		w.backends = append(w.backends, b)
		w.nodeAddrs[i] = b.Addr()
		for a, agent := range w.Scenario.Agents {
			at, err := w.Network.AddPath(agent, host, b.Addr(), w.Scenario.LinkTo(w.Scenario.AgentZone(a), spec.Zone))
			if err != nil {
				return fmt.Errorf("the path from %s to %s: %w", agent, spec.ID, err)
			}
			w.agentAddrs[[2]string{agent, b.Addr()}] = at
		}
		w.discovery.Set(w.entry(i, spec, discovery.Ready), 0)
	}
	for _, agent := range w.Scenario.Agents {
		l, err := w.Network.Listen(Discovery)
		if err != nil {
			return err
		}
		at, err := w.Network.AddPath(agent, Discovery, l.Addr().String(), link.Conditions{})
		if err != nil {
			return fmt.Errorf("the path from %s to discovery: %w", agent, err)
		}
		w.discoveryAddrs = append(w.discoveryAddrs, at)
		w.discovery.Serve(l, agent)
	}
	return nil
}

// rewrite gives an agent the address at which it reaches a node.
func (w *World) rewrite(agent string, e discovery.Entry) discovery.Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at, ok := w.agentAddrs[[2]string{agent, e.Addr}]; ok {
		e.Addr = at
	}
	return e
}

func (w *World) entry(i int, s node.Spec, state string) discovery.Entry {
	e := discovery.Entry{ID: s.ID, Addr: w.nodeAddrs[i], Zone: s.Zone, Kind: s.Kind, Cell: i / 8, State: state, Weight: 1}
	if s.Started >= 0 {
		e.StartedMS = w.Epoch.Add(s.Started).UnixMilli()
	}
	return e
}

// DiscoveryAddr is where an agent finds discovery.
func (w *World) DiscoveryAddr(agent int) string { return w.discoveryAddrs[agent] }

// EndpointList is the list as it stands for an agent.
func (w *World) EndpointList(agent int) discovery.List {
	l := w.discovery.Snapshot()
	for i, e := range l.Servers {
		l.Servers[i] = w.rewrite(w.Scenario.Agents[agent], e)
	}
	return l
}

// Now is the time since the day began.
func (w *World) Now() time.Duration { return time.Since(w.Epoch) }

// InjectFaults begins the day: it brings the troubles, each at its time, until they are over or the world is closed. Agents should
// be ready by then.
func (w *World) InjectFaults() {
	begin := w.Now()
	w.mu.Lock()
	w.startedAt = begin
	w.mu.Unlock()
	for _, p := range w.Scenario.Faults {
		p.From, p.To = p.From+begin, p.To+begin
		w.goroutines.Go(func() { w.injectFault(p) })
	}
	for _, c := range w.Scenario.Spec.Fleet.Partitions {
		zone := w.zones()
		w.goroutines.Go(func() {
			w.injectLinkFault(begin+c.From.D(), begin+c.To.D(), c.Zone, "cut off", linkFault{func(from, to string) bool {
				return zone[from] != zone[to] && (zone[from] == c.Zone || zone[to] == c.Zone) && zone[from] != "" && zone[to] != ""
			}, link.Conditions{Cut: true}})
		})
	}
	for _, p := range w.Scenario.Spec.Fleet.Paths {
		w.goroutines.Go(func() {
			w.injectLinkFault(begin+p.From.D(), begin+p.To.D(), "network", p.String(), linkFault{p.applies, p.conditions()})
		})
	}
	for _, o := range w.Scenario.Spec.Outages {
		w.goroutines.Go(func() {
			if !w.waitUntil(begin + o.From.D()) {
				return
			}
			w.mark(begin+o.From.D(), begin+o.To.D(), "discovery", "outage")
			w.discovery.SetOutage(true)
			if w.waitUntil(begin + o.To.D()) {
				w.discovery.SetOutage(false)
			}
		})
	}
}

// waitUntil waits for a time of the world; false says that the world has closed.
func (w *World) waitUntil(at time.Duration) bool {
	t := time.NewTimer(at - w.Now())
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-w.ctx.Done():
		return false
	}
}

// mark notes what begins, by the time of the day.
func (w *World) mark(from, to time.Duration, node, text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, Event{from - w.startedAt, to - w.startedAt, node, text})
}

// RecordEvent marks what befalls an agent or a node from outside the world, such as a process that the rig kills, for reports.
func (w *World) RecordEvent(from, to time.Duration, who, text string) { w.mark(from, to, who, text) }

// Events are the troubles that have begun, in the order of their beginning.
func (w *World) Events() []Event {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.events)
}

func (w *World) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.err = err
	}
}

// Err is what kept the world from playing its day.
func (w *World) Err() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// injectFault plays a trouble.
func (w *World) injectFault(p NodeFault) {
	b, spec := w.backends[p.Node], w.Scenario.Nodes[p.Node]
	notice := w.Scenario.Spec.Discovery.RemovalDelay.D()
	switch p.Kind {
	case node.Drain, node.Restart, node.Replace, node.Blackhole:
	default:
		b.AddFault(p.Fault)
	}
	if !w.waitUntil(p.From) {
		return
	}
	w.mark(p.From, p.To, spec.ID, string(p.Kind))
	switch p.Kind {
	case node.Drain: // told at once where the list is quick; ends in its death
		b.AddFault(p.Fault)
		w.discovery.Set(w.entry(p.Node, spec, discovery.Terminating), notice+w.listDelay())
		if w.waitUntil(p.To) {
			w.kill(p.Node)
			w.discovery.Set(w.entry(p.Node, spec, discovery.Removed), notice+w.listDelay())
		}
	case node.Restart, node.Replace:
		w.restart(p.Node, p.To, p.Kind == node.Replace)
	case node.Blackhole:
		b.AddFault(p.Fault)
		end := w.addLinkFault(linkFault{func(from, to string) bool { return from == spec.ID || to == spec.ID }, link.Conditions{Cut: true}})
		if w.waitUntil(p.To) {
			end()
		}
	}
}

// restart ends a node's process and starts it again, cold, at a time of the world: as a new node at the same address, or as itself.
func (w *World) restart(i int, back time.Duration, renamed bool) {
	spec, notice, add := w.Scenario.Nodes[i], w.Scenario.Spec.Discovery.RemovalDelay.D(), w.Scenario.Spec.Discovery.AdditionDelay.D()
	w.mu.Lock()
	if id := w.replacedIDs[i]; id != "" {
		spec.ID = id
	}
	w.mu.Unlock()
	w.kill(i)
	if renamed || notice < back-w.Now()+add {
		w.discovery.Set(w.entry(i, spec, discovery.Removed), notice+w.listDelay())
	}
	if !w.waitUntil(back) {
		return
	}
	w.mu.Lock()
	w.replacements++
	if renamed {
		spec.ID = fmt.Sprintf("%s-%d", w.Scenario.Nodes[i].ID, w.replacements)
		w.replacedIDs[i] = spec.ID
	}
	w.mu.Unlock()
	spec.Started = w.Now()
	if err := w.backends[i].Restart(spec, w.Scenario.Seed*1000+uint64(len(w.backends)+i)); err != nil {
		w.fail(err)
		return
	}
	if err := w.Network.SetDown(w.Scenario.Nodes[i].ID, false); err != nil {
		w.fail(err)
		return
	}
	w.discovery.Set(w.entry(i, spec, discovery.Ready), add+w.listDelay())
}

// Replace puts a new node in the place of one, beside the day's troubles, and returns when it has started. A node that a trouble
// of the day ends must not be replaced meanwhile.
func (w *World) Replace(i int, down time.Duration) { w.restart(i, w.Now()+down, true) }

// listDelay is how much later than usual the list learns of what happens now.
func (w *World) listDelay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Scenario.ListDelay(w.Now() - w.startedAt)
}

// zones are those of agents and nodes, by name.
func (w *World) zones() map[string]string {
	out := map[string]string{}
	for a, agent := range w.Scenario.Agents {
		out[agent] = w.Scenario.AgentZone(a)
	}
	for _, n := range w.Scenario.Nodes {
		out[n.ID] = n.Zone
	}
	return out
}

// kill ends a node's process.
func (w *World) kill(i int) {
	if err := w.Network.SetDown(w.Scenario.Nodes[i].ID, true); err != nil {
		w.fail(err)
	}
	w.backends[i].Kill()
}

// NodeStates is what the nodes are at present.
func (w *World) NodeStates() []backend.State {
	out := make([]backend.State, len(w.backends))
	for i, b := range w.backends {
		out[i] = b.State()
	}
	return out
}

// DiscoveryFigures counts discovery's calls.
func (w *World) DiscoveryFigures() discovery.Figures { return w.discovery.Figures() }

// RunCallers sends what the day has planned by a route, and returns what came of it, by the time of the day. Play comes first.
func (w *World) RunCallers(ctx context.Context, route callers.Route, direct bool, done func(referee.CallResult)) ([]referee.CallResult, callers.Figures) {
	w.mu.Lock()
	start := w.startedAt
	w.mu.Unlock()
	plan := slices.Clone(w.Scenario.Plan)
	for i := range plan {
		plan[i].At += start
	}
	calls, figures := callers.Run(ctx, callers.Config{Plan: plan, Classes: w.Scenario.Classes, Tenants: w.Scenario.Tenants, ClientProfileAt: func(at time.Duration) callers.ClientProfile { return w.Scenario.ClientProfileAt(at - start) },
		Route: route, Referee: w.Referee, Epoch: w.Epoch, Direct: direct, ResponseBytes: w.Scenario.Spec.ResponseBytes, RequestBytes: w.Scenario.Spec.RequestBytes,
		SlowFraction: w.Scenario.Spec.Clients.SlowFraction, IDPrefix: w.Scenario.Seed, Done: done})
	for i := range calls {
		calls[i].At -= start
	}
	return calls, figures
}

// Close ends the world and waits for all of it.
func (w *World) Close() {
	w.stop()
	w.goroutines.Wait()
	w.discovery.Close()
	for _, b := range w.backends {
		b.Close()
	}
	w.Network.Close()
}
