package experiment

import (
	"context"
	"time"

	"ryeweir/internal/emulator"
	"ryeweir/internal/emulator/backend"
	"ryeweir/internal/emulator/callers"
	"ryeweir/internal/emulator/referee"
)

// LiveSample is a sample of a run in progress. One is taken each second.
type LiveSample struct {
	At      time.Duration // since the scenario began
	Account referee.Account
	Calls   []referee.CallResult // those that ended since the last sample
	States  []backend.State
	Events  []emulator.Event
}

// callEnded keeps a call's result for the next sample. It keeps at most callers.DefaultMaxRequests results.
func (p *scenarioRun) callEnded(c referee.CallResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.ended) < callers.DefaultMaxRequests {
		p.ended = append(p.ended, c)
	}
}

// addMisbehaving adds the figures of the misbehaving clients of one agent.
func (p *scenarioRun) addMisbehaving(f callers.MisbehavingFigures) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.misbehaving.Clients += f.Clients
	p.misbehaving.Served += f.Served
	p.misbehaving.Ignored += f.Ignored
}

// watch records the load and the goodput of the nodes each second until ctx ends, and calls show, unless nil, with a LiveSample.
func (p *scenarioRun) watch(ctx context.Context, show func(LiveSample)) {
	began := time.Now()
	lastSample, lastUseful := began, time.Duration(0)
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		states := p.world.NodeStates()
		row := make([]float64, len(states))
		for i, s := range states {
			row[i] = float64(s.InFlight)
		}
		p.load = append(p.load, row)
		useful, now := time.Duration(0), time.Now()
		for _, s := range states {
			useful += s.Figures.Work - s.Figures.Wasted
		}
		p.goodput = append(p.goodput, (useful-lastUseful).Seconds()/(p.world.Scenario.Capacity*now.Sub(lastSample).Seconds()))
		lastSample, lastUseful = now, useful
		p.mu.Lock()
		newResults := p.ended
		p.ended = nil
		p.mu.Unlock()
		if show != nil {
			show(LiveSample{At: time.Since(began), Account: p.world.Referee.Account(), Calls: newResults, States: states, Events: p.world.Events()})
		}
	}
}
