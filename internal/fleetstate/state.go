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

// Kind is a kind of fact.
type Kind uint8

// The kinds of facts.
const (
	// Suspicion is how many attempts of one agent on a life of a server have gone wrong since the last that went well. The agent
	// itself writes it; 0 withdraws it.
	Suspicion Kind = iota + 1
	// Notice is the furthest state towards its end in which discovery has shown a life of a server to an agent, who writes it. It
	// takes two to be believed: one agent whose discovery is wrong could take half of the servers from all others else.
	Notice
)

// The values of a Notice.
const (
	Draining int64 = 1
	Removed  int64 = 2
)

// Key is what a fact is of. Of each key a replica holds one fact.
type Key struct {
	Kind    Kind   `codec:"k"`
	Server  string `codec:"s"`
	Started int64  `codec:"l"` // when the server's process started, milliseconds of the time of day; 0 where that is not known
	Origin  string `codec:"o"` // the agent that says so
}

// Fact is a fact as one agent told it. It lives for its kind's lifetime from its stamp on.
type Fact struct {
	Key       `codec:"f"`
	Value     int64     `codec:"v"`
	Timestamp Timestamp `codec:"t"`
	Reporter  string    `codec:"b"` // who told it: the Origin
}

// later orders the copies of a fact, and the greatest is the one that holds: for a Suspicion by the stamp, as its origin alone
// writes it; for a Notice by the state, as a life never comes back from draining, and then by who was told first. It is a total
// order of all that a copy says, so the greater of two is a join: commutative, associative and idempotent. Of the notices of
// one life the greatest two, of two agents, are all that a replica holds: what one agent says only ever becomes greater, so that
// what was dropped for two greater ones is never missed, and to keep the greatest two is a join, too.
func later(a, b Fact) int {
	if a.Kind == Notice {
		return cmp.Or(cmp.Compare(a.Value, b.Value), cmp.Compare(b.Timestamp, a.Timestamp), cmp.Compare(b.Reporter, a.Reporter))
	}
	return cmp.Or(cmp.Compare(a.Timestamp, b.Timestamp), cmp.Compare(a.Value, b.Value))
}

// witnesses is how many agents must say that a life ends for it to be believed.
const witnesses = 2

// Limits bound a replica. Zero values are not valid: see DefaultLimits.
type Limits struct {
	MaxSuspicions          int           // facts of this kind held at most
	MaxNotices             int           // likewise; two of a life
	MaxSuspicionsPerOrigin int           // of one agent's suspicions
	SuspicionTTL           time.Duration // how long a suspicion lives after its stamp
	NoticeTTL              time.Duration // likewise
	MaxNameBytes           int           // bytes of a server's or an agent's name at most
}

// DefaultLimits are for fleets of hundreds of agents and servers.
func DefaultLimits() Limits {
	return Limits{MaxSuspicions: 4096, MaxNotices: 2048, MaxSuspicionsPerOrigin: 256, SuspicionTTL: 5 * time.Second, NoticeTTL: 30 * time.Second, MaxNameBytes: 255}
}

// Stats count what a replica has done. They only grow, but for Held.
type Stats struct {
	Facts    int   `json:"held"`    // facts at present
	Accepted int64 `json:"fresh"`   // taken in: they said something new
	Stale    int64 `json:"stale"`   // passed over: nothing new
	Expired  int64 `json:"expired"` // dropped or refused as their lifetime was over
	Rejected int64 `json:"refused"` // malformed, of an unknown kind, stamped too far ahead, or one too many of an agent
	Evicted  int64 `json:"evicted"` // dropped for newer ones as the replica was full
}

// Replica is one agent's replica of the facts. It is not safe for concurrent use.
type Replica struct {
	limits  Limits
	clock   HybridClock
	facts   map[Key]Fact
	kinds   [Notice + 1]int
	origins map[string]int         // suspicions held of each agent
	ends    map[Incarnation][]Fact // the notices held of each life, the greatest first
	figures Stats
}

// NewReplica returns an empty replica.
func NewReplica(limits Limits) *Replica {
	return &Replica{limits: limits, facts: map[Key]Fact{}, origins: map[string]int{}, ends: map[Incarnation][]Fact{}}
}

