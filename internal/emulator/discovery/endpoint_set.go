package discovery

import (
	"maps"
	"slices"
)

// maxChanges is the number of retained changes. A watch for an older version gets the full list.
const maxChanges = 4096

// endpointSet is the endpoint list with its latest changes. Each change increments the version. It is guarded by the server's lock.
type endpointSet struct {
	version int
	entries map[string]Entry    // by ID
	order   []string            // IDs, in the order in which they were added
	removed map[string]struct{} // IDs that were in the list and are not any more
	changes []change            // oldest first
	changed chan struct{}       // closed and replaced at each change
}

type change struct {
	version int
	entry   Entry
}

func newEndpointSet() endpointSet {
	return endpointSet{entries: map[string]Entry{}, removed: map[string]struct{}{}, changed: make(chan struct{})}
}

// set adds, changes or removes an entry and wakes all watches.
func (s *endpointSet) set(e Entry) {
	if e.State == Removed {
		delete(s.entries, e.ID)
		s.removed[e.ID] = struct{}{}
		s.order = slices.DeleteFunc(s.order, func(id string) bool { return id == e.ID })
	} else {
		if _, ok := s.entries[e.ID]; !ok {
			s.order = append(s.order, e.ID)
		}
		s.entries[e.ID] = e
		delete(s.removed, e.ID)
	}
	s.version++
	s.changes = append(s.changes, change{s.version, e})
	if len(s.changes) > maxChanges {
		s.changes = s.changes[len(s.changes)-maxChanges:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *endpointSet) fullList() List {
	list := List{Version: s.version, Full: true, Servers: []Entry{}}
	for _, id := range s.order {
		list.Servers = append(list.Servers, s.entries[id])
	}
	return list
}

// changesSince returns the entries that have changed after a version, each once and in its current state. It returns the full list
// if the version is older than the retained changes, or newer than the current version, as after a restart of the registry.
func (s *endpointSet) changesSince(version int) List {
	tooOld := len(s.changes) > 0 && version < s.changes[0].version-1
	if version > s.version || tooOld {
		return s.fullList()
	}
	list := List{Version: s.version, Servers: []Entry{}}
	for _, change := range s.changes {
		if change.version <= version {
			continue
		}
		list.Servers = slices.DeleteFunc(list.Servers, func(e Entry) bool { return e.ID == change.entry.ID })
		list.Servers = append(list.Servers, change.entry)
	}
	return list
}

// removedIDs returns the IDs that were in the list and are not any more.
func (s *endpointSet) removedIDs() []string { return slices.Collect(maps.Keys(s.removed)) }
