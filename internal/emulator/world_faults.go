package emulator

import (
	"fmt"
	"time"

	"ryeweir/internal/emulator/discovery"
	"ryeweir/internal/emulator/link"
	"ryeweir/internal/emulator/node"
)

// InjectFaults begins the scenario and returns at once. Goroutines inject each fault at its time, until all are over or the world
// is closed. The agents should be ready before the call.
func (w *World) InjectFaults() {
	begin := w.Now()
	w.mu.Lock()
	w.startedAt = begin
	w.mu.Unlock()
	for _, fault := range w.Scenario.Faults {
		fault.From, fault.To = fault.From+begin, fault.To+begin
		w.goroutines.Go(func() { w.injectFault(fault) })
	}
	fleet := w.Scenario.Spec.Fleet
	for _, p := range fleet.Partitions {
		fault := w.partition(p.Zone)
		w.goroutines.Go(func() { w.injectLinkFault(begin+p.From.D(), begin+p.To.D(), p.Zone, "cut off", fault) })
	}
	for _, p := range fleet.Paths {
		fault := linkFault{p.applies, p.conditions()}
		w.goroutines.Go(func() { w.injectLinkFault(begin+p.From.D(), begin+p.To.D(), "network", p.String(), fault) })
	}
	for _, outage := range w.Scenario.Spec.Outages {
		w.goroutines.Go(func() { w.injectOutage(begin+outage.From.D(), begin+outage.To.D()) })
	}
}

// partition returns a fault that cuts the paths between a zone and the others. Discovery belongs to no zone and stays reachable.
func (w *World) partition(zone string) linkFault {
	zones := w.zones()
	applies := func(from, to string) bool {
		a, b := zones[from], zones[to]
		return a != b && (a == zone || b == zone) && a != "" && b != ""
	}
	return linkFault{applies, link.Conditions{Cut: true}}
}

// zones returns the zone of each agent and node, by name.
func (w *World) zones() map[string]string {
	zones := map[string]string{}
	for i, agent := range w.Scenario.Agents {
		zones[agent] = w.Scenario.AgentZone(i)
	}
	for _, node := range w.Scenario.Nodes {
		zones[node.ID] = node.Zone
	}
	return zones
}

func (w *World) injectOutage(from, to time.Duration) {
	if !w.waitUntil(from) {
		return
	}
	w.RecordEvent(from, to, Discovery, "outage")
	w.discovery.SetOutage(true)
	if w.waitUntil(to) {
		w.discovery.SetOutage(false)
	}
}

// injectFault injects a fault of a node. Faults that the node's model implements on its own are added to it at once, since the
// model starts and ends them by their times.
func (w *World) injectFault(fault NodeFault) {
	spec := w.Scenario.Nodes[fault.Node]
	switch fault.Kind {
	case node.Drain, node.Restart, node.Replace, node.Blackhole:
	default:
		w.backends[fault.Node].AddFault(fault.Fault)
	}
	if !w.waitUntil(fault.From) {
		return
	}
	w.RecordEvent(fault.From, fault.To, spec.ID, string(fault.Kind))
	switch fault.Kind {
	case node.Drain:
		w.drain(fault)
	case node.Restart, node.Replace:
		w.restart(fault.Node, fault.To, fault.Kind == node.Replace)
	case node.Blackhole:
		w.blackhole(fault)
	}
}

// drain makes a node reject new requests at once. Discovery lists it as terminating after the removal delay. When the fault ends,
// so does the process.
func (w *World) drain(fault NodeFault) {
	spec, delay := w.Scenario.Nodes[fault.Node], w.Scenario.Spec.Discovery.RemovalDelay.D()
	w.backends[fault.Node].AddFault(fault.Fault)
	w.discovery.Set(w.entry(fault.Node, spec, discovery.Terminating), delay+w.listDelay())
	if w.waitUntil(fault.To) {
		w.kill(fault.Node)
		w.discovery.Set(w.entry(fault.Node, spec, discovery.Removed), delay+w.listDelay())
	}
}

// blackhole makes a node unresponsive and cuts all its paths for the duration of the fault.
func (w *World) blackhole(fault NodeFault) {
	id := w.Scenario.Nodes[fault.Node].ID
	w.backends[fault.Node].AddFault(fault.Fault)
	end := w.addLinkFault(linkFault{func(from, to string) bool { return from == id || to == id }, link.Conditions{Cut: true}})
	if w.waitUntil(fault.To) {
		end()
	}
}

// Replace ends a node's process, starts a node with a new ID at its address after the duration down, and then returns. No fault of
// the scenario may end the node's process in the meantime.
func (w *World) Replace(i int, down time.Duration) { w.restart(i, w.Now()+down, true) }

// restart ends a node's process and starts it again, in slow start and at the same address, at a time of the world (startAt). If
// replace is set, the node gets a new ID. Otherwise discovery does not list the node as removed if its start would show before its
// removal.
func (w *World) restart(i int, startAt time.Duration, replace bool) {
	spec, delays := w.Scenario.Nodes[i], w.Scenario.Spec.Discovery
	w.mu.Lock()
	if id := w.replacedIDs[i]; id != "" {
		spec.ID = id
	}
	w.mu.Unlock()
	w.kill(i)
	if replace || delays.RemovalDelay.D() < startAt-w.Now()+delays.AdditionDelay.D() {
		w.discovery.Set(w.entry(i, spec, discovery.Removed), delays.RemovalDelay.D()+w.listDelay())
	}
	if !w.waitUntil(startAt) {
		return
	}
	if id := w.nextID(i, replace); replace {
		spec.ID = id
	}
	spec.Started = w.Now()
	if err := w.backends[i].Restart(spec, w.backendSeed(len(w.backends)+i)); err != nil {
		w.recordError(err)
		return
	}
	if err := w.Network.SetDown(w.Scenario.Nodes[i].ID, false); err != nil {
		w.recordError(err)
		return
	}
	w.discovery.Set(w.entry(i, spec, discovery.Ready), delays.AdditionDelay.D()+w.listDelay())
}

// nextID counts an incarnation. If replace is set, it sets and returns the node's new ID; otherwise it returns "".
func (w *World) nextID(i int, replace bool) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.replacements++
	if !replace {
		return ""
	}
	w.replacedIDs[i] = fmt.Sprintf("%s-%d", w.Scenario.Nodes[i].ID, w.replacements)
	return w.replacedIDs[i]
}

// kill ends a node's process.
func (w *World) kill(i int) {
	if err := w.Network.SetDown(w.Scenario.Nodes[i].ID, true); err != nil {
		w.recordError(err)
	}
	w.backends[i].Kill()
}

// listDelay returns the extra delay with which the endpoint list shows a change that happens now.
func (w *World) listDelay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Scenario.ListDelay(w.Now() - w.startedAt)
}
