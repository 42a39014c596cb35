package discovery

import (
	"maps"
	"slices"
)

// maxChanges is how many changes a watch can go back by; beyond it a watch gets the full list.
const maxChanges = 4096

// endpointSet is the list with its latest changes. Each change raises the version by one. It is guarded by the server's lock.
type endpointSet struct {
	version int
	entries map[string]Entry
	order   []string            // ids, in the order in which they were added
	removed map[string]struct{} // ids that were in the list
	changes []change            // the oldest first
	changed chan struct{}       // closed at each change, and replaced
}

type change struct {
	version int
	entry   Entry
}

func newEndpointSet() endpointSet {
	return endpointSet{entries: map[string]Entry{}, removed: map[string]struct{}{}, changed: make(chan struct{})}
}

// set adds, changes or removes an entry and wakes the watches.
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

// changesSince returns what has changed after a version, each entry once and as it is now. It returns the full list where the
// version is older than the retained changes, or newer than the present one, as after a restart of the registry.
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

// removedIDs returns the ids that were in the list and are not.
func (s *endpointSet) removedIDs() []string { return slices.Collect(maps.Keys(s.removed)) }
