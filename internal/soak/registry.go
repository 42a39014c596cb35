package soak

import (
	"sync"
	"time"
)

// States of a server, in discovery's words.
const (
	ready       = "Ready"
	terminating = "Terminating"
	removed     = "Gone"
)

// entry is a server of the list.
type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`

	version int64 // that changed it
}

// notice is when an agent was notified that a server takes nothing new, or takes it again.
type notice struct {
	agent      int
	server     string
	startedMS  int64
	acceptsNew bool
	at         time.Duration
}

// registry is the endpoint list that all discovery services of a run serve. It notes who was notified of what.
type registry struct {
	mu      sync.Mutex
	version int64
	entries map[string]*entry
	order   []string
	changed chan struct{} // closed with each change
	notices []notice
	changes []notice // of the list itself, of no agent
}

func newRegistry() *registry {
	return &registry{entries: map[string]*entry{}, changed: make(chan struct{})}
}

// set changes a server's entry.
func (r *registry) set(e entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	e.version = r.version
	if r.entries[e.ID] == nil {
		r.order = append(r.order, e.ID)
	}
	r.entries[e.ID] = &e
	r.changes = append(r.changes, notice{-1, e.ID, e.StartedMS, e.State == ready, monotonic()})
	close(r.changed)
	r.changed = make(chan struct{})
}

// get is a server's entry.
func (r *registry) get(id string) entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[id]; e != nil {
		return *e
	}
	return entry{}
}

// list returns what an agent is sent: all entries, or those that have changed since a version. The address of each server is the agent's own.
func (r *registry) list(since int64, addr func(entry) string, withoutDraining bool) (version int64, full bool, entries []entry, more <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	full = since < 0
	for _, id := range r.order {
		e := *r.entries[id]
		if full && (e.State == removed || withoutDraining && e.State != ready) || !full && e.version <= since {
			continue
		}
		e.Addr = addr(e)
		entries = append(entries, e)
	}
	return r.version, full, entries, r.changed
}

// recordNotified notes that an agent was notified of entries, all of the list where full.
func (r *registry) recordNotified(agent int, full bool, entries []entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := monotonic()
	named := map[string]bool{}
	for _, e := range entries {
		named[e.ID] = true
		r.notices = append(r.notices, notice{agent, e.ID, e.StartedMS, e.State == ready, now})
	}
	if full {
		for _, id := range r.order {
			if !named[id] {
				r.notices = append(r.notices, notice{agent, id, r.entries[id].StartedMS, false, now})
			}
		}
	}
}
