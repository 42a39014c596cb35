package emulator

import (
	"slices"
	"time"
)

// Event is a fault of a run, for reports. Times count from the scenario's beginning.
type Event struct {
	At   time.Duration `json:"at_ns"`
	To   time.Duration `json:"to_ns"`
	Node string        `json:"node"` // or an agent, or "discovery"
	Text string        `json:"text"`
}

// RecordEvent records a fault of a node or an agent, also one from outside the world, such as a process that a rig kills. from
// and to are times of the world.
func (w *World) RecordEvent(from, to time.Duration, host, text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, Event{from - w.startedAt, to - w.startedAt, host, text})
}

// Events returns the faults that have begun so far, in that order.
func (w *World) Events() []Event {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.events)
}

// fail keeps the first error for Err.
func (w *World) fail(err error) {
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
