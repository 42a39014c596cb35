// Package fleetstate holds what the agents of a fleet tell each other about endpoints: a replicated set of facts, merged as a state-based
// CRDT. It does no I/O and reads no clock: the caller passes the time of day to each call. Package membership carries the facts between
// processes. Nothing here is safe for concurrent use.
//
// # Facts
//
// A [Fact] is a statement by one agent, its origin, about one [Incarnation] of an endpoint, that is, one process of it. A [Replica] holds
// at most one fact for each [Key], merges copies by the rule of the fact's kind, and drops a fact when its lifetime ends.
//
//   - [Suspicion], a last-writer-wins register: the number of consecutive failed attempts of the origin. Only the origin writes it, and
//     the copy with the later [Timestamp] wins. A value of 0 withdraws the suspicion and is kept as a tombstone for the lifetime.
//   - [Notice], a grow-only maximum: the furthest state, draining or removed, in which discovery showed the incarnation to the
//     origin. An incarnation never returns from draining, so the greater state wins, and of equal states the earlier one. Only the
//     two greatest notices of an incarnation are kept.
//
// Both orders are total over all contents of a copy. Merging is therefore commutative, associative and idempotent: replicas that have
// received the same facts are equal, whatever was reordered, duplicated or lost on the way.
//
// Timestamps are those of a hybrid logical clock ([HybridClock]).
//
// # Trust
//
// A single agent may be faulty or malicious. A fact therefore takes effect only if several origins agree: two notices
// ([Replica.ConfirmedNotices]) or a weighted sum of suspicions ([Replica.Suspected]). Facts that are malformed, have a timestamp too far
// in the future or exceed the number allowed to one origin are rejected, and the size of each table is limited ([Limits]).
//
// # Use
//
// [FailureReporter] turns the outcomes of an agent's own attempts into suspicions to send. [DrainOverlay] decides how long the notices of
// peers override the agent's own endpoint list.
package fleetstate
