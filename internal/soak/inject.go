package soak

import (
	"context"
	"syscall"
	"time"

	"ryeweir/internal/emulator/link"
)

// inject injects one fault into its target, and returns when it has ended.
func (p *soakRun) inject(ctx context.Context, fault Fault) {
	switch fault.Kind {
	case AgentTerm, AgentKill, AgentPause, AgentReload, AgentMove, AgentThereBack, AgentDrain:
		p.injectAgentFault(ctx, p.agents[fault.Target], fault)
	case ServerDrain, ServerCrash, ServerPause, ServerMode, ServerResets:
		p.injectServerFault(ctx, fault.Target, fault)
	case PathCut, PathSlow, PathReset:
		p.injectPathFault(ctx, fault)
	case DiscoveryDown, DiscoverySilent, DiscoveryReset, DiscoverySlow, DiscoveryPieces:
		p.injectDiscoveryFault(ctx, p.agents[fault.Target], fault)
	case ClientBurst, IdleClients:
		p.injectClientFault(ctx, fault)
	case ClockStep:
		p.stepClocks(fault)
	default:
		p.injectSystemCallFault(ctx, p.agents[fault.Target], fault)
	}
}

func (p *soakRun) injectAgentFault(ctx context.Context, target *agent, fault Fault) {
	target.mu.Lock()
	process, incarnation, busy := target.child, target.current(), target.ending
	if ending := fault.Kind == AgentTerm || fault.Kind == AgentKill; ending && !busy {
		target.ending = true
	}
	target.mu.Unlock()
	if !process.alive() || busy {
		return
	}
	switch fault.Kind {
	case AgentTerm:
		target.mu.Lock()
		incarnation.termAt = monotonic()
		target.mu.Unlock()
		process.signal(syscall.SIGTERM)
		select {
		case <-process.ended:
		case <-time.After(shutdownTimeout):
			p.reportViolation("end", "agent %d has not ended %v after SIGTERM", target.number, shutdownTimeout)
			process.kill()
		}
		p.restartAgent(ctx, target)
	case AgentKill:
		target.mu.Lock()
		incarnation.killedAt = monotonic()
		target.mu.Unlock()
		process.kill()
		sleep(ctx, fault.Duration/5)
		p.restartAgent(ctx, target)
	case AgentPause:
		process.signal(syscall.SIGSTOP)
		from := monotonic()
		sleep(ctx, fault.Duration)
		process.signal(syscall.SIGCONT)
		target.mu.Lock()
		incarnation.paused = append(incarnation.paused, span{from, monotonic()})
		target.mu.Unlock()
	case AgentReload:
		process.signal(syscall.SIGHUP)
	case AgentMove:
		p.switchDiscovery(target, process)
	case AgentThereBack:
		p.switchDiscoveryAndBack(ctx, target, process, fault)
	case AgentDrain:
		target.postControl("drain")
		sleep(ctx, fault.Duration)
		target.postControl("activate")
	}
}

func (p *soakRun) restartAgent(ctx context.Context, a *agent) {
	if ctx.Err() != nil {
		return
	}
	if err := a.start(p.opts.Program, p.seed(), p.agentArgs()...); err != nil {
		p.reportViolation("start", "agent %d: %v", a.number, err)
		return
	}
	a.mu.Lock()
	incarnation := a.current()
	a.mu.Unlock()
	err := a.awaitReady(ctx, readyTimeout)
	a.mu.Lock()
	stopping := incarnation.killedAt > 0 || incarnation.termAt > 0 // another fault ended it as it started
	a.mu.Unlock()
	if err != nil && ctx.Err() == nil && !stopping {
		p.reportViolation("start", "%v", err)
	}
}

// writeConfig replaces the configuration of an agent, as the platform does before SIGHUP.
func (p *soakRun) writeConfig(a *agent, discovery string) {
	if err := replaceFile(a.configFile(), a.renderConfig(discovery)); err != nil {
		p.reportViolation("soak", "configuration of agent %d: %v", a.number, err)
	}
}

// switchDiscovery points an agent to another discovery. The old one closes what is open after 1.5 s.
func (p *soakRun) switchDiscovery(a *agent, process *child) {
	other, err := p.newDiscovery(a.number)
	if err != nil {
		p.reportViolation("soak", "discovery of agent %d: %v", a.number, err)
		return
	}
	a.mu.Lock()
	old := a.discovery
	a.discovery = other
	a.discoveries = append(a.discoveries, other)
	a.mu.Unlock()
	p.writeConfig(a, other.addr)
	process.signal(syscall.SIGHUP)
	time.AfterFunc(1500*time.Millisecond, old.close)
}

// switchDiscoveryAndBack points an agent to another discovery and, before it can have got far, back.
func (p *soakRun) switchDiscoveryAndBack(ctx context.Context, a *agent, process *child, fault Fault) {
	a.mu.Lock()
	current := a.discovery
	a.mu.Unlock()
	p.writeConfig(a, discoveryHost+":1")
	process.signal(syscall.SIGHUP)
	sleep(ctx, fault.Duration/1000)
	p.writeConfig(a, current.addr)
	process.signal(syscall.SIGHUP)
}

