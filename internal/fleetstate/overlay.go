package fleetstate

import (
	"maps"
	"time"
)

// maxDrainedFraction is the fraction of the ready endpoints that peers may drain at the same time.
const maxDrainedFraction = 0.5

// DrainOverlay decides which endpoints that are ready in the agent's own list get no new requests because peers report them as draining
// or removed.
//
// Peers override the agent's own list for a limited time. If the list still has the endpoint as ready after that, the list is taken to be
// right and the peers to be wrong: their notices of that incarnation are ignored for as long as it stays listed as ready.
//
// The overlay also guards against several peers that are wrong in the same way. If their notices cover more than maxDrainedFraction of
// the ready endpoints, none are drained: no rollout replaces that many at once, and the remaining endpoints would get all requests.
type DrainOverlay struct {
	trustDuration time.Duration
	firstNotice   map[Incarnation]time.Time // when a ready incarnation was first reported as draining or removed
	drained       map[Incarnation]bool      // as of the last Update
}

// NewDrainOverlay returns an overlay that lets peers override the agent's own list for the given duration.
func NewDrainOverlay(trustDuration time.Duration) *DrainOverlay {
	return &DrainOverlay{trustDuration: trustDuration, firstNotice: map[Incarnation]time.Time{}, drained: map[Incarnation]bool{}}
}

// Update takes the incarnations that are ready in the agent's own list and the confirmed notices. It returns the ready incarnations to
// drain, and whether these differ from those of the last call.
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

// trusted reports whether peers' notice of a ready incarnation is recent enough to override the agent's own list. It records the time of
// the first notice.
func (o *DrainOverlay) trusted(now time.Time, incarnation Incarnation) bool {
	if _, known := o.firstNotice[incarnation]; !known {
		o.firstNotice[incarnation] = now
	}
	return now.Sub(o.firstNotice[incarnation]) < o.trustDuration
}

// Drained reports whether the last Update returned the incarnation as one to drain.
func (o *DrainOverlay) Drained(incarnation Incarnation) bool { return o.drained[incarnation] }
