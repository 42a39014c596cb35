// Package agent assembles an agent: the core with its decision module, a front for clients, an upstream with its connection
// pool, discovery, and optionally peers and the operators' address.
//
// # Start
//
// [Run] builds every subsystem before it starts any (newAgent), so that a configuration that can't be used ends it before a
// client is accepted. The subsystems are built in the order in which they depend on each other:
//
//  1. decision module, with the knowledge that the process before this one saved
//  2. connection pool, upstream and health checker
//  3. budget of the fleet, peers, core
//  4. discovery, which feeds endpoint lists to the core, or to peers, which pass them on
//  5. front
//
// Then the goroutines of all but the front are started (start), and the front serves until the agent has drained.
//
// # Stop
//
// Two contexts order the end of a process:
//
//  1. The context of Run ends (SIGTERM). The front drains: it reports that it is not ready, goes on accepting for
//     platform.Config.AcceptWindow, closes the client listener, and answers what is pending. The snapshot is saved once more, at
//     the signal: what is learned during the drain is not kept.
//  2. When the front returns, the background context ends. It is not derived from the cancellation of the first, because
//     pending calls still need the core, the pool and discovery while the front drains.
//  3. Run waits for all goroutines. The core waits for its attempts; the pool closes its connections last.
package agent
