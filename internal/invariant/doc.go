// Package invariant checks rules that clients and endpoints rely on, at the few places where the agent could break them. The checks
// do not use the balancer's state, so that they also detect a wrong decision of the balancer.
//
// Three operations are checked: [Send] writes an attempt, [Repeat] begins a further attempt, and [Close] closes a client's
// connection. Each type describes the state in which the operation is about to happen, and its Check method is called immediately
// before the operation. If the [CheckResult] is Denied, it names the [Rule] that the operation would break. A caller does not perform
// a Send or Repeat that is denied. A Close that is denied is counted as a violation, but the connection is closed nevertheless.
//
// There are also rules for readiness and listening. They have no Check method: the callers report violations to the [Monitor].
//
// A check and its operation are not atomic: an endpoint may begin to drain, or a client disconnect, between the two. [Monitor.Sent]
// therefore checks an attempt again after it was written. It counts a violation only if the write happened more than a grace period
// after the change.
//
// A [Monitor] counts violations by rule and logs each one with the id of the request. In a correct agent all counts stay 0, which
// the fault-injection soak test (internal/soak) verifies.
package invariant
