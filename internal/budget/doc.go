// Package budget bounds what one agent may send when the fleet asks for more than the endpoints can serve: how many requests it
// admits, which it sheds first, and how many retries and health checks it may add.
//
// It decides only. It does no I/O, starts no goroutine and reads no clock: each call is given the current time as a duration since
// a fixed start, above 0 and never falling. A [Budget] isn't safe for concurrent use; the core's event loop owns it.
//
// # One request
//
// [Budget.Admit] is called once for each request that arrives, with its priority from a [PriorityOrder]. Four rules are
// applied, each in a file of its own:
//
//   - controller.go: the own rate. An increase/decrease controller, close to AIMD in logarithms, follows the share of
//     attempts that endpoints reject or let time out. Its rate holds still where that share is the tolerated one.
//   - fleet.go: the allowed rate. With fresh [PeerState] of other agents the rates of all are one rate, and this agent has the part that
//     its demand has; without, the allowed rate is the own rate.
//   - selfload.go and latency.go: two factors of at most 1 on the rate, for overload of the agent itself and for late answers.
//   - shedding.go: the order. The rate is filled with demand from the highest priority down; what lies below is shed.
//
// Tokens are earned at the allowed rate and saved up to a burst (tokens.go). An admitted request spends one.
//
// # Retries and health checks
//
// [Budget.AllowRetry] and [Budget.AllowHealthCheck] spend tokens that admitted requests earn, so that both stay a fixed share of first
// attempts however bad the fleet fares. Retries also earn this agent's part of a rate that the whole fleet has.
//
// # Feedback
//
// [Budget.AttemptEnded] moves the own rate after each attempt. [Budget.SetSelfOverloaded] and [Budget.SetLatencyOverload] are
// called at intervals by the owner. [Budget.UpdatePeers] and [Budget.PeerState] exchange state with the other agents each
// [GossipInterval].
package budget
