// Package invariant holds the agent's guards: checks at the few places where the agent could break a rule that its clients and
// endpoints rely on. The guards are the agent's own, independent of the decision module: a fault in a decision is caught here.
//
// There are four kinds of acts. [Send] writes an attempt, [Repeat] begins a further one, and [Close] closes a client's
// connection; each is described by a value whose Check method is called immediately before the act. A [Verdict] that denies
// it names the [Rule] that it would break, and the caller does not perform it. Starting (readiness, listeners) has rules but
// no check before the act: its callers report a violation to the monitor.
//
// A check and its act are not atomic: an endpoint may begin to drain, or a client leave, between the two. [Monitor.Sent]
// therefore checks a send once more after the fact and counts it as a violation only if it began later than a grace period.
//
// A [Monitor] counts violations by rule and logs each with the request's id. In an agent without faults all counts stay 0; the
// fault soak (internal/soak) requires it.
package invariant
