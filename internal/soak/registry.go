package soak

import (
	"sync"
	"time"
)

// States of a server, as discovery names them.
const (
	ready       = "Ready"
	terminating = "Terminating"
	removed     = "Gone"
)

// entry is one server in the list that discovery serves.
type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`

	version int64 // of the list, when the entry last changed
}

// notification records that discovery notified an agent whether a server accepts new requests.
type notification struct {
	agent      int // number of the agent
	server     string
	startedMS  int64 // start of the server's process, as its entry states it, in Unix milliseconds
	acceptsNew bool
	at         time.Duration // when the agent was notified, on the machine's monotonic clock
}

// entryChange records that a server's entry was added to the list or replaced.
type entryChange struct {
	server     string
	startedMS  int64         // start of the server's process, as its entry states it, in Unix milliseconds
	acceptsNew bool          // whether the new entry's state is ready
	at         time.Duration // when the entry changed, on the machine's monotonic clock
}

// registry is the server list that all discovery services of a run serve. It records its changes and which agent was notified of what.
type registry struct {
	mu            sync.Mutex
	version       int64
	entries       map[string]*entry
	order         []string      // ids of the servers, in the order in which they were first added; lists follow it
	nextChange    chan struct{} // closed and replaced at each change of an entry
	notifications []notification
	entryChanges  []entryChange // in the order of their times
}

func newRegistry() *registry {
	return &registry{entries: map[string]*entry{}, nextChange: make(chan struct{})}
}

// set adds or replaces a server's entry, and wakes the watches.
func (r *registry) set(e entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	e.version = r.version
	if r.entries[e.ID] == nil {
		r.order = append(r.order, e.ID)
	}
	r.entries[e.ID] = &e
	r.entryChanges = append(r.entryChanges, entryChange{e.ID, e.StartedMS, e.State == ready, monotonic()})
	close(r.nextChange)
	r.nextChange = make(chan struct{})
}

// get returns a server's entry, or an empty one if the server is not in the list.
func (r *registry) get(id string) entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[id]; e != nil {
		return *e
	}
	return entry{}
}

// list returns what discovery sends to an agent: all entries if since is negative, or those that have changed after the version since.
// All entries are those of the servers that are not removed; withoutDraining also leaves out each server in any other state than ready. It
// does not affect the changed entries, which include removed servers. addr gives the address at which the agent reaches a server. nextChange
// is closed at the next change of the list.
func (r *registry) list(since int64, addr func(entry) string, withoutDraining bool) (version int64, full bool, entries []entry, nextChange <-chan struct{}) {
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
	return r.version, full, entries, r.nextChange
}

// recordNotifications records that an agent was notified of entries. By a full list, it was also notified that the servers that the list
// omits accept no new requests.
func (r *registry) recordNotifications(agent int, full bool, entries []entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := monotonic()
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.ID] = true
		r.notifications = append(r.notifications, notification{agent, e.ID, e.StartedMS, e.State == ready, now})
	}
	if full {
		for _, id := range r.order {
			if !listed[id] {
				r.notifications = append(r.notifications, notification{agent, id, r.entries[id].StartedMS, false, now})
			}
		}
	}
}
