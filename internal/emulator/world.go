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

// Settings that are the same in all scenarios.
const (
	ConnectionIdleTimeout = 10 * time.Second       // nodes close connections that have been idle for this long
	ConnectTimeout        = 100 * time.Millisecond // for establishing a connection
	HealthCheckTimeout    = 120 * time.Millisecond // for the answer to a health check

	drainSlack   = 100 * time.Millisecond // added to referee.Rules.TransitSlack for the delay in relays under load
	nodesPerCell = 8
)

// World runs a scenario's nodes, discovery and faults. It is safe for concurrent use.
type World struct {
	Scenario *Scenario
	Network  Network // owned by the World, which closes it in Close
	Epoch    time.Time
	Referee  *referee.Referee

	ctx            context.Context // cancelled by Close
	stop           context.CancelFunc
	goroutines     sync.WaitGroup // that inject faults
	discovery      *discovery.Server
	discoveryAddrs []string // by agent index
	backends       []*backend.Backend

	mu           sync.Mutex
	nodeAddrs    []string             // listen addresses, by node index
	agentAddrs   map[[2]string]string // by agent and listen address of a node: the address at which the agent reaches the node
	replacements int                  // restarts and replacements so far
	replacedIDs  []string             // by node index: the current ID of a replaced node, else ""
	startedAt    time.Duration        // when the scenario began
	events       []Event
	err          error // the first error that prevented a fault from being injected
	linkFaults   []*linkFault
	// heldNotifications are the entries that discovery wrote while its path to the agent was cut, by agent and node ID.
	heldNotifications map[string]map[string]discovery.Entry
	// notifiedStarts are the start times, in Unix milliseconds, of the incarnations that agents were last notified of, by agent and
	// node ID.
	notifiedStarts map[[2]string]int64
}

// Start starts a scenario's nodes and discovery. If rejectUnknown is set, nodes reject requests whose ID was not sent by a caller
// of this process. The world runs until Close is called or the context ends; Close must be called in any case.
func Start(ctx context.Context, scenario *Scenario, network Network, rejectUnknown bool) (*World, error) {
	rules := referee.DefaultRules()
	rules.TransitSlack += drainSlack
	rules.RetainFor = scenario.Spec.RetainFor.D()
	ctx, stop := context.WithCancel(ctx)
	w := &World{
		Scenario:          scenario,
		Network:           network,
		Epoch:             time.Now(),
		Referee:           referee.New(rules),
		ctx:               ctx,
		stop:              stop,
		agentAddrs:        map[[2]string]string{},
		heldNotifications: map[string]map[string]discovery.Entry{},
		notifiedStarts:    map[[2]string]int64{},
	}
	w.discovery = discovery.New(discovery.Config{
		Rate:         scenario.Spec.Discovery.Rate,
		RewriteEntry: w.rewriteEntry,
		OnNotified:   func(agent string, e discovery.Entry, at time.Time) { w.notified(agent, e, at.Sub(w.Epoch)) },
	})
	if err := w.start(rejectUnknown); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

func (w *World) start(rejectUnknown bool) error {
	for i, spec := range w.Scenario.Nodes {
		if err := w.startNode(i, spec, rejectUnknown); err != nil {
			return err
		}
	}
	for _, agent := range w.Scenario.Agents {
		if err := w.startDiscovery(agent); err != nil {
			return err
		}
	}
	return nil
}

// startNode starts a node, adds a path from each agent to it, and lists it in discovery.
func (w *World) startNode(i int, spec node.Spec, rejectUnknown bool) error {
	w.nodeAddrs, w.replacedIDs = append(w.nodeAddrs, ""), append(w.replacedIDs, "")
	b, err := backend.Start(w.ctx, backend.Config{
		Listen:           w.nodeListener(i, spec.ID),
		Epoch:            w.Epoch,
		Observer:         w.Referee,
		Unnotified:       w.unnotified,
		RejectUnknown:    rejectUnknown,
		IdleTimeout:      ConnectionIdleTimeout,
		LoadReportMode:   loadReportMode,
		LoadReportFields: loadReportFields(),
	}, spec, w.backendSeed(i))
	if err != nil {
		return err
	}
	w.backends = append(w.backends, b)
	w.nodeAddrs[i] = b.Addr()
	for a, agent := range w.Scenario.Agents {
		addr, err := w.Network.AddPath(agent, spec.ID, b.Addr(), w.Scenario.PathConditions(w.Scenario.AgentZone(a), spec.Zone))
		if err != nil {
			return fmt.Errorf("adding the path from %s to %s: %w", agent, spec.ID, err)
		}
		w.agentAddrs[[2]string{agent, b.Addr()}] = addr
	}
	w.discovery.Set(w.entry(i, spec, discovery.Ready), 0)
	return nil
}

// nodeListener returns a function that opens a node's listener: for the first incarnation at an address that the network chooses,
// for later ones at that same address.
func (w *World) nodeListener(i int, host string) func() (net.Listener, error) {
	first := true
	return func() (net.Listener, error) {
		if !first {
			return w.Network.ListenAgain(w.nodeAddrs[i])
		}
		first = false
		return w.Network.Listen(host)
	}
}

// startDiscovery serves discovery to an agent at an address of its own. Discovery recognizes the agent by that address.
func (w *World) startDiscovery(agent string) error {
	l, err := w.Network.Listen(Discovery)
	if err != nil {
		return err
	}
	addr, err := w.Network.AddPath(agent, Discovery, l.Addr().String(), link.Conditions{})
	if err != nil {
		return fmt.Errorf("adding the path from %s to discovery: %w", agent, err)
	}
	w.discoveryAddrs = append(w.discoveryAddrs, addr)
	w.discovery.Serve(l, agent)
	return nil
}

// backendSeed returns the seed of a node's incarnation, given a number that no other incarnation in the world has.
func (w *World) backendSeed(number int) uint64 { return w.Scenario.Seed*1000 + uint64(number) }

// rewriteEntry replaces the address in an entry by the one at which the agent reaches the node.
func (w *World) rewriteEntry(agent string, entry discovery.Entry) discovery.Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr, ok := w.agentAddrs[[2]string{agent, entry.Addr}]; ok {
		entry.Addr = addr
	}
	return entry
}

