// Package soak injects random overlapping faults into real processes and checks their behavior against the rules of the protocol.
//
// A run starts agents, backends, a discovery service for each agent, relays in front of some backends, and clients, all on loopback.
// The agents' system calls go through internal/faultshim, which can make them fail. Two or three faults overlap at a time: processes
// are killed, paused, restarted or reloaded; servers, clients and discovery services misbehave; system calls fail; clocks are stepped.
//
//   - [Draw] makes a [Plan] from a seed: the fleet, the behaviors of the clients, and the faults. Which request meets which fault
//     depends on timing, so two runs of the same plan differ.
//   - [Run] starts the processes (topology.go), injects the faults (inject.go) and lets the clients send requests (client.go).
//   - The checker (checker.go and check_*.go) compares the [Request] that a client recorded with each [Attempt] that a backend
//     recorded and with the lists that the discovery services sent, and reports each [Violation]. It does not rely on reports of
//     the agents: the soak test's own clients, backends and discovery services record all events, with times of the machine's
//     monotonic clock. The agents' own counts of violated invariants are checked in addition.
//
// A rule is not checked where an injected fault explains the observation, such as a pause of the agent, a stalled system call or a cut
// path. Each check names the faults that it excuses.
package soak
