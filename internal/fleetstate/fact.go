package fleetstate

import "cmp"

// Kind is the kind of a fact.
type Kind uint8

// The kinds of facts.
const (
	// Suspicion is the number of consecutive failed attempts of the origin on an incarnation; 0 withdraws it.
	Suspicion Kind = iota + 1
	// Notice is the furthest state, Draining or Removed, in which discovery has shown an incarnation to the origin.
	Notice
)

// The values of a Notice, in the order in which an incarnation reaches them.
const (
	Draining int64 = 1
	Removed  int64 = 2
)

// Incarnation is one process of an endpoint.
type Incarnation struct {
	Server  string // the endpoint's id
	Started int64  // when the process started, in milliseconds of the time of day; 0 if unknown
}

// Key identifies a fact. A replica holds at most one fact for each key.
type Key struct {
	Kind    Kind   `codec:"k"`
	Server  string `codec:"s"` // as in Incarnation
	Started int64  `codec:"l"` // as in Incarnation
	Origin  string `codec:"o"` // the agent that states the fact
}

func (k Key) incarnation() Incarnation { return Incarnation{k.Server, k.Started} }

// Fact is a statement by one agent about one incarnation.
type Fact struct {
	Key       `codec:"f"`
	Value     int64     `codec:"v"`
	Timestamp Timestamp `codec:"t"`
	Reporter  string    `codec:"b"` // the agent that wrote the fact; must equal Origin
}

// compare orders copies of a fact; the greatest copy wins. See the package comment for the rule of each kind. The order covers all
// contents of a copy, so taking the greater of two copies is a join.
//
// For the notices of one incarnation it also decides which two are kept. The notice of an origin only ever becomes greater, so a notice
// that was dropped for two greater ones is never needed again: keeping the two greatest is a join as well.
func compare(a, b Fact) int {
	if a.Kind == Notice {
		return cmp.Or(
			cmp.Compare(a.Value, b.Value),
			cmp.Compare(b.Timestamp, a.Timestamp),
			cmp.Compare(b.Reporter, a.Reporter),
		)
	}
	return cmp.Or(cmp.Compare(a.Timestamp, b.Timestamp), cmp.Compare(a.Value, b.Value))
}

// compareKeys orders facts by key, for stable output.
func compareKeys(a, b Fact) int {
	return cmp.Or(
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Server, b.Server),
		cmp.Compare(a.Started, b.Started),
		cmp.Compare(a.Origin, b.Origin),
	)
}

// valid reports whether a fact received from a peer is one that an agent can have written.
func (f Fact) valid(maxNameBytes int) bool {
	switch f.Kind {
	case Suspicion:
		if f.Value < 0 {
			return false
		}
	case Notice:
		if f.Value != Draining && f.Value != Removed {
			return false
		}
	default:
		return false
	}
	named := f.Origin != "" && f.Server != ""
	return named && f.Origin == f.Reporter && len(f.Server) <= maxNameBytes && len(f.Reporter) <= maxNameBytes
}
