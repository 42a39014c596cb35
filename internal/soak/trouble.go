package soak

import (
	"context"
	"syscall"
	"time"

	"ryeweir/internal/emulator/link"
)

// happen lets one trouble befall its target, and returns when it is over.
func (p *play) happen(ctx context.Context, t Fault) {
	switch t.Kind {
	case AgentTerm, AgentKill, AgentPause, AgentReload, AgentMove, AgentThereBack, AgentDrain:
		p.befallAgent(ctx, p.agents[t.Target], t)
	case ServerDrain, ServerCrash, ServerPause, ServerMode, ServerResets:
		p.befallServer(ctx, t.Target, t)
	case PathCut, PathSlow, PathReset:
		p.befallPath(ctx, t)
	case DiscoveryDown, DiscoverySilent, DiscoveryReset, DiscoverySlow, DiscoveryPieces:
		p.befallDiscovery(ctx, p.agents[t.Target], t)
	case ClientBurst, ClientCrowd:
		p.befallClients(ctx, t)
	case ClockStep:
		p.stepClocks(t)
	default:
		p.befallMachine(ctx, p.agents[t.Target], t)
	}
}

func (p *play) befallAgent(ctx context.Context, a *agent, t Fault) {
	a.mu.Lock()
	c, life, busy := a.child, a.life(), a.expectEnd
	if ending := t.Kind == AgentTerm || t.Kind == AgentKill; ending && !busy {
		a.expectEnd = true
	}
	a.mu.Unlock()
	if !c.alive() || busy {
		return
	}
	switch t.Kind {
	case AgentTerm:
		a.mu.Lock()
		life.term = monotonic()
		a.mu.Unlock()
		c.signal(syscall.SIGTERM)
		select {
		case <-c.ended:
		case <-time.After(endWithin):
			p.problem("end", "agent %d has not ended %v after SIGTERM", a.number, endWithin)
			c.kill()
		}
		p.restart(ctx, a)
	case AgentKill:
		a.mu.Lock()
		life.killed = monotonic()
		a.mu.Unlock()
		c.kill()
		sleep(ctx, t.Duration/5)
		p.restart(ctx, a)
	case AgentPause:
		c.signal(syscall.SIGSTOP)
		from := monotonic()
		sleep(ctx, t.Duration)
		c.signal(syscall.SIGCONT)
		a.mu.Lock()
		life.paused = append(life.paused, span{from, monotonic()})
		a.mu.Unlock()
	case AgentReload:
		c.signal(syscall.SIGHUP)
	case AgentMove:
		p.move(a, c)
	case AgentThereBack:
		p.thereAndBack(ctx, a, c, t)
	case AgentDrain:
		a.steer("drain")
		sleep(ctx, t.Duration)
		a.steer("activate")
	}
}

func (p *play) restart(ctx context.Context, a *agent) {
	if ctx.Err() != nil {
		return
	}
	if err := a.start(p.opts.Program, p.seed(), p.agentArgs()...); err != nil {
		p.problem("start", "agent %d: %v", a.number, err)
		return
	}
	a.mu.Lock()
	life := a.life()
	a.mu.Unlock()
	err := a.awaitReady(ctx, readyWithin)
	a.mu.Lock()
	told := life.killed > 0 || life.term > 0 // another trouble ended it as it started
	a.mu.Unlock()
	if err != nil && ctx.Err() == nil && !told {
		p.problem("start", "%v", err)
	}
}

// writeConfig replaces the configuration of an agent, as the platform does before SIGHUP.
func (p *play) writeConfig(a *agent, discovery string) {
	if err := replaceFile(a.configFile(), a.config(discovery)); err != nil {
		p.problem("soak", "configuration of agent %d: %v", a.number, err)
	}
}

// move points an agent to another discovery. The old one closes what is open after 1.5 s.
func (p *play) move(a *agent, c *child) {
	other, err := p.newDiscovery(a.number)
	if err != nil {
		p.problem("soak", "discovery of agent %d: %v", a.number, err)
		return
	}
	a.mu.Lock()
	old := a.disco
	a.disco = other
	a.discos = append(a.discos, other)
	a.mu.Unlock()
	p.writeConfig(a, other.at)
	c.signal(syscall.SIGHUP)
	time.AfterFunc(1500*time.Millisecond, old.close)
}

// thereAndBack points an agent to another discovery and, before it can have got far, back.
func (p *play) thereAndBack(ctx context.Context, a *agent, c *child, t Fault) {
	a.mu.Lock()
	home := a.disco
	a.mu.Unlock()
	p.writeConfig(a, discoveryHost+":1")
	c.signal(syscall.SIGHUP)
	sleep(ctx, t.Duration/1000)
	p.writeConfig(a, home.at)
	c.signal(syscall.SIGHUP)
}

// befallMachine lets calls of an agent's machine fail.
func (p *play) befallMachine(ctx context.Context, a *agent, t Fault) {
	a.mu.Lock()
	c, life := a.child, a.life()
	a.mu.Unlock()
	note := func(list *[]span, lasts time.Duration) {
		a.mu.Lock()
		defer a.mu.Unlock()
		now := monotonic()
		*list = append(*list, span{now, now + lasts})
	}
	switch t.Kind {
	case AgentHold:
		note(&life.holds, t.Duration)
		c.command("hold 150ms %d", 2+t.Count)
	case AcceptFails:
		c.command("accept %s %d", t.Detail, t.Count)
	case ConnectFails:
		c.command("connect %s %d", t.Detail, t.Count)
	case ServerReadFails:
		c.command("serverread %s %d", t.Detail, t.Count)
	case ServerWriteFails:
		c.command("serverwrite %s %d", t.Detail, t.Count)
	case ClientReadFails:
		note(&life.faults, 3*time.Second)
		c.command("clientread %s %d", t.Detail, t.Count)
	case ShortReads: // a long body takes so many reads that the agent is held up
		note(&life.holds, t.Duration)
		c.command("shortread %s", t.Duration)
	case DiskFails:
		c.command("disk %s", t.Detail)
		sleep(ctx, t.Duration)
		c.command("disk ok")
	case LogStalls:
		a.stallLog.Store(true)
		sleep(ctx, t.Duration)
		a.stallLog.Store(false)
	}
}

