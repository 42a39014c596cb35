// Package core runs the decision module (package logic) for one agent. It stands between fronts, which speak a protocol
// towards clients, and an upstream, which speaks a protocol towards endpoints. It knows no protocol and does no I/O.
//
// # Calls and attempts
//
// A front turns each request of a client into a [Call], hands it over with [Core.Submit] and receives exactly one [Answer].
// The module decides which endpoint a call goes to. Each of its Send actions becomes an [Attempt], which the [Upstream]
// carries out in a goroutine of its own and for which it reports exactly one [Outcome]. A call may have several attempts: a
// retry after one that failed, or a hedged request beside one that is slow.
//
//	front --Submit--> Core --Execute--> Upstream
//	front <--Answer-- Core <--Report--- Attempt
//
// # The loop
//
// [Core.Run] is the only goroutine that touches the module and the table of calls. Every input, whether a method such as
// [Core.Submit] or the outcome of an attempt, becomes a message on one bounded queue. For each message the loop
//
//  1. fires the timers of the module that are due,
//  2. turns the message into an event of the module,
//  3. executes the actions that the module returns, in order (see execute).
//
// The loop blocks on nothing but its queue and its next timer. What may block (dialing, writing, a health check) runs in
// goroutines that the loop starts and that Run waits for. Because those goroutines outlive a single step, their results come
// back as messages too; the loop never sends to its own queue.
//
// # What the core guarantees
//
// A call gets one answer, unless its client abandoned it or the core ended. Of two attempts that succeed, the first answers
// and the content of the other is discarded. A call whose answer is out keeps its place in the table until its last attempt
// has ended, because its outcome is still evidence about the endpoint, and because a second call under the same id could
// not be distinguished from it.
//
// The certainty that a request did not run is what allows it to be retried or rejected. [Attempt.Begin] decides it: an
// attempt claims the right to write its first byte, and a call that finishes withdraws all claims that were not made. An
// attempt that lost the race writes nothing.
//
// # The boundary
//
// The core does not trust fronts and upstreams to fulfil their side. Every half second it looks for outcomes that are
// overdue, answers that no front received, and uploads that stopped (boundary.go). Each is resolved in the safe direction and
// counted in [ContractViolations], where every count should stay 0.
//
// Times are durations on a [Clock], which starts with the process and is not affected by steps of the time of day.
package core
