// Package soak runs random overlapping faults on real processes and checks what these did against the rules of the protocol.
//
// A run starts agents (with the system calls of internal/faultshim in place of the machine's), backends, a discovery service for each
// agent, relays between them and clients, all on loopback. Two or three faults overlap at a time: processes are killed, stopped, paused
// or reloaded; servers, clients and discovery misbehave; system calls fail; clocks step.
//
//   - [Draw] makes a [Plan] of a seed: the fleet, the clients' behaviors and the faults. Which request meets which fault depends
//     on the machine, so that two runs of a plan differ.
//   - [Run] starts the processes (topology.go), injects the faults (inject.go) and lets the clients send (client.go).
//   - The checker (checker.go and check_*.go) compares what the clients noted of each [Request] with what the backends noted of each
//     [Attempt] and with what discovery wrote, and reports each [Violation]. It trusts nobody: all notes are times of the machine's
//     monotonic clock, written by the soak's own parts. The agents' own counts of violated invariants stand beside that.
//
// A rule is only checked where the run allows it: a pause of an agent, a stalled system call, a cut path explain what would be
// a violation otherwise. Each check names what it excuses.
package soak