// Put writes a fact of our own, stamped now, and returns it as it is to be told; false where the replica holds one that says
// as much already.
func (s *Replica) Put(now time.Time, key Key, value int64, by string) (Fact, bool) {
	f := Fact{Key: key, Value: value, Reporter: by}
	if key.Kind == Notice && (s.facts[key].Value >= value || s.NoticeState(key.life()) >= value) {
		return f, false
	}
	f.Timestamp = s.clock.Next(now)
	return f, s.take(now, f)
}

// Merge takes in facts that others told, and returns those that said something new, to be told on.
func (s *Replica) Merge(now time.Time, facts []Fact) (fresh []Fact) {
	for _, f := range facts {
		if s.malformed(f) || !s.clock.Observe(now, f.Timestamp) {
			s.figures.Rejected++
			continue
		}
		if s.take(now, f) {
			fresh = append(fresh, f)
		}
	}
	return fresh
}

// NoticeState is how far towards its end a life is, by the word of enough agents: 0 where they say nothing.
func (s *Replica) NoticeState(l Incarnation) int64 {
	if said := s.ends[l]; len(said) >= witnesses {
		return said[witnesses-1].Value
	}
	return 0
}

func (s *Replica) malformed(f Fact) bool {
	switch f.Kind {
	case Suspicion:
	case Notice:
		if f.Value != Draining && f.Value != Removed {
			return true
		}
	default:
		return true
	}
	return f.Origin == "" || f.Origin != f.Reporter || f.Server == "" || f.Value < 0 || len(f.Server) > s.limits.MaxNameBytes || len(f.Reporter) > s.limits.MaxNameBytes
}

// lifetime is how long facts of a kind live.
func (s *Replica) lifetime(k Kind) time.Duration {
	if k == Notice {
		return s.limits.NoticeTTL
	}
	return s.limits.SuspicionTTL
}

func (s *Replica) expired(now time.Time, f Fact) bool {
	return !now.Before(f.Timestamp.Time().Add(s.lifetime(f.Kind)))
}

// take holds a fact where it says more than the copy that is there, and says whether that is news. A withdrawn suspicion stays
// until its lifetime is over, so that an older copy which comes later does not bring it back.
func (s *Replica) take(now time.Time, f Fact) (news bool) {
	old, held := s.facts[f.Key]
	said, believed := s.ends[f.life()], s.NoticeState(f.life())
	switch {
	case s.expired(now, f):
		s.figures.Expired++
		return false
	case held && later(f, old) <= 0, f.Kind == Notice && !held && len(said) == witnesses && later(f, said[witnesses-1]) <= 0:
		s.figures.Stale++
		return false
	case held:
		s.drop(old)
	case f.Kind == Suspicion && s.origins[f.Origin] >= s.limits.MaxSuspicionsPerOrigin:
		s.figures.Rejected++
		return false
	case f.Kind == Notice && len(said) == witnesses:
		s.drop(said[witnesses-1])
	default:
		s.makeRoom(f.Kind)
	}
	// One that only says who else was told, or told earlier, of what is believed already is no news.
	s.hold(f)
	s.figures.Accepted++
	return f.Kind == Suspicion || believed < f.Value
}

func (s *Replica) hold(f Fact) {
	s.facts[f.Key] = f
	s.kinds[f.Kind]++
	switch f.Kind {
	case Suspicion:
		s.origins[f.Origin]++
	case Notice:
		s.ends[f.life()] = append(s.ends[f.life()], f)
		slices.SortFunc(s.ends[f.life()], func(a, b Fact) int { return later(b, a) })
	}
}

// makeRoom drops the oldest fact of a kind that is full.
func (s *Replica) makeRoom(k Kind) {
	most := s.limits.MaxSuspicions
	if k == Notice {
		most = s.limits.MaxNotices
	}
	if s.kinds[k] < most {
		return
	}
	var oldest *Fact
	for _, f := range s.facts {
		if f.Kind == k && (oldest == nil || f.Timestamp < oldest.Timestamp || f.Timestamp == oldest.Timestamp && later(f, *oldest) < 0) {
			oldest = &f
		}
	}
	s.drop(*oldest)
	s.figures.Evicted++
}

