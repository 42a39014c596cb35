package experiment

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"ryeweir/internal/config/operator"
	"ryeweir/internal/emulator"
	"ryeweir/internal/emulator/callers"
	"ryeweir/internal/fleetstate/membership"
	"ryeweir/internal/processrig"
)

// startAgents starts a process for each agent of the scenario, and waits until all are ready.
func (p *scenarioRun) startAgents(ctx context.Context, dir string) error {
	limits := p.variant.Limits
	if limits == (emulator.Limits{}) {
		limits = emulator.DefaultLimits()
	}
	for i := range p.world.Scenario.Agents {
		a, err := processrig.Start(p.world, i, p.variant.Command, dir, limits, p.peers)
		if err != nil {
			return err
		}
		p.agents = append(p.agents, a)
		p.clients = append(p.clients, &callers.Client{Addr: a.Addr, Dial: p.world.Network.Dialer("")})
	}
	for i, a := range p.agents {
		if err := a.Ready(ctx); err != nil {
			return fmt.Errorf("waiting until %s is ready: %w", p.world.Scenario.Agents[i], err)
		}
	}
	return nil
}

// startByzantinePeers starts the scenario's byzantine peers, if gossip is enabled.
func (p *scenarioRun) startByzantinePeers(set operator.Peers) (out []*byzantinePeer, err error) {
	if p.peers == nil {
		return nil, nil
	}
	for i, spec := range p.world.Scenario.Spec.Fleet.ByzantinePeers {
		var at membership.Config
		at.Bind, at.Advertise, at.Seeds = p.peers.Addresses(len(p.world.Scenario.Agents) + i)
		l, err := newByzantinePeer(p.world, spec, byzantineName(i), at, set)
		if err != nil {
			return nil, err
		}
		out = append(out, l)
	}
	return out, nil
}

// faultAgent waits until a fault begins and injects it into the agent's process: it kills, terminates, pauses or throttles the process.
// After the fault's duration it starts a new process or resumes the old one. Requests that a killed process leaves unanswered violate no
// rule; a paused or throttled process must still answer each of its requests.
func (p *scenarioRun) faultAgent(ctx context.Context, fault emulator.AgentFault) {
	if !callers.Sleep(ctx, fault.At-p.world.Now()) {
		return
	}
	agent, name := p.agents[fault.Agent], p.world.Scenario.Agents[fault.Agent]
	p.mu.Lock()
	unavailable := p.unavailable[fault.Agent]
	p.unavailable[fault.Agent] = true
	p.mu.Unlock()
	if unavailable {
		return // an earlier fault is still in progress: skip this one, as simulated time does
	}
	defer func() {
		p.mu.Lock()
		p.unavailable[fault.Agent] = false
		p.mu.Unlock()
	}()
	now := p.world.Now()
	p.world.RecordEvent(now, now+fault.Duration, name, fault.Kind)
	var err error
	switch fault.Kind {
	case emulator.AgentPause:
		err = agent.Pause()
	case emulator.AgentSlow:
		err = agent.Throttle(ctx, fault.RunFraction, fault.Duration)
	case emulator.AgentKill:
		p.world.Referee.AgentKilled(name, now, now+fault.Duration)
		agent.Kill()
	default:
		err = agent.Terminate()
		now = p.world.Now()
		p.world.Referee.AgentKilled(name, now, now+fault.Duration) // no process listens until the next one has started
	}
	if err == nil && callers.Sleep(ctx, now+fault.Duration-p.world.Now()) {
		if fault.Survives() {
			err = agent.Resume()
		} else if err = agent.Restart(!fault.WithState); err == nil {
			err = agent.Ready(ctx)
		}
	}
	if err != nil && ctx.Err() == nil { // once ctx has ended, stopAgents stops the process in whatever state it is
		p.mu.Lock()
		p.faults = append(p.faults, fmt.Errorf("%s: fault %q of the agent's process: %w", name, fault.Kind, err))
		p.mu.Unlock()
	}
}

// stopAgents stops all agents, adds their CPU time to p.cpu, and returns the errors of those that misbehaved.
func (p *scenarioRun) stopAgents() error {
	var mu sync.Mutex
	var errs []error
	var all sync.WaitGroup
	for i, a := range p.agents {
		all.Go(func() {
			cpu, err := a.Stop()
			mu.Lock()
			defer mu.Unlock()
			p.cpu += cpu
			if err != nil {
				errs = append(errs, fmt.Errorf("stopping %s: %w", p.world.Scenario.Agents[i], err))
			}
		})
	}
	all.Wait()
	p.agents = nil
	return errors.Join(errs...)
}
