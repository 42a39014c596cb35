package soak

import (
	"context"
	"syscall"
	"time"
)

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
	case ServerMode, ServerSlow:
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
