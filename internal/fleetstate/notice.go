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

// requiredConfirmations is the number of agents that must report an incarnation as draining or removed before the report takes effect. It
// guards against a single agent that is malicious or whose discovery is wrong: alone it could take half of the endpoints from all other
// agents.
const requiredConfirmations = 2

// NoticeState returns the furthest state of an incarnation that enough agents have reported: Draining, Removed, or 0 for none.
func (r *Replica) NoticeState(incarnation Incarnation) int64 {
	notices := r.noticesOf[incarnation]
	if len(notices) < requiredConfirmations {
		return 0
	}
	return notices[requiredConfirmations-1].Value
}

// ConfirmedNotices returns the incarnations that enough agents report as draining or removed, by notices that have not expired.
func (r *Replica) ConfirmedNotices(now time.Time) map[Incarnation]int64 {
	confirmed := map[Incarnation]int64{}
	for incarnation, notices := range r.noticesOf {
		state := r.NoticeState(incarnation)
		if state > 0 && !r.expired(now, notices[requiredConfirmations-1]) {
			confirmed[incarnation] = state
		}
	}
	return confirmed
}

// FirstNoticed returns the earliest time at which an agent whose notice is held was notified that an incarnation drains or was removed.
func (r *Replica) FirstNoticed(incarnation Incarnation) time.Time {
	first := Timestamp(math.MaxUint64)
	for _, notice := range r.noticesOf[incarnation] {
		first = min(first, notice.Timestamp)
	}
	return first.Time()
}

// Digest returns a hash of the confirmed notices, which is equal for replicas that draw the same conclusions. It does not cover which two
// of several notices a replica holds, nor suspicions, whose lifetime is too short for all replicas to hold the same ones at any moment.
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
