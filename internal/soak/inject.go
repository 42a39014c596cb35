package soak

import (
	"context"
	"syscall"
	"time"
)

// inject injects one fault into its target, and returns when the fault has ended.
func (r *soakRun) inject(ctx context.Context, fault Fault) {
	switch fault.Kind {
	case AgentTerm, AgentKill, AgentPause, AgentThrottle, AgentReload, AgentMove, AgentMoveAndBack, AgentDrain:
		r.injectAgentFault(ctx, r.agents[fault.Target], fault)
	case ServerDrain, ServerCrash, ServerPause, ServerMode, ServerSlow, ServerResets, ServerReplaced:
		r.injectServerFault(ctx, fault.Target, fault)
	case PathCut, PathSlow, PathReset:
		r.injectPathFault(ctx, fault)
	case DiscoveryDown, DiscoverySilent, DiscoveryReset, DiscoverySlow, DiscoveryPieces:
		r.injectDiscoveryFault(ctx, r.agents[fault.Target], fault)
	case ClientBurst, IdleConnections, StrainingCrowd, RequestFlood:
		r.injectClientFault(ctx, fault)
	case ClockStep:
		r.stepClocks(fault)
	default:
		r.injectSystemCallFault(ctx, r.agents[fault.Target], fault)
	}
}

// injectAgentFault injects a fault into the process of an agent. It does nothing if the process has exited or another fault is ending it.
func (r *soakRun) injectAgentFault(ctx context.Context, target *agent, fault Fault) {
	target.mu.Lock()
	process, incarnation, alreadyEnding := target.child, target.current(), target.ending
	if ending := fault.Kind == AgentTerm || fault.Kind == AgentKill; ending && !alreadyEnding {
		target.ending = true
	}
	target.mu.Unlock()
	if !process.alive() || alreadyEnding {
		return
	}
	switch fault.Kind {
	case AgentTerm:
		r.terminate(ctx, target, process, incarnation, fault)
	case AgentKill:
		target.mu.Lock()
		incarnation.killedAt = monotonic()
		target.mu.Unlock()
		process.kill()
		sleep(ctx, fault.Duration/5)
		r.restartAgent(ctx, target)
	case AgentPause:
		process.signal(syscall.SIGSTOP)
		from := monotonic()
		sleep(ctx, fault.Duration)
		process.signal(syscall.SIGCONT)
		target.mu.Lock()
		incarnation.paused = append(incarnation.paused, span{from, monotonic()})
		target.mu.Unlock()
	case AgentThrottle:
		r.throttle(ctx, target, process, incarnation, fault)
	case AgentReload:
		process.signal(syscall.SIGHUP)
	case AgentMove:
		r.switchDiscovery(target, process)
	case AgentMoveAndBack:
		r.switchDiscoveryAndBack(ctx, target, process, fault)
	case AgentDrain:
		target.postControl("drain")
		sleep(ctx, fault.Duration)
		target.postControl("activate")
	}
}

// terminate sends SIGTERM, in half of the cases within a series of signals, and SIGKILL as early as the platform may: the longest deadline and
// killMargin later. Then it starts the next process.
func (r *soakRun) terminate(ctx context.Context, target *agent, process *child, incarnation *agentIncarnation, fault Fault) {
	if fault.Count%2 == 0 {
		process.signal(syscall.SIGHUP)
	}
	target.mu.Lock()
	incarnation.termAt = monotonic()
	target.mu.Unlock()
	process.signal(syscall.SIGTERM)
	if fault.Count%2 == 0 {
		process.signal(syscall.SIGHUP)
		process.signal(syscall.SIGTERM)
	}
	select {
	case <-process.ended:
	case <-time.After(r.plan.longestDeadline() + killMargin):
		target.mu.Lock()
		incarnation.killedAt = monotonic()
		target.mu.Unlock()
		process.kill()
	}
	r.restartAgent(ctx, target)
}

// The slices of a throttled agent.
const (
	throttleRun  = 25 * time.Millisecond
	throttleStop = 75 * time.Millisecond
)

// throttle stops and continues a process in turn for the duration of the fault.
func (r *soakRun) throttle(ctx context.Context, target *agent, process *child, incarnation *agentIncarnation, fault Fault) {
	for end := monotonic() + fault.Duration; monotonic() < end && process.alive(); {
		process.signal(syscall.SIGSTOP)
		from := monotonic()
		sleep(ctx, throttleStop)
		process.signal(syscall.SIGCONT)
		target.mu.Lock()
		incarnation.paused = append(incarnation.paused, span{from, monotonic()})
		target.mu.Unlock()
		sleep(ctx, throttleRun)
	}
}

