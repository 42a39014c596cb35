// Package processrig runs real agent processes against the emulated nodes of an emulator.World on loopback, and injects process faults.
// A process can be killed with SIGKILL, ended with SIGTERM, paused with SIGSTOP and resumed with SIGCONT, once or periodically, and
// restarted with or without the state that it persisted. Network faults are injected elsewhere: the relays of the World shape the paths
// between agents and nodes, and a link.Mesh shapes those between agents that gossip (see Peers).
//
//	process, err := processrig.Start(world, 0, []string{"ryeweir", "agent"}, dir, emulator.DefaultLimits(), nil)
//	if err := process.Ready(ctx); err != nil { ... }
//	process.Kill()
//	err = process.Restart(true)
//	cpu, err := process.Stop()
//
// The process that uses this package is called the rig. Each agent is a child in a process group of its own, so that Ctrl-C reaches
// only the rig. If the rig dies, no agent is left running: the kernel sends a child SIGKILL when the thread that started it ends
// (Pdeathsig). Every child is waited for.
package processrig
