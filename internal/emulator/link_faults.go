package emulator

import (
	"slices"
	"time"

	"ryeweir/internal/emulator/link"
)

// linkFault impairs all directions of paths for which applies returns true.
type linkFault struct {
	applies func(from, to string) bool
	added   link.Conditions // in addition to those of the path itself
}

// addConditions adds the conditions of a fault to c: delays and jitters are summed, losses are independent, and a cut of either is a
// cut. Bandwidth and Resend remain those of c.
func addConditions(c, added link.Conditions) link.Conditions {
	c.Delay, c.Jitter = c.Delay+added.Delay, c.Jitter+added.Jitter
	c.Loss = 1 - (1-c.Loss)*(1-added.Loss)
	c.Cut = c.Cut || added.Cut
	return c
}

// injectLinkFault waits until from, impairs paths until to, and returns. Both are times of the world.
func (w *World) injectLinkFault(from, to time.Duration, host, text string, fault linkFault) {
	if !w.waitUntil(from) {
		return
	}
	w.RecordEvent(from, to, host, text)
	end := w.addLinkFault(fault)
	if w.waitUntil(to) {
		end()
	}
}

// addLinkFault impairs paths until the function that it returns is called. Simultaneous faults are combined by addConditions.
func (w *World) addLinkFault(fault linkFault) (end func()) {
	added := &fault
	w.mu.Lock()
	defer w.mu.Unlock()
	w.linkFaults = append(w.linkFaults, added)
	w.applyConditions(fault.applies)
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.linkFaults = slices.DeleteFunc(w.linkFaults, func(other *linkFault) bool { return other == added })
		w.applyConditions(fault.applies)
		w.releaseNotifications()
	}
}

// isCut reports whether the direction from one host to another is currently cut. w.mu is held.
func (w *World) isCut(from, to string) bool {
	return slices.ContainsFunc(w.linkFaults, func(fault *linkFault) bool { return fault.added.Cut && fault.applies(from, to) })
}

// applyConditions updates the conditions of all paths for which changed returns true in either direction. w.mu is held.
func (w *World) applyConditions(changed func(from, to string) bool) {
	apply := func(a, b string, own link.Conditions) {
		if changed(a, b) || changed(b, a) {
			w.Network.SetConditions(a, b, w.conditions(a, b, own), w.conditions(b, a, own))
		}
	}
	for i, agent := range w.Scenario.Agents {
		zone := w.Scenario.AgentZone(i)
		for _, node := range w.Scenario.Nodes {
			apply(agent, node.ID, w.Scenario.PathConditions(zone, node.Zone))
		}
		apply(agent, Discovery, link.Conditions{})
		for j, other := range w.Scenario.Agents[:i] {
			apply(agent, other, w.Scenario.PathConditions(zone, w.Scenario.AgentZone(j)))
		}
	}
}

// conditions combines a path's own conditions with those of all active faults. w.mu is held.
func (w *World) conditions(from, to string, own link.Conditions) link.Conditions {
	for _, fault := range w.linkFaults {
		if fault.applies(from, to) {
			own = addConditions(own, fault.added)
		}
	}
	return own
}
