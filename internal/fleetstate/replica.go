package fleetstate

import (
	"slices"
	"time"
)

// Limits bound a replica. The zero value is not valid: see DefaultLimits.
type Limits struct {
	MaxSuspicions          int // of all origins
	MaxNotices             int // of all incarnations, each of which has at most requiredConfirmations
	MaxSuspicionsPerOrigin int
	SuspicionTTL           time.Duration // counted from the timestamp
	NoticeTTL              time.Duration // counted from the timestamp
	MaxNameBytes           int           // of the name of an endpoint or an agent
}

// DefaultLimits returns limits for fleets of hundreds of agents and endpoints.
func DefaultLimits() Limits {
	return Limits{
		MaxSuspicions:          4096,
		MaxNotices:             2048,
		MaxSuspicionsPerOrigin: 256,
		SuspicionTTL:           5 * time.Second,
		NoticeTTL:              30 * time.Second,
		MaxNameBytes:           255,
	}
}

// Stats count the operations of a replica, for metrics. All but Facts never decrease.
type Stats struct {
	Facts    int   `json:"held"`    // facts held at present
	Accepted int64 `json:"fresh"`   // facts that were new, or greater in the order of compare than the copy held
	Stale    int64 `json:"stale"`   // facts that were no greater than the copies held
	Expired  int64 `json:"expired"` // facts dropped or not accepted because their lifetime had ended
	Rejected int64 `json:"refused"` // facts that were malformed, timestamped too far ahead, or over the limit of their origin
	Evicted  int64 `json:"evicted"` // facts dropped for newer ones because the replica was full
}

// Replica is one agent's copy of the fleet's facts.
type Replica struct {
	limits Limits
	clock  HybridClock
	facts  map[Key]Fact
	stats  Stats

	// Indexes of facts.
	countByKind        [Notice + 1]int
	suspicionsByOrigin map[string]int
	noticesOf          map[Incarnation][]Fact // greatest first, at most requiredConfirmations
}

// NewReplica returns an empty replica.
func NewReplica(limits Limits) *Replica {
	return &Replica{
		limits:             limits,
		facts:              map[Key]Fact{},
		suspicionsByOrigin: map[string]int{},
		noticesOf:          map[Incarnation][]Fact{},
	}
}

// Put writes a fact of this agent with the current timestamp and returns it for sending to peers. It returns false if there is nothing to
// send: the fact is a notice, and the replica already holds one with this key and the same or a later state, or that state is already
// confirmed; or the limits of the replica leave no room.
func (r *Replica) Put(now time.Time, key Key, value int64, reporter string) (Fact, bool) {
	fact := Fact{Key: key, Value: value, Reporter: reporter}
	if key.Kind == Notice && (r.facts[key].Value >= value || r.NoticeState(key.incarnation()) >= value) {
		return fact, false
	}
	fact.Timestamp = r.clock.Next(now)
	return fact, r.accept(now, fact)
}

// Merge adds facts from peers and returns those that were new, to be forwarded. Forwarding only new facts ends the gossip of a fact once
// all agents have it.
func (r *Replica) Merge(now time.Time, facts []Fact) (accepted []Fact) {
	for _, fact := range facts {
		if !fact.valid(r.limits.MaxNameBytes) || !r.clock.Observe(now, fact.Timestamp) {
			r.stats.Rejected++
			continue
		}
		if r.accept(now, fact) {
			accepted = append(accepted, fact)
		}
	}
	return accepted
}

// accept stores a fact if it is greater than the copy held. It reports whether the fact must be sent to peers. A notice of a state that
// was already confirmed need not be sent: it only adds another origin, or replaces a notice by one with an earlier timestamp.
func (r *Replica) accept(now time.Time, fact Fact) (changed bool) {
	confirmed := r.NoticeState(fact.incarnation())
	if r.expired(now, fact) {
		r.stats.Expired++
		return false
	}
	if r.stale(fact) {
		r.stats.Stale++
		return false
	}
	if !r.makeRoom(fact) {
		r.stats.Rejected++
		return false
	}
	r.insert(fact)
	r.stats.Accepted++
	return fact.Kind == Suspicion || confirmed < fact.Value
}

// lifetime returns how long after its timestamp a fact of a kind expires.
func (r *Replica) lifetime(kind Kind) time.Duration {
	if kind == Notice {
		return r.limits.NoticeTTL
	}
	return r.limits.SuspicionTTL
}

