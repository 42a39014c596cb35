package soak

import (
	"context"
	"time"

	"ryeweir/internal/emulator/link"
)

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