func (w *World) entry(i int, spec node.Spec, state string) discovery.Entry {
	entry := discovery.Entry{
		ID:     spec.ID,
		Addr:   w.nodeAddrs[i],
		Zone:   spec.Zone,
		Kind:   spec.Kind,
		Cell:   i / nodesPerCell,
		State:  state,
		Weight: 1,
	}
	if spec.Started >= 0 {
		entry.StartedMS = w.Epoch.Add(spec.Started).UnixMilli()
	}
	return entry
}

// DiscoveryAddr returns the address at which the agent with that index reaches discovery.
func (w *World) DiscoveryAddr(agent int) string { return w.discoveryAddrs[agent] }

// EndpointList returns the current endpoint list, with the addresses at which the agent with that index reaches the nodes.
func (w *World) EndpointList(agent int) discovery.List {
	list := w.discovery.Snapshot()
	for i, entry := range list.Servers {
		list.Servers[i] = w.rewriteEntry(w.Scenario.Agents[agent], entry)
	}
	return list
}

// Now returns the time of the world, which is the time since Epoch.
func (w *World) Now() time.Duration { return time.Since(w.Epoch) }

// waitUntil waits until a time of the world. It returns false if the world was closed first.
func (w *World) waitUntil(at time.Duration) bool {
	timer := time.NewTimer(at - w.Now())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-w.ctx.Done():
		return false
	}
}

// NodeStates returns the current state of each node.
func (w *World) NodeStates() []backend.State {
	states := make([]backend.State, len(w.backends))
	for i, b := range w.backends {
		states[i] = b.State()
	}
	return states
}

// DiscoveryFigures returns the counts of the requests to discovery.
func (w *World) DiscoveryFigures() discovery.Figures { return w.discovery.Figures() }

// RunCallers sends the planned requests along a route, waits for their ends and returns the results, with times of the scenario.
// InjectFaults must be called first. direct means that the route sends requests to nodes without an agent. done may be nil; it is
// called with each result as soon as the call has ended, with times of the world. Once the context ends, no further calls begin.
func (w *World) RunCallers(ctx context.Context, route callers.Route, direct bool, done func(referee.CallResult)) ([]referee.CallResult, callers.Figures) {
	w.mu.Lock()
	start := w.startedAt
	w.mu.Unlock()
	spec := w.Scenario.Spec
	plan := slices.Clone(w.Scenario.Plan)
	for i := range plan {
		plan[i].At += start
	}
	calls, figures := callers.Run(ctx, callers.Config{
		Plan:            plan,
		Classes:         w.Scenario.Classes,
		Tenants:         w.Scenario.Tenants,
		ClientProfileAt: func(at time.Duration) callers.ClientProfile { return w.Scenario.ClientProfileAt(at - start) },
		Route:           route,
		Referee:         w.Referee,
		Epoch:           w.Epoch,
		Direct:          direct,
		ResponseBytes:   spec.ResponseBytes,
		RequestBytes:    spec.RequestBytes,
		SlowFraction:    spec.Clients.SlowFraction,
		IDPrefix:        w.Scenario.Seed,
		Done:            done,
	})
	for i := range calls {
		calls[i].At -= start
	}
	return calls, figures
}

// Close stops the faults, discovery, the nodes and the network, in this order, and waits for them.
func (w *World) Close() {
	w.stop()
	w.goroutines.Wait()
	w.discovery.Close()
	for _, b := range w.backends {
		b.Close()
	}
	w.Network.Close()
}