// expired reports whether the lifetime of a fact has ended at now.
func (r *Replica) expired(now time.Time, fact Fact) bool {
	return !now.Before(fact.Timestamp.Time().Add(r.lifetime(fact.Kind)))
}

// stale reports whether a fact is no greater than the fact that the replica holds in its place.
func (r *Replica) stale(fact Fact) bool {
	if old, known := r.facts[fact.Key]; known {
		return compare(fact, old) <= 0
	}
	if fact.Kind != Notice {
		return false
	}
	notices := r.noticesOf[fact.incarnation()]
	return len(notices) == requiredConfirmations && compare(fact, notices[requiredConfirmations-1]) <= 0
}

// makeRoom drops the fact that a new one replaces: the older copy with the same key; the least of the incarnation's notices, in the order
// of compare, if there are already requiredConfirmations; or the oldest fact of the kind if the kind is full. It returns false if the
// origin has reached its limit of suspicions, so that a flood from one origin cannot evict the facts of others.
func (r *Replica) makeRoom(fact Fact) bool {
	old, known := r.facts[fact.Key]
	notices := r.noticesOf[fact.incarnation()]
	switch {
	case known:
		r.remove(old)
	case fact.Kind == Suspicion && r.suspicionsByOrigin[fact.Origin] >= r.limits.MaxSuspicionsPerOrigin:
		return false
	case fact.Kind == Notice && len(notices) == requiredConfirmations:
		r.remove(notices[requiredConfirmations-1])
	default:
		r.evictOldest(fact.Kind)
	}
	return true
}

// evictOldest drops the oldest fact of a kind if the kind is full.
func (r *Replica) evictOldest(kind Kind) {
	limit := r.limits.MaxSuspicions
	if kind == Notice {
		limit = r.limits.MaxNotices
	}
	if r.countByKind[kind] < limit {
		return
	}
	var oldest *Fact
	for _, fact := range r.facts {
		if fact.Kind == kind && (oldest == nil || older(fact, *oldest)) {
			oldest = &fact
		}
	}
	r.remove(*oldest)
	r.stats.Evicted++
}

// older reports whether a has the earlier timestamp. Facts with equal timestamps are ordered by compare, so that the fact to evict depends
// less on the random order in which a map is iterated.
func older(a, b Fact) bool {
	return a.Timestamp < b.Timestamp || a.Timestamp == b.Timestamp && compare(a, b) < 0
}

// insert adds a fact to facts and the indexes. The replica must hold no fact with its key, and have room for it.
func (r *Replica) insert(fact Fact) {
	r.facts[fact.Key] = fact
	r.countByKind[fact.Kind]++
	switch fact.Kind {
	case Suspicion:
		r.suspicionsByOrigin[fact.Origin]++
	case Notice:
		notices := append(r.noticesOf[fact.incarnation()], fact)
		slices.SortFunc(notices, func(a, b Fact) int { return compare(b, a) })
		r.noticesOf[fact.incarnation()] = notices
	}
}

// remove deletes a fact that the replica holds from facts and the indexes.
func (r *Replica) remove(fact Fact) {
	delete(r.facts, fact.Key)
	r.countByKind[fact.Kind]--
	switch fact.Kind {
	case Suspicion:
		if r.suspicionsByOrigin[fact.Origin]--; r.suspicionsByOrigin[fact.Origin] == 0 {
			delete(r.suspicionsByOrigin, fact.Origin)
		}
	case Notice:
		incarnation := fact.incarnation()
		notices := slices.DeleteFunc(r.noticesOf[incarnation], func(other Fact) bool { return other.Key == fact.Key })
		if r.noticesOf[incarnation] = notices; len(notices) == 0 {
			delete(r.noticesOf, incarnation)
		}
	}
}

// Expire drops the facts whose lifetime has ended.
func (r *Replica) Expire(now time.Time) {
	for _, fact := range r.facts {
		if r.expired(now, fact) {
			r.remove(fact)
			r.stats.Expired++
		}
	}
}

// Facts returns a copy of all facts, ordered by key.
func (r *Replica) Facts() []Fact {
	facts := make([]Fact, 0, len(r.facts))
	for _, fact := range r.facts {
		facts = append(facts, fact)
	}
	slices.SortFunc(facts, compareKeys)
	return facts
}

// Stats returns the counts so far.
func (r *Replica) Stats() Stats {
	stats := r.stats
	stats.Facts = len(r.facts)
	return stats
}
