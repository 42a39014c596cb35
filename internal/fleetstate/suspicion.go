package fleetstate

import "time"

const (
	// maxSuspicionWeight limits the weight of one agent's suspicion, in failed attempts.
	maxSuspicionWeight = 2
	// suspicionThreshold is the sum of weights at which an incarnation is suspected. It takes at least two agents.
	suspicionThreshold = 3
	// maxSuspectedFraction is the fraction of the endpoints that an agent may suspect. An agent that suspects more is probably cut off
	// itself.
	maxSuspectedFraction = 0.5
)

// Suspected returns the incarnations that enough live agents suspect. endpoints is the number of known endpoints.
//
// Suspicions are ignored if their origin is not a live member, or if it suspects more than maxSuspectedFraction of the endpoints. The
// former prevents the ejection of healthy endpoints by facts written under invented names, the latter by an agent whose own network is
// cut off.
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
