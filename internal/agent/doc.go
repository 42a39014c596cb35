// Package agent assembles an agent from its subsystems: the core with its decision module, a frontend that serves clients, an upstream
// with its connection pool, a discovery client, and optionally the exchange with peers and the operators' address.
//
// # Start
//
// [Run] builds every subsystem (newAgent) before it starts any, so that a configuration that can't be used is reported before a
// client is accepted. A subsystem is built after those that it depends on:
//
//  1. the decision module, with the knowledge that the previous process saved
//  2. the connection pool, the upstream and the health checker
//  3. the fleet's budget, peers and the core
//  4. discovery, which delivers endpoint lists to the core, or to peers, which pass them on to the core
//  5. the frontend
//
// Run then starts the goroutines of all subsystems but the frontend (start). The frontend serves on the goroutine of Run until the
// agent has drained.
//
// # Stop
//
// An agent stops in three steps, which two contexts control:
//
//  1. The context of Run ends, on SIGTERM. The frontend drains: it reports that the agent is not ready, accepts new connections for
//     platform.Config.AcceptWindow, closes the client listener, and answers the pending requests. The snapshot is saved for the last
//     time when the context ends, so what is learned during the drain is not saved.
//  2. When the frontend has returned, the background context is cancelled. The end of the first context does not cancel it, because
//     pending calls need the core, the pool and discovery while the frontend drains.
//  3. Run waits for all goroutines. The core waits for its attempts; the pool closes its connections last.
package agent
