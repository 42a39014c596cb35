package fleetstate

import (
	"slices"
	"time"
)

// Limits bound a replica. The zero value isn't valid: see DefaultLimits.
type Limits struct {
	MaxSuspicions          int // of all origins
	MaxNotices             int // of all incarnations, of which each has at most two
	MaxSuspicionsPerOrigin int
	SuspicionTTL           time.Duration // from the timestamp on
	NoticeTTL              time.Duration // from the timestamp on
	MaxNameBytes           int           // of an endpoint's or an agent's name
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

// Stats count what a replica has done, for metrics. All but Facts only grow.
type Stats struct {
	Facts    int   `json:"held"`    // at present
	Accepted int64 `json:"fresh"`   // said something new
	Stale    int64 `json:"stale"`   // said nothing new
	Expired  int64 `json:"expired"` // dropped or not accepted as their lifetime was over
	Rejected int64 `json:"refused"` // malformed, stamped too far ahead, or one too many of an origin
	Evicted  int64 `json:"evicted"` // dropped for newer ones as the replica was full
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
	noticesOf          map[Incarnation][]Fact // greatest first, at most confirmations
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

// Put writes a fact of this agent, stamped now, and returns it to be sent to peers; false where there is nothing to send, as the
// replica says as much already or is full.
func (r *Replica) Put(now time.Time, key Key, value int64, reporter string) (Fact, bool) {
	fact := Fact{Key: key, Value: value, Reporter: reporter}
	if key.Kind == Notice && (r.facts[key].Value >= value || r.NoticeState(key.incarnation()) >= value) {
		return fact, false
	}
	fact.Timestamp = r.clock.Next(now)
	return fact, r.accept(now, fact)
}

// Merge takes in facts from peers and returns those that said something new, to be sent on. Sending on only these ends the gossip
// of a fact once all have it.
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

// accept stores a fact if it is greater than the copy that is there, and reports whether that is new to peers. A notice that only says who else
// was notified of a confirmed state, or earlier, changes nothing and isn't.
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

func (r *Replica) lifetime(kind Kind) time.Duration {
	if kind == Notice {
		return r.limits.NoticeTTL
	}
	return r.limits.SuspicionTTL
}

func (r *Replica) expired(now time.Time, fact Fact) bool {
	return !now.Before(fact.Timestamp.Time().Add(r.lifetime(fact.Kind)))
}

// stale reports whether a fact is no greater than what stays instead of it.
func (r *Replica) stale(fact Fact) bool {
	if old, known := r.facts[fact.Key]; known {
		return compare(fact, old) <= 0
	}
	if fact.Kind != Notice {
		return false
	}
	notices := r.noticesOf[fact.incarnation()]
	return len(notices) == confirmations && compare(fact, notices[confirmations-1]) <= 0
}

// makeRoom drops the fact that gives way to a new one: its older copy, the least of two notices, or the oldest of a kind that is full. It reports
// false where the origin has as many suspicions as it may: a flood of one origin must not drive out those of others.
func (r *Replica) makeRoom(fact Fact) bool {
	old, known := r.facts[fact.Key]
	notices := r.noticesOf[fact.incarnation()]
	switch {
	case known:
		r.remove(old)
	case fact.Kind == Suspicion && r.suspicionsByOrigin[fact.Origin] >= r.limits.MaxSuspicionsPerOrigin:
		return false
	case fact.Kind == Notice && len(notices) == confirmations:
		r.remove(notices[confirmations-1])
	default:
		r.evictOldest(fact.Kind)
	}
	return true
}

// evictOldest drops the oldest fact of a kind that is full.
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

func older(a, b Fact) bool {
	return a.Timestamp < b.Timestamp || a.Timestamp == b.Timestamp && compare(a, b) < 0
}

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

// Expire drops the facts whose lifetime is over.
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
