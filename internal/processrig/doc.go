// Package processrig runs real agent processes beside an emulator.World of nodes on loopback, and injects the faults of processes
// in a fleet. A process can be killed with SIGKILL, ended with SIGTERM, paused with SIGSTOP and resumed with SIGCONT, once or
// periodically, and started again, with the state that it persisted or without. The world's relays shape the paths between agents
// and nodes; a link.Mesh shapes those between agents that gossip (see Peers).
//
//	process, err := processrig.Start(world, 0, []string{"ryeweir", "agent"}, dir, emulator.DefaultLimits(), nil)
//	if err := process.Ready(ctx); err != nil { ... }
//	process.Kill()
//	err = process.Restart(true)
//	cpu, err := process.Stop()
//
// Each child is in a process group of its own, so that Ctrl-C reaches the rig alone, and gets SIGKILL from the kernel when the
// thread that started it ends (Pdeathsig): a rig that dies leaves no agent behind. Every child is waited for.
package processrig
