package fleetstate

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"
)

// confirmations is how many agents must say that an incarnation is draining or removed for it to count. It guards against one agent
// whose discovery is wrong, or who lies: alone it could take half of the endpoints from all others.
const confirmations = 2

// NoticeState returns how far an incarnation has come by the notices of enough agents: Draining, Removed, or 0.
func (r *Replica) NoticeState(incarnation Incarnation) int64 {
	notices := r.noticesOf[incarnation]
	if len(notices) < confirmations {
		return 0
	}
	return notices[confirmations-1].Value
}

// ConfirmedNotices returns the incarnations that are draining or removed by unexpired notices of enough agents.
func (r *Replica) ConfirmedNotices(now time.Time) map[Incarnation]int64 {
	confirmed := map[Incarnation]int64{}
	for incarnation, notices := range r.noticesOf {
		state := r.NoticeState(incarnation)
		if state > 0 && !r.expired(now, notices[confirmations-1]) {
			confirmed[incarnation] = state
		}
	}
	return confirmed
}

// FirstNoticed returns when the first of the agents whose notices are here was notified that an incarnation ends.
func (r *Replica) FirstNoticed(incarnation Incarnation) time.Time {
	first := Timestamp(math.MaxUint64)
	for _, notice := range r.noticesOf[incarnation] {
		first = min(first, notice.Timestamp)
	}
	return first.Time()
}

// Digest returns a hash of the confirmed notices: equal where two replicas draw the same conclusions. It leaves out which two notices
// a replica has of several, and suspicions, whose lifetime is too short for all to have the same at a moment.
func (r *Replica) Digest(now time.Time) uint64 {
	confirmed := r.ConfirmedNotices(now)
	hash := fnv.New64a()
	for _, incarnation := range slices.SortedFunc(maps.Keys(confirmed), compareIncarnations) {
		fmt.Fprintf(hash, "%q %d %d\n", incarnation.Server, incarnation.Started, confirmed[incarnation])
	}
	return hash.Sum64()
}

func compareIncarnations(a, b Incarnation) int {
	return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Started, b.Started))
}
