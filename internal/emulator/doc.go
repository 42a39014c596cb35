// Package emulator runs the environment of an agent: order nodes, discovery, a network with faults, callers, and a referee
// that checks the agent's behavior. It imports no code of the agent.
//
// A ScenarioSpec is the contents of a TOML file that describes a run. Draw turns a spec and a seed into a Scenario: the nodes,
// the planned requests, and the node or agent and the time of each fault. Equal specs and seeds give equal scenarios, so that
// two variants of an agent can be compared under the same load and the same faults.
//
// A World runs a Scenario, in real time or in the fake time of testing/synctest:
//
//	scenario, err := spec.Draw(seed)
//	world, err := emulator.Start(ctx, scenario, &emulator.LoopbackNetwork{}, true)
//	... start the agents with scenario.AgentConfig and wait until they are ready ...
//	world.InjectFaults()
//	calls, figures := world.RunCallers(ctx, route, false, nil)
//	account := world.Referee.Account()
//	world.Close()
//
// Each part has its own package. The simulation of internal/experiment uses those without I/O too:
//
//   - node: the model of an order node, without I/O
//   - backend: serves a node over HTTP on a listener
//   - discovery: the endpoint list over HTTP
//   - link: an in-memory network, and relays on loopback, with faults
//   - callers: the planned requests, and clients that send them
//   - referee: the outcomes of a run's requests, and the violations with their evidence
//   - peer: a scripted HTTP peer for tests
//
// Times of a Scenario are relative to its beginning, which is the call of World.InjectFaults. Times of a World, its nodes and
// its referee are relative to World.Epoch.
package emulator