func (s *Replica) drop(f Fact) {
	delete(s.facts, f.Key)
	s.kinds[f.Kind]--
	switch f.Kind {
	case Suspicion:
		if s.origins[f.Origin]--; s.origins[f.Origin] == 0 {
			delete(s.origins, f.Origin)
		}
	case Notice:
		l := f.life()
		if s.ends[l] = slices.DeleteFunc(s.ends[l], func(x Fact) bool { return x.Key == f.Key }); len(s.ends[l]) == 0 {
			delete(s.ends, l)
		}
	}
}

// Expire drops what has outlived its time.
func (s *Replica) Expire(now time.Time) {
	for _, f := range s.facts {
		if s.expired(now, f) {
			s.drop(f)
			s.figures.Expired++
		}
	}
}

// Facts are all that are held, in a fixed order.
func (s *Replica) Facts() []Fact {
	out := make([]Fact, 0, len(s.facts))
	for _, f := range s.facts {
		out = append(out, f)
	}
	slices.SortFunc(out, func(a, b Fact) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Server, b.Server), cmp.Compare(a.Started, b.Started), cmp.Compare(a.Origin, b.Origin))
	})
	return out
}

// Digest is a hash of what is believed of servers' ends: equal where two replicas believe the same. Which two of several witnesses a
// replica holds differs for longer, as it changes nothing, and suspicions live too short for all to hold the same at a moment.
func (s *Replica) Digest(now time.Time) uint64 {
	h := fnv.New64a()
	said := s.ConfirmedNotices(now)
	for _, l := range slices.SortedFunc(maps.Keys(said), func(a, b Incarnation) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Started, b.Started))
	}) {
		fmt.Fprintf(h, "%q %d %d\n", l.Server, l.Started, said[l])
	}
	return h.Sum64()
}

// Stats returns what it has done.
func (s *Replica) Stats() Stats {
	f := s.figures
	f.Facts = len(s.facts)
	return f
}

// Incarnation is a life of a server.
type Incarnation struct {
	Server  string
	Started int64 // as in Key
}

func (k Key) life() Incarnation { return Incarnation{k.Server, k.Started} }

// countedEach bounds what one agent's suspicion counts for, and enough is the sum at which a server is suspected: so it takes
// two agents at the least, however much one of them says.
const (
	countedEach = 2
	enough      = 3
)

// Suspected are the lives that the agents of a fleet suspect together, by what those that are there have seen themselves. One that
// nobody knows has no say, nor has one that suspects most of so many servers: it is cut off itself, or lies.
func (s *Replica) Suspected(now time.Time, there map[string]bool, servers int) map[Incarnation]bool {
	by := map[string][]Fact{}
	for _, f := range s.facts {
		if f.Kind == Suspicion && f.Value > 0 && there[f.Origin] && !s.expired(now, f) {
			by[f.Origin] = append(by[f.Origin], f)
		}
	}
	sums := map[Incarnation]int64{}
	for _, facts := range by {
		if float64(len(facts)) > mostDoubted*float64(servers) {
			continue
		}
		for _, f := range facts {
			sums[f.life()] += min(f.Value, countedEach)
		}
	}
	out := map[Incarnation]bool{}
	for l, n := range sums {
		if n >= enough {
			out[l] = true
		}
	}
	return out
}

// ConfirmedNotices are the lives that enough agents were told are draining or gone.
func (s *Replica) ConfirmedNotices(now time.Time) map[Incarnation]int64 {
	out := map[Incarnation]int64{}
	for l, said := range s.ends {
		if v := s.NoticeState(l); v > 0 && !s.expired(now, said[witnesses-1]) {
			out[l] = v
		}
	}
	return out
}

// FirstNoticed is when the first of those who are believed was told that a life ends.
func (s *Replica) FirstNoticed(l Incarnation) time.Time {
	first := Timestamp(math.MaxUint64)
	for _, f := range s.ends[l] {
		first = min(first, f.Timestamp)
	}
	return first.Time()
}
