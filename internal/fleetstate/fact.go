package fleetstate

import "cmp"

// Kind is a kind of fact.
type Kind uint8

// The kinds of facts.
const (
	// Suspicion is how many attempts of the origin on an incarnation have failed in a row; 0 withdraws it.
	Suspicion Kind = iota + 1
	// Notice is the furthest state, Draining or Removed, in which discovery has shown an incarnation to the origin.
	Notice
)

// The values of a Notice, in the order of an incarnation's life.
const (
	Draining int64 = 1
	Removed  int64 = 2
)

// Incarnation is one process of an endpoint.
type Incarnation struct {
	Server  string // the endpoint's id
	Started int64  // when the process started, milliseconds of the time of day; 0 where that isn't known
}

// Key is what a fact is of. A replica holds one fact of each key.
type Key struct {
	Kind    Kind   `codec:"k"`
	Server  string `codec:"s"` // as in Incarnation
	Started int64  `codec:"l"` // as in Incarnation
	Origin  string `codec:"o"` // the agent that says so
}

func (k Key) incarnation() Incarnation { return Incarnation{k.Server, k.Started} }

// Fact is what one agent says of one incarnation.
type Fact struct {
	Key       `codec:"f"`
	Value     int64     `codec:"v"`
	Timestamp Timestamp `codec:"t"`
	Reporter  string    `codec:"b"` // the agent that wrote it: must be the Origin
}

// compare orders copies of a fact; the greatest one holds. See the package comment for the rule of each kind. The order covers all
// that a copy says, so that the greater of two is a join.
//
// Between the notices of one incarnation it decides which two stay. What one origin says only ever becomes greater, so a notice that was dropped
// for two greater ones is never needed again: to keep the greatest two is a join, too.
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

// compareKeys orders facts of different keys, for stable output.
func compareKeys(a, b Fact) int {
	return cmp.Or(
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Server, b.Server),
		cmp.Compare(a.Started, b.Started),
		cmp.Compare(a.Origin, b.Origin),
	)
}

// valid reports whether a fact that came from a peer can be what an agent writes.
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
