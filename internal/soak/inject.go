package soak

import (
	"context"
	"syscall"
	"time"

	"ryeweir/internal/crowd"
	"ryeweir/internal/emulator/link"
)

// inject injects one fault into its target, and returns when the fault has ended.
func (r *soakRun) inject(ctx context.Context, fault Fault) {
	switch fault.Kind {
	case AgentTerm, AgentKill, AgentPause, AgentThrottle, AgentReload, AgentMove, AgentMoveAndBack, AgentDrain:
		r.injectAgentFault(ctx, r.agents[fault.Target], fault)
	case ServerDrain, ServerCrash, ServerPause, ServerMode, ServerResets, ServerReplaced:
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

// injectServerFault injects a fault into the process of a server. It does nothing if the process has exited.
func (r *soakRun) injectServerFault(ctx context.Context, number int, fault Fault) {
	target := r.servers[number]
	target.mu.Lock()
	process := target.child
	target.mu.Unlock()
	if !process.alive() {
		return
	}
	switch fault.Kind {
	case ServerMode:
		process.send("mode %s 0.5", fault.Detail)
		sleep(ctx, fault.Duration)
		process.send("mode %s 0", fault.Detail)
	case ServerResets:
		process.send("resetall")
	case ServerPause:
		process.signal(syscall.SIGSTOP)
		from := monotonic()
		sleep(ctx, fault.Duration)
		process.signal(syscall.SIGCONT)
		target.mu.Lock()
		target.paused = append(target.paused, span{from, monotonic()})
		target.mu.Unlock()
	case ServerDrain:
		r.drainServer(ctx, number, process, fault)
	case ServerReplaced:
		r.replaceServer(ctx, number, process, fault)
	case ServerCrash:
		process.kill()
		sleep(ctx, fault.Duration/3)
		r.restartServer(ctx, number)
	}
}

// drainServer lists a server as draining, then as removed, stops its process and starts the next one.
func (r *soakRun) drainServer(ctx context.Context, number int, process *child, fault Fault) {
	listed := r.registry.get(r.servers[number].currentID())
	if listed.State != ready {
		return
	}
	listed.State = terminating
	r.registry.set(listed)
	drainFor := fault.Duration + time.Second
	if fault.Count > 2 {
		drainFor += notificationBound + time.Second // until all agents are presumed to be notified
	}
	sleep(ctx, drainFor)
	if !process.alive() {
		return // the fault that killed it in the meantime also restarts it
	}
	listed.State = removed
	r.registry.set(listed)
	sleep(ctx, fault.Duration/4)
	process.kill()
	r.restartServer(ctx, number)
}

// replaceServer kills a server and starts a process with another ID at its address. The new entry is listed at once, the old one goes later. Servers
// with a relay have another address for each process, so that they are left alone.
func (r *soakRun) replaceServer(ctx context.Context, number int, process *child, fault Fault) {
	s := r.servers[number]
	former := r.registry.get(s.currentID())
	if r.relayPaths[number] != nil || former.State != ready {
		return
	}
	process.kill()
	s.rename()
	if !r.restartServerAt(ctx, number, former.Addr) {
		return
	}
	sleep(ctx, fault.Duration)
	former.State = removed
	r.registry.set(former)
}

// restartServer starts the next process of a server and lists it as just started, so that agents put it in slow start.
func (r *soakRun) restartServer(ctx context.Context, number int) {
	r.restartServerAt(ctx, number, serverHost+":0")
}

// restartServerAt is restartServer with an address to listen on. It returns false if the process could not be started and listed.
func (r *soakRun) restartServerAt(ctx context.Context, number int, addr string) bool {
	if ctx.Err() != nil {
		return false
	}
	s := r.servers[number]
	if err := s.start(r.opts.Program, r.drawSeed(), addr); err != nil {
		r.reportViolation("soak", "server %d could not be started: %v", number, err)
		return false
	}
	s.mu.Lock()
	s.slowStarts = append(s.slowStarts, monotonic())
	s.mu.Unlock()
	if err := r.announce(number, r.timeOfDayMS()); err != nil {
		r.reportViolation("soak", "server %d could not be listed: %v", number, err)
		return false
	}
	return true
}

// injectPathFault injects a fault into the path to a server, and records when the path was affected.
func (r *soakRun) injectPathFault(ctx context.Context, fault Fault) {
	number := fault.Target | 1 // only servers with odd numbers have a relay
	if number >= len(r.relayPaths) {
		return
	}
	path := r.relayPaths[number]
	conditions := map[FaultKind]link.Conditions{PathCut: {Cut: true}, PathSlow: {Delay: 40 * time.Millisecond, Jitter: 60 * time.Millisecond}}[fault.Kind]
	set := func(c link.Conditions) {
		path.mu.Lock()
		defer path.mu.Unlock()
		path.conditions = c
		path.relay.Set(c, c)
	}
	from := monotonic()
	if fault.Kind == PathReset {
		path.mu.Lock()
		path.relay.Reset()
		path.mu.Unlock()
	} else {
		set(conditions)
		sleep(ctx, fault.Duration)
		set(link.Conditions{})
	}
	path.mu.Lock()
	path.disturbed = append(path.disturbed, span{from, monotonic()})
	path.mu.Unlock()
}

// injectDiscoveryFault injects a fault into the current discovery service of an agent.
func (r *soakRun) injectDiscoveryFault(ctx context.Context, a *agent, fault Fault) {
	a.mu.Lock()
	d := a.discovery
	a.mu.Unlock()
	switch fault.Kind {
	case DiscoveryDown:
		d.setFault(func() { d.down = true })
		d.abortCalls()
		sleep(ctx, fault.Duration*2)
		d.setFault(func() { d.down = false })
	case DiscoverySilent:
		d.silenceCalls()
	case DiscoveryReset:
		d.setFault(func() { d.hideDraining = true })
		d.abortCalls()
	case DiscoverySlow:
		d.setFault(func() { d.responseDelay = 300 * time.Millisecond })
		sleep(ctx, fault.Duration)
		d.setFault(func() { d.responseDelay = 0 })
	case DiscoveryPieces:
		d.setFault(func() { d.inPieces = true })
		sleep(ctx, fault.Duration*2)
		d.setFault(func() { d.inPieces = false })
	}
}

// Sizes of crowds and floods.
const (
	strainingClients = 330
	floodingClients  = 6
)

// recordOverLimit records that an agent may have been at its limit of connections since a time.
func (r *soakRun) recordOverLimit(agent int, from time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overConnectionLimit[agent] = append(r.overConnectionLimit[agent], span{from, monotonic()})
}

// injectClientFault makes clients of the target agent misbehave, or lets a crowd or a flood of other clients come.
func (r *soakRun) injectClientFault(ctx context.Context, fault Fault) {
	c := r.clients[fault.Target]
	from := monotonic()
	switch fault.Kind {
	case IdleConnections:
		c.holdIdleConnections(ctx, r.plan.Descriptors, fault.Duration)
		r.recordOverLimit(fault.Target, from)
		return
	case StrainingCrowd:
		straining, end := context.WithTimeout(ctx, fault.Duration)
		defer end()
		crowd.Hold(straining, c.agent.listen, strainingClients, crowd.Behavior(fault.Detail), r.plan.example(idempotent), r.plan.example(nonIdempotent))
		r.recordOverLimit(fault.Target, from)
		return
	case RequestFlood:
		flooding, end := context.WithTimeout(ctx, fault.Duration)
		defer end()
		crowd.Flood(flooding, c.agent.listen, floodingClients, crowd.FloodKind(fault.Detail), r.plan.example(nonIdempotent))
		return
	}
	c.mu.Lock()
	c.burstBehavior = clientBehavior(fault.Detail)
	c.mu.Unlock()
	sleep(ctx, fault.Duration)
	c.mu.Lock()
	c.burstBehavior = ""
	c.mu.Unlock()
}
