// Package agent puts a real agent round the decision module: clients, backends and discovery on sockets.
// It carries out what the module decides and tells it what happens.
package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"ryeweir/internal/connlimit"
	"ryeweir/internal/control"
	"ryeweir/internal/flow"
	"ryeweir/internal/framing"
	"ryeweir/internal/metrics"
	"ryeweir/logic"
)

const (
	// New connections come for up to 0.4 s after the signal to end, and the platform kills 0.7 s after the longest
	// deadline at the soonest. The drain accepts for longer than the one and ends before the other.
	acceptOn  = 550 * time.Millisecond
	drainMost = 50 * time.Millisecond // past that deadline
	drainPoll = 5 * time.Millisecond
	// The platform waits no longer than for a deadline of this.
	longestCounted = 3 * time.Second

	sweepEvery   = time.Second
	spareSockets = 24 // for the listener, discovery, the runtime and files
	backendShare = 0.45
	bodyPart     = 0.2 // of the memory may hold bodies
	// Of a process that shares its descriptors with another for a while.
	backendShareOfTwo = 0.27
	leastSockets      = 100  // with fewer there is no point in running
	mostSockets       = 4096 // more are never needed, whatever the limit allows
)

// Sockets are the listening ones of an agent.
type Sockets struct {
	Clients   net.Listener
	Inherited bool         // another process may accept what this one does not
	Control   net.Listener // for operators; nil without an address for them
	Dial      Dial         // to backends and discovery; nil for the machine's network
}

// Dial opens a connection, as net.Dialer's DialContext does. A connection of a network that is not the machine's says by a
// method Quiet whether it is open with nothing to read, since there is no socket to ask.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Run serves until the context ends, then drains as the platform's restarts want it. It closes the sockets.
func Run(ctx context.Context, cfg Config, reloads Reloads, sockets Sockets, log *slog.Logger) error {
	defer sockets.Clients.Close()
	balancer, err := logic.New(cfg.Site.Logic, cfg.Seed)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	// The parts outlive the signal to end: what is open is still answered.
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	var parts sync.WaitGroup
	defer parts.Wait()
	defer stop()

	share := shareSockets(cfg.Sockets, sockets)
	clk := newClock()
	conns := newPool(cfg.Site.ConnectTimeout, cfg.Site.ConnIdle, share.toBackends, sockets.Dial)
	var badReport sync.Once
	var classes []string
	for _, c := range cfg.Site.Logic.Classes {
		classes = append(classes, c.Name)
	}
	figures := metrics.New(classes)
	memory := bodyPart * float64(int64(cfg.MemoryMB)<<20)
	if sockets.Inherited {
		memory /= 2
	}
	budget := flow.NewBudget(int64(memory))
	loop := newLoop(balancer, clk, conns, &sender{pool: conns, clock: clk, budget: budget, fields: cfg.Site.ReportFields, sent: figures.Sent,
		noted: func(err error) {
			badReport.Do(func() { log.Warn("passing over a malformed report; further ones are not logged", "error", err) })
		}}, figures, log)
	disco := newDiscovery(cfg, clk, sockets.Dial, loop.tell, log)
	loop.subscribe = disco.ask
	s := newServer(cfg, loop, clk, share.fromClients, figures, log)
	s.budget = budget
	clients := connlimit.New(framing.Listener{Listener: sockets.Clients}, share.fromClients)
	s.crowded = clients.Crowded
	if sockets.Control != nil {
		parts.Go(func() {
			if err := control.Serve(inner, sockets.Control, s, figures, log); err != nil {
				log.Error("operators are served no more", "error", err)
			}
		})
	}
	parts.Go(func() { loop.run(inner) })
	parts.Go(func() { every(inner, sweepEvery, conns.sweep) })
	parts.Go(func() { disco.run(inner) })
	parts.Go(func() { reloads.follow(inner, cfg, disco, log) })
	parts.Go(func() {
		every(inner, drainSweep, func() {
			if s.phase.leaving() {
				clients.CloseIdle(drainIdle)
			}
		})
	})
	return s.serve(ctx, clients, sockets.Inherited)
}

// shares says how many connections there may be.
type shares struct{ toBackends, fromClients int }

// shareSockets shares out a limit on descriptors. With an inherited socket, two processes hold them together for a while:
// clients move from the one to the other, so their places are needed once, but each has connections to backends.
func shareSockets(limit int, sockets Sockets) shares {
	room := min(max(limit, leastSockets), mostSockets) - spareSockets
	if sockets.Control != nil {
		room -= control.Sockets
	}
	part := backendShare
	if sockets.Inherited {
		room -= spareSockets
		part = backendShareOfTwo
	}
	toBackends := int(float64(room) * part)
	if sockets.Inherited {
		return shares{toBackends, room - 2*toBackends}
	}
	return shares{toBackends, room - toBackends}
}

// serve answers clients until the context ends and what was taken by then is answered.
func (s *server) serve(ctx context.Context, l *connlimit.Listener, inherited bool) error {
	srv := s.httpServer()
	defer srv.Close()
	if inherited { // what this process does not accept yet, the one before it does
		select {
		case <-s.loop.listed:
		case <-ctx.Done():
			return nil
		}
	}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(l) }()
	s.accepting.Store(true)
	s.log.Info("listening", "addr", l.Addr().String(), "inherited", inherited)
	select {
	case err := <-failed:
		return fmt.Errorf("serving clients: %w", err)
	case <-ctx.Done():
	}
	s.log.Info("draining")
	var longest time.Duration
	for _, c := range s.site.Logic.Classes {
		longest = max(longest, c.Deadline)
	}
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.acceptFor+min(longest, longestCounted)+drainMost)
	defer cancel()
	s.phase.end()
	if !inherited { // else the process that follows accepts, and what this one took from it would come late
		sleep(limited, s.acceptFor)
	}
	l.Close()
	<-failed
	for l.Len() > 0 && limited.Err() == nil {
		sleep(limited, drainPoll)
	}
	s.log.Info("drained", "open", l.Len())
	return nil
}

// every calls f at intervals until the context ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f()
		case <-ctx.Done():
			return
		}
	}
}