// restartAgent starts the next process of an agent and waits until it is ready. It reports a violation if the process does not become ready
// and no other fault ended it.
func (r *soakRun) restartAgent(ctx context.Context, a *agent) {
	if ctx.Err() != nil {
		return
	}
	if err := a.start(r.opts.Program, r.drawSeed(), r.agentArgs()...); err != nil {
		r.reportViolation("start", "agent %d could not be started: %v", a.number, err)
		return
	}
	a.mu.Lock()
	incarnation := a.current()
	a.mu.Unlock()
	err := a.awaitReady(ctx, readyTimeout)
	a.mu.Lock()
	stopping := incarnation.killedAt > 0 || incarnation.termAt > 0 // another fault ended it while it started
	a.mu.Unlock()
	if err != nil && ctx.Err() == nil && !stopping {
		r.reportViolation("start", "%v", err)
	}
}

// writeConfig replaces the configuration file of an agent, as the deployment platform does before it sends SIGHUP.
func (r *soakRun) writeConfig(a *agent, discovery string) {
	if err := replaceFile(a.configFile(), a.renderConfig(discovery)); err != nil {
		r.reportViolation("soak", "the configuration of agent %d could not be written: %v", a.number, err)
	}
}

// switchDiscovery points an agent to a new discovery service. The old one closes its connections after 1.5 s.
func (r *soakRun) switchDiscovery(a *agent, process *child) {
	other, err := r.newDiscovery(a.number)
	if err != nil {
		r.reportViolation("soak", "a new discovery service for agent %d could not be started: %v", a.number, err)
		return
	}
	a.mu.Lock()
	old := a.discovery
	a.discovery = other
	a.discoveries = append(a.discoveries, other)
	a.mu.Unlock()
	r.writeConfig(a, other.addr)
	process.signal(syscall.SIGHUP)
	time.AfterFunc(1500*time.Millisecond, old.close)
}

// switchDiscoveryAndBack points an agent to an address without a discovery service and back again within a few ms, before the agent can
// have applied the first change completely.
func (r *soakRun) switchDiscoveryAndBack(ctx context.Context, a *agent, process *child, fault Fault) {
	a.mu.Lock()
	current := a.discovery
	a.mu.Unlock()
	r.writeConfig(a, discoveryHost+":1")
	process.signal(syscall.SIGHUP)
	sleep(ctx, fault.Duration/1000)
	r.writeConfig(a, current.addr)
	process.signal(syscall.SIGHUP)
}

// injectSystemCallFault makes system calls of an agent fail or stall. Most of these faults are commands to the agent's faultshim.
func (r *soakRun) injectSystemCallFault(ctx context.Context, target *agent, fault Fault) {
	target.mu.Lock()
	process, incarnation := target.child, target.current()
	target.mu.Unlock()
	recordSpan := func(list *[]span, duration time.Duration) {
		target.mu.Lock()
		defer target.mu.Unlock()
		now := monotonic()
		*list = append(*list, span{now, now + duration})
	}
	switch fault.Kind {
	case AgentWriteStall:
		recordSpan(&incarnation.stalls, fault.Duration)
		process.send("hold 150ms %d", 2+fault.Count)
	case AcceptFails:
		process.send("accept %s %d", fault.Detail, fault.Count)
	case ConnectFails:
		process.send("connect %s %d", fault.Detail, fault.Count)
	case ServerReadFails:
		process.send("serverread %s %d", fault.Detail, fault.Count)
	case ServerWriteFails:
		process.send("serverwrite %s %d", fault.Detail, fault.Count)
	case ClientReadFails:
		recordSpan(&incarnation.clientReadFaults, 3*time.Second)
		process.send("clientread %s %d", fault.Detail, fault.Count)
	case ShortReads: // a long body then needs many reads, which stall the agent
		recordSpan(&incarnation.stalls, fault.Duration)
		process.send("shortread %s", fault.Duration)
	case DiskFails:
		process.send("disk %s", fault.Detail)
		sleep(ctx, fault.Duration)
		process.send("disk ok")
	case LogStalls:
		target.stallLog.Store(true)
		sleep(ctx, fault.Duration)
		target.stallLog.Store(false)
	}
}

// stepClocks adds the step of the fault to the time of day of all agents, and to the start times that are listed for servers from then on.
// The clocks of the servers' processes are not stepped. The step is permanent.
func (r *soakRun) stepClocks(fault Fault) {
	step, err := time.ParseDuration(fault.Detail)
	if err != nil {
		r.reportViolation("soak", "the clock step of a fault could not be parsed: %v", err)
		return
	}
	r.mu.Lock()
	r.clockOffset += step
	now := r.clockOffset
	r.mu.Unlock()
	for _, a := range r.agents {
		a.mu.Lock()
		c := a.child
		a.mu.Unlock()
		c.send("clock %s", now)
	}
}