// injectSystemCallFault lets calls of an agent's machine fail.
func (p *soakRun) injectSystemCallFault(ctx context.Context, target *agent, fault Fault) {
	target.mu.Lock()
	process, incarnation := target.child, target.current()
	target.mu.Unlock()
	note := func(list *[]span, duration time.Duration) {
		target.mu.Lock()
		defer target.mu.Unlock()
		now := monotonic()
		*list = append(*list, span{now, now + duration})
	}
	switch fault.Kind {
	case AgentHold:
		note(&incarnation.stalls, fault.Duration)
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
		note(&incarnation.clientReadFaults, 3*time.Second)
		process.send("clientread %s %d", fault.Detail, fault.Count)
	case ShortReads: // a long body takes many reads, which stall the agent
		note(&incarnation.stalls, fault.Duration)
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

func (p *soakRun) stepClocks(fault Fault) {
	step, err := time.ParseDuration(fault.Detail)
	if err != nil {
		p.reportViolation("soak", "%v", err)
		return
	}
	p.mu.Lock()
	p.clockOffset += step
	now := p.clockOffset
	p.mu.Unlock()
	for _, a := range p.agents {
		a.mu.Lock()
		c := a.child
		a.mu.Unlock()
		c.send("clock %s", now)
	}
}

func (p *soakRun) injectServerFault(ctx context.Context, number int, fault Fault) {
	target := p.servers[number]
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
		p.drainServer(ctx, number, process, fault)
	case ServerCrash:
		process.kill()
		sleep(ctx, fault.Duration/3)
		p.restartServer(ctx, number)
	}
}

// drainServer lets a server drain, go and start anew.
func (p *soakRun) drainServer(ctx context.Context, number int, process *child, fault Fault) {
	listed := p.registry.get(p.servers[number].id)
	if listed.State != ready {
		return
	}
	listed.State = terminating
	p.registry.set(listed)
	drainFor := fault.Duration + time.Second
	if fault.Count > 2 {
		drainFor += notificationBound + time.Second // until all agents must be notified
	}
	sleep(ctx, drainFor)
	if !process.alive() {
		return // it crashed meanwhile, and comes back by that
	}
	listed.State = removed
	p.registry.set(listed)
	sleep(ctx, fault.Duration/4)
	process.kill()
	p.restartServer(ctx, number)
}

// restartServer starts the next process of a server, in slow start, and lists it.
func (p *soakRun) restartServer(ctx context.Context, number int) {
	if ctx.Err() != nil {
		return
	}
	s := p.servers[number]
	if err := s.start(p.opts.Program, p.seed()); err != nil {
		p.reportViolation("soak", "server %d: %v", number, err)
		return
	}
	s.mu.Lock()
	s.slowStarts = append(s.slowStarts, monotonic())
	s.mu.Unlock()
	if err := p.announce(number, p.wallMS()); err != nil {
		p.reportViolation("soak", "server %d: %v", number, err)
	}
}

func (p *soakRun) injectPathFault(ctx context.Context, fault Fault) {
	number := fault.Target | 1 // these have a path of their own
	if number >= len(p.paths) {
		return
	}
	way := p.paths[number]
	conditions := map[FaultKind]link.Conditions{PathCut: {Cut: true}, PathSlow: {Delay: 40 * time.Millisecond, Jitter: 60 * time.Millisecond}}[fault.Kind]
	set := func(c link.Conditions) {
		way.mu.Lock()
		defer way.mu.Unlock()
		way.conditions = c
		way.relay.Set(c, c)
	}
	from := monotonic()
	if fault.Kind == PathReset {
		way.mu.Lock()
		way.relay.Reset()
		way.mu.Unlock()
	} else {
		set(conditions)
		sleep(ctx, fault.Duration)
		set(link.Conditions{})
	}
	way.mu.Lock()
	way.disturbed = append(way.disturbed, span{from, monotonic()})
	way.mu.Unlock()
}

func (p *soakRun) injectDiscoveryFault(ctx context.Context, a *agent, fault Fault) {
	a.mu.Lock()
	d := a.discovery
	a.mu.Unlock()
	switch fault.Kind {
	case DiscoveryDown:
		d.setFault(func() { d.down = true })
		d.reset()
		sleep(ctx, fault.Duration*2)
		d.setFault(func() { d.down = false })
	case DiscoverySilent:
		d.silenceWatches()
	case DiscoveryReset:
		d.setFault(func() { d.hideDraining = true })
		d.reset()
	case DiscoverySlow:
		d.setFault(func() { d.slow = 300 * time.Millisecond })
		sleep(ctx, fault.Duration)
		d.setFault(func() { d.slow = 0 })
	case DiscoveryPieces:
		d.setFault(func() { d.pieces = true })
		sleep(ctx, fault.Duration*2)
		d.setFault(func() { d.pieces = false })
	}
}

func (p *soakRun) injectClientFault(ctx context.Context, fault Fault) {
	c := p.clients[fault.Target]
	if fault.Kind == IdleClients {
		from := monotonic()
		c.holdIdleConnections(ctx, agentFiles, fault.Duration)
		p.mu.Lock()
		p.overConnectionLimit[fault.Target] = append(p.overConnectionLimit[fault.Target], span{from, monotonic()})
		p.mu.Unlock()
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
