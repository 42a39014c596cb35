package emulator

import (
	"slices"
	"time"
)

// Event describes a fault of a run for reports. Times are relative to the scenario's beginning.
type Event struct {
	At   time.Duration `json:"at_ns"`
	To   time.Duration `json:"to_ns"`
	Node string        `json:"node"` // the node, agent or zone that is hit, "discovery" or "network"
	Text string        `json:"text"`
}

// RecordEvent records a fault for Events. Callers use it for faults that they inject themselves, such as the kill of an agent
// process. from and to are times of the world.
func (w *World) RecordEvent(from, to time.Duration, host, text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, Event{from - w.startedAt, to - w.startedAt, host, text})
}

// Events returns the faults recorded so far, in the order in which they were recorded.
func (w *World) Events() []Event {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.events)
}

// recordError records an error for Err, which returns the first one.
func (w *World) recordError(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.err = err
	}
}

// Err returns the first error that prevented the world from injecting a fault, or nil.
func (w *World) Err() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}
