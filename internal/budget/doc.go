// Package budget limits the requests, retries and health checks that one agent sends when the fleet's demand exceeds the capacity of
// the endpoints.
//
// The package only makes decisions. It does no I/O, starts no goroutine and reads no clock: the caller passes the current time to
// each call as a duration since a fixed start, which is above 0 and never decreases. A [Budget] is not safe for concurrent use; the
// core's event loop owns it.
//
// # Admission
//
// [Budget.Admit] is called once for each arriving request, with the priority that a [PriorityOrder] gives it. Four rules apply, each
// in its own files:
//
//   - controller.go: the agent's own rate. An increase/decrease controller, similar to AIMD on the logarithm of the rate, follows the
//     share of attempts that endpoints reject or that time out. The rate is steady where that share equals the tolerated one.
//   - fleet.go: the allowed rate. With a fresh [PeerState] of other agents, the rates of all agents are summed and each agent gets
//     the share that its demand calls for. Without one, the allowed rate is the agent's own rate.
//   - selfload.go and latency.go: two factors of at most 1, which lower the rate while the agent itself is overloaded and while
//     answers exceed their latency objective.
//   - shedding.go: the order of shedding. The rate is given to demand from the highest priority down; demand that it does not cover
//     is shed.
//
// Tokens accrue at the allowed rate, up to a burst capacity (tokens.go). An admitted request spends one.
//
// # Retries and health checks
//
// [Budget.AllowRetry] and [Budget.AllowHealthCheck] spend tokens that admitted requests earn, which keeps both at a fixed share of
// first attempts no matter how many attempts fail. Retry tokens also accrue at this agent's share of a rate for the whole fleet.
//
// # Feedback
//
// [Budget.AttemptEnded] adjusts the agent's own rate after each attempt. The owner calls [Budget.SetSelfOverloaded] and
// [Budget.SetLatencyOverload] at intervals. [Budget.UpdatePeers] and [Budget.PeerState] exchange state with the other agents every
// [GossipInterval].
package budget
