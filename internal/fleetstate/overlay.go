package fleetstate

import (
	"maps"
	"time"
)

// DrainOverlay says which of the servers that an agent's own list has as ready get nothing new because another agent was told that
// they drain or are gone. What peers say goes before the own list for a while only: a list that still has a server as ready
// long after that was right and the peers were not, and they are not believed again of that life. It is not safe for
// concurrent use.
type DrainOverlay struct {
	confirm time.Duration
	first   map[Incarnation]time.Time // when a life that peers have as ending was first heard of as such; false ones stay as long as they are listed
	held    map[Incarnation]bool
}

// Part of the ready servers that peers may keep from new work at a time. More than that at once is no release: it is a peer
// that is wrong, and all would go to what is left.
const mostHeld = 0.5

// NewDrainOverlay returns one that believes peers for so long against the own list.
func NewDrainOverlay(confirm time.Duration) *DrainOverlay {
	return &DrainOverlay{confirm: confirm, first: map[Incarnation]time.Time{}, held: map[Incarnation]bool{}}
}

// Update says which lives are to be held back, of those that the own list has as ready, and whether that has changed.
func (o *DrainOverlay) Update(now time.Time, ready map[Incarnation]bool, notices map[Incarnation]int64) (held map[Incarnation]bool, changed bool) {
	for l := range o.first {
		if !ready[l] {
			delete(o.first, l)
		}
	}
	held = map[Incarnation]bool{}
	for l := range ready {
		if notices[l] == 0 {
			continue
		}
		if _, known := o.first[l]; !known {
			o.first[l] = now
		}
		if now.Sub(o.first[l]) < o.confirm {
			held[l] = true
		}
	}
	if float64(len(held)) > mostHeld*float64(len(ready)) {
		held = map[Incarnation]bool{}
	}
	changed = !maps.Equal(held, o.held)
	o.held = held
	return held, changed
}

// Drained says whether a life was held back when Hold was last asked.
func (o *DrainOverlay) Drained(l Incarnation) bool { return o.held[l] }
