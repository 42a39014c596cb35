package fleetstate

import "time"

const (
	// maxSuspicionWeight bounds what one agent's suspicion counts for, in failed attempts.
	maxSuspicionWeight = 2
	// suspicionThreshold is the sum of weights from which on an incarnation is suspected: two agents at the least.
	suspicionThreshold = 3
	// maxSuspectedFraction is the part of the endpoints that an agent may suspect. One that suspects more is more likely cut off
	// itself.
	maxSuspectedFraction = 0.5
)

// Suspected returns the incarnations that the agents of the fleet suspect together, by the suspicions of live agents, where so many
// endpoints are known.
//
// An agent that isn't a live member has no say, nor has one that suspects more than maxSuspectedFraction of the endpoints. Both guard against
// ejecting healthy endpoints: by facts written under made-up names, and by an agent whose own network is cut.
func (r *Replica) Suspected(now time.Time, live map[string]bool, endpoints int) map[Incarnation]bool {
	weights := map[Incarnation]int64{}
	for _, suspicions := range r.activeSuspicions(now, live) {
		if suspectsTooMany(len(suspicions), endpoints) {
			continue
		}
		for _, suspicion := range suspicions {
			weights[suspicion.incarnation()] += min(suspicion.Value, maxSuspicionWeight)
		}
	}
	suspected := map[Incarnation]bool{}
	for incarnation, weight := range weights {
		if weight >= suspicionThreshold {
			suspected[incarnation] = true
		}
	}
	return suspected
}

// activeSuspicions returns the suspicions of live agents, by origin, that are neither withdrawn nor expired.
func (r *Replica) activeSuspicions(now time.Time, live map[string]bool) map[string][]Fact {
	byOrigin := map[string][]Fact{}
	for _, fact := range r.facts {
		if fact.Kind == Suspicion && fact.Value > 0 && live[fact.Origin] && !r.expired(now, fact) {
			byOrigin[fact.Origin] = append(byOrigin[fact.Origin], fact)
		}
	}
	return byOrigin
}

func suspectsTooMany(suspected, endpoints int) bool {
	return float64(suspected) > maxSuspectedFraction*float64(endpoints)
}
