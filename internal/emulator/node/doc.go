// Package node is the model of an order node: which requests it accepts, how fast it executes them, and its faults.
// It has no I/O and no clock; time is handed in, so that the same model stands behind sockets in real time, behind a network in
// memory in fake time, and in a simulation that has no network.
//
// Events go in and effects come out:
//
//   - Offer brings a request and returns a Verdict; Cancel says that its client has left.
//   - Advance lets time pass and returns the Completions; TakeStarted returns the requests whose execution has started. NextEvent
//     says when Advance has to be called next.
//   - Connect and Disconnect bring connections, HealthCheck a health check; Load returns the load report.
//
// Work is measured in time on a core of speed 1. A node executes as many requests at a time as it has slots and queues a few
// more. The speed of its cores follows from slow start, faults, connections, and two effects of overload: contention, which
// costs efficiency while the node holds too much, and degradation, which sets in after a lasting overload and stays until the node
// has recovered. A node in slow start that is sent too much is overloaded for good: see slowStartLoad.
//
// A Node is one incarnation of a process. Its random numbers come from a seed; equal seeds and events give equal effects, so the
// order in which the model takes them is part of the contract.
package node
