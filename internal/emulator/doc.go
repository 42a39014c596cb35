// Package emulator runs the environment of an agent: order nodes, discovery, a network with faults, callers, and a referee
// that judges the agent. It imports nothing of the agent.
//
// A ScenarioSpec says in a TOML file what a run is like. Draw turns it and a seed into a Scenario: the nodes, the plan of
// requests, and which node or agent each fault hits and when. Equal specs and seeds draw equal scenarios, so that two
// variants of an agent can be compared on the same load and the same faults.
//
// A World runs a Scenario in real or fake time:
//
//	scenario, err := spec.Draw(seed)
//	world, err := emulator.Start(ctx, scenario, &emulator.LoopbackNetwork{}, true)
//	... start the agents with scenario.AgentConfig and wait until they are ready ...
//	world.InjectFaults()
//	calls, figures := world.RunCallers(ctx, route, false, nil)
//	account := world.Referee.Account()
//	world.Close()
//
// The parts are packages of their own. Those without I/O also serve the simulation of internal/experiment:
//
//   - node: the model of an order node, without I/O
//   - backend: a node on a listener
//   - discovery: the endpoint list over HTTP
//   - link: a network in memory, and relays on loopback, with faults
//   - callers: the plan of requests, and clients that send it
//   - referee: the account of a run, and the violations with their evidence
//   - peer: a scripted HTTP peer for tests
//
// Times of a Scenario count from its beginning, which is when World.InjectFaults is called; times of a World, its nodes
// and its referee count from World.Epoch.
package emulator
