// Package core runs the balancer of one agent (logic.Balancer). It connects frontends, which speak a protocol to clients, with
// an upstream, which speaks a protocol to endpoints. The core itself is independent of the protocol and does no I/O.
//
// # Calls and attempts
//
// A frontend (package internal/front/http) turns each client request into a [Call], submits it with [Core.Submit] and receives
// at most one [Answer]. The balancer selects an endpoint for the call. Each Send action of the balancer becomes an [Attempt].
// The [Upstream] executes it in a separate goroutine and reports exactly one [Outcome]. A call has more than one attempt if it is
// retried after a failure or hedged because the first attempt is slow.
//
//	frontend --Submit--> Core --Execute--> Upstream
//	frontend <--Answer-- Core <--Report--- Attempt
//
// # The event loop
//
// Only the goroutine of [Core.Run] accesses the balancer and the table of calls. Each input, such as a call of [Core.Submit] or
// the outcome of an attempt, is a message in one bounded queue. For each message the loop
//
//  1. fires the balancer's timers that are due,
//  2. converts the message to a balancer event,
//  3. executes the actions that the balancer returns, in order (see execute).
//
// The loop blocks only on its queue and its next timer. Operations that may block (dialing, writing, health checks) run in
// goroutines that the loop starts and that Run waits for. Because those goroutines outlive the step that started them, they send
// their results to the queue as messages. The loop itself never sends to the queue: it would deadlock on a full one.
//
// # Guarantees
//
// Each call gets one answer, unless the client abandoned it or the core has stopped. If two attempts succeed, the first one
// answers the call and the content of the second is discarded. An answered call stays in the table until its last attempt has
// ended, for two reasons: the outcome still tells something about the endpoint, and outcomes could not be matched to the right
// call if a second one had the same id.
//
// A request may be retried or rejected only if it certainly was not executed, or may be executed twice. [Attempt.Begin]
// establishes this: an attempt must claim the right to write its first byte, and a call that finishes withdraws the attempts
// that have no claim yet. A withdrawn attempt writes nothing.
//
// # Contract checks
//
// The core does not rely on frontends and upstreams to fulfil their contract. Every 500 ms it looks for overdue outcomes,
// answers that no frontend received, and uploads that stopped (boundary.go). It resolves each on the safe side, which means that
// a request whose state is unknown counts as possibly executed. [ContractViolations] counts them; each count should stay 0.
//
// While no call is in progress and the balancer has no work, the core is idle. The loop then does not wake up for the periodic
// check, except to discard answers that no frontend received. A check that is due runs just before the next message is handled.
//
// Times are durations on a [Clock], which is monotonic and starts with the process.
package core
