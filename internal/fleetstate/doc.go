// Package fleetstate is what the agents of a fleet tell each other of endpoints: a replicated set of facts, merged as a state-based
// CRDT. It does no I/O and reads no clock: each call is given the time of day. Package membership carries the facts between processes.
// Nothing here is safe for concurrent use.
//
// # Facts
//
// A [Fact] is what one agent, its origin, says of one [Incarnation] of an endpoint, that is of one process of it. A [Replica] has at
// most one fact for each [Key], merges copies by the rule of the fact's kind, and drops a fact when its lifetime is over.
//
//   - [Suspicion], a last-writer-wins register: how many attempts of the origin failed in a row. Only the origin writes it, so
//     the copy with the later [Timestamp] holds; 0 withdraws it, and stays as a tombstone for the lifetime.
//   - [Notice], a grow-only maximum: the furthest state, draining or removed, in which discovery showed the incarnation to the
//     origin. An incarnation never comes back from draining, so the greater state holds, and of equal ones the earlier.
//     Of an incarnation only the greatest two notices stay.
//
// Both orders are total over all that a copy says. So merging is commutative, associative and idempotent, and replicas that have
// seen the same facts are equal, whatever the order, duplication or loss on the way.
//
// Timestamps are those of a hybrid logical clock ([HybridClock]).
//
// # Trust
//
// One agent may be wrong or lie. So it takes several origins for a fact to have an effect: two notices ([Replica.ConfirmedNotices]), a
// weighted sum of suspicions ([Replica.Suspected]). Facts that are malformed, stamped in the future or too many of one origin are
// rejected, and each table has a bound ([Limits]).
//
// # Use
//
// [FailureReporter] turns an agent's own attempts into suspicions to send. [DrainOverlay] decides for how long peers' notices go
// before the agent's own endpoint list.
package fleetstate