func (p *play) stepClocks(t Fault) {
	step, err := time.ParseDuration(t.Detail)
	if err != nil {
		p.problem("soak", "%v", err)
		return
	}
	p.mu.Lock()
	p.wallStep += step
	now := p.wallStep
	p.mu.Unlock()
	for _, a := range p.agents {
		a.mu.Lock()
		c := a.child
		a.mu.Unlock()
		c.command("clock %s", now)
	}
}

func (p *play) befallServer(ctx context.Context, number int, t Fault) {
	s := p.servers[number]
	s.mu.Lock()
	c := s.child
	s.mu.Unlock()
	if !c.alive() {
		return
	}
	switch t.Kind {
	case ServerMode:
		c.command("mode %s 0.5", t.Detail)
		sleep(ctx, t.Duration)
		c.command("mode %s 0", t.Detail)
	case ServerResets:
		c.command("resetall")
	case ServerPause:
		c.signal(syscall.SIGSTOP)
		from := monotonic()
		sleep(ctx, t.Duration)
		c.signal(syscall.SIGCONT)
		s.mu.Lock()
		s.paused = append(s.paused, span{from, monotonic()})
		s.mu.Unlock()
	case ServerDrain:
		p.drain(ctx, number, c, t)
	case ServerCrash:
		c.kill()
		sleep(ctx, t.Duration/3)
		p.comeBack(ctx, number)
	}
}

// drain lets a server drain, go and start anew.
func (p *play) drain(ctx context.Context, number int, c *child, t Fault) {
	e := p.registry.get(p.servers[number].id)
	if e.State != ready {
		return
	}
	e.State = terminating
	p.registry.set(e)
	stays := t.Duration + time.Second
	if t.Count > 2 {
		stays += notifiedIn + time.Second // so long that all agents must have heard
	}
	sleep(ctx, stays)
	if !c.alive() {
		return // it crashed meanwhile, and comes back by that
	}
	e.State = gone
	p.registry.set(e)
	sleep(ctx, t.Duration/4)
	c.kill()
	p.comeBack(ctx, number)
}

// comeBack starts the next process of a server, in slow start, and lists it.
func (p *play) comeBack(ctx context.Context, number int) {
	if ctx.Err() != nil {
		return
	}
	s := p.servers[number]
	if err := s.start(p.opts.Program, p.seed()); err != nil {
		p.problem("soak", "server %d: %v", number, err)
		return
	}
	s.mu.Lock()
	s.started = append(s.started, monotonic())
	s.mu.Unlock()
	if err := p.announce(number, p.wallMS()); err != nil {
		p.problem("soak", "server %d: %v", number, err)
	}
}

func (p *play) befallPath(ctx context.Context, t Fault) {
	number := t.Target | 1 // these have a path of their own
	if number >= len(p.paths) {
		return
	}
	way := p.paths[number]
	conditions := map[FaultKind]link.Conditions{PathCut: {Cut: true}, PathSlow: {Delay: 40 * time.Millisecond, Jitter: 60 * time.Millisecond}}[t.Kind]
	set := func(c link.Conditions) {
		way.mu.Lock()
		defer way.mu.Unlock()
		way.now = c
		way.relay.Set(c, c)
	}
	from := monotonic()
	if t.Kind == PathReset {
		way.mu.Lock()
		way.relay.Reset()
		way.mu.Unlock()
	} else {
		set(conditions)
		sleep(ctx, t.Duration)
		set(link.Conditions{})
	}
	way.mu.Lock()
	way.shaped = append(way.shaped, span{from, monotonic()})
	way.mu.Unlock()
}

func (p *play) befallDiscovery(ctx context.Context, a *agent, t Fault) {
	a.mu.Lock()
	d := a.disco
	a.mu.Unlock()
	switch t.Kind {
	case DiscoveryDown:
		d.change(func() { d.down = true })
		d.reset()
		sleep(ctx, t.Duration*2)
		d.change(func() { d.down = false })
	case DiscoverySilent:
		d.fallSilent()
	case DiscoveryReset:
		d.change(func() { d.hideDown = true })
		d.reset()
	case DiscoverySlow:
		d.change(func() { d.slow = 300 * time.Millisecond })
		sleep(ctx, t.Duration)
		d.change(func() { d.slow = 0 })
	case DiscoveryPieces:
		d.change(func() { d.pieces = true })
		sleep(ctx, t.Duration*2)
		d.change(func() { d.pieces = false })
	}
}

func (p *play) befallClients(ctx context.Context, t Fault) {
	c := p.callers[t.Target]
	if t.Kind == ClientCrowd {
		from := monotonic()
		c.crowd(ctx, agentFiles, t.Duration)
		p.mu.Lock()
		p.crowded[t.Target] = append(p.crowded[t.Target], span{from, monotonic()})
		p.mu.Unlock()
		return
	}
	c.mu.Lock()
	c.burst = habit(t.Detail)
	c.mu.Unlock()
	sleep(ctx, t.Duration)
	c.mu.Lock()
	c.burst = ""
	c.mu.Unlock()
}
