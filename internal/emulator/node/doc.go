// Package node models an order node: which requests it accepts, how fast it executes them, and its faults. It does no I/O and
// reads no clock: the caller passes the time to each method. The same model therefore serves sockets in real time, an in-memory
// network in fake time, and a simulation without a network.
//
// The caller reports events and gets their effects:
//
//   - Offer submits a request and returns a Verdict. Cancel reports that the request's client has disconnected.
//   - Advance moves the model's time forward and returns the requests that have completed. TakeStarted returns those whose
//     execution has started. NextEvent returns the time by which Advance must be called again.
//   - Connect and Disconnect report the start and end of a connection, HealthCheck a health check. Load returns the load report.
//
// Work is measured in time on a core of speed 1. A node executes as many requests concurrently as it has slots, and queues a few
// more. The speed of its cores depends on slow start, faults, open connections, and two effects of overload. Contention reduces
// efficiency while the node holds too many requests. Degradation begins after a sustained overload and lasts until the node has
// recovered. A node that gets too much load in slow start stays overloaded for the rest of its incarnation: see slowStartLoad.
//
// A Node is one incarnation of a process. Its random numbers come from a seed: equal seeds and events give equal effects. The
// order in which the model draws random numbers is therefore part of its contract.
package node
