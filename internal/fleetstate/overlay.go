package fleetstate

import (
	"maps"
	"time"
)

// maxDrainedFraction is the part of the ready endpoints that peers may drain at a time.
const maxDrainedFraction = 0.5

// DrainOverlay decides which endpoints that the agent's own list has as ready get no new requests, as peers were notified that
// they are draining or removed.
//
// Peers go before the own list for a limited time. A list that has an endpoint as ready long after that was right and the peers were
// wrong, and their notices of that incarnation no longer count while it stays listed as ready.
//
// It guards against peers that are wrong together: they never drain more than maxDrainedFraction of the ready endpoints. More than
// that at once is no release, and all requests would go to what is left.
type DrainOverlay struct {
	trustFor    time.Duration
	firstNotice map[Incarnation]time.Time // when peers first had a ready incarnation as ending
	drained     map[Incarnation]bool      // as of the last Update
}

// NewDrainOverlay returns an overlay that trusts peers against the own list for a duration.
func NewDrainOverlay(trustFor time.Duration) *DrainOverlay {
	return &DrainOverlay{trustFor: trustFor, firstNotice: map[Incarnation]time.Time{}, drained: map[Incarnation]bool{}}
}

// Update takes the incarnations that the own list has as ready and the confirmed notices. It returns which of the former are to be
// drained, and whether that has changed since the last call.
func (o *DrainOverlay) Update(now time.Time, ready map[Incarnation]bool, notices map[Incarnation]int64) (drained map[Incarnation]bool, changed bool) {
	for incarnation := range o.firstNotice {
		if !ready[incarnation] {
			delete(o.firstNotice, incarnation)
		}
	}
	drained = map[Incarnation]bool{}
	for incarnation := range ready {
		if notices[incarnation] != 0 && o.trusted(now, incarnation) {
			drained[incarnation] = true
		}
	}
	if float64(len(drained)) > maxDrainedFraction*float64(len(ready)) {
		drained = map[Incarnation]bool{}
	}
	changed = !maps.Equal(drained, o.drained)
	o.drained = drained
	return drained, changed
}

// trusted reports whether peers' notice of a ready incarnation is recent enough to go before the own list, and notes when it first
// came.
func (o *DrainOverlay) trusted(now time.Time, incarnation Incarnation) bool {
	if _, known := o.firstNotice[incarnation]; !known {
		o.firstNotice[incarnation] = now
	}
	return now.Sub(o.firstNotice[incarnation]) < o.trustFor
}

// Drained reports whether an incarnation was to be drained at the last Update.
func (o *DrainOverlay) Drained(incarnation Incarnation) bool { return o.drained[incarnation] }
