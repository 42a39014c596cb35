// Package http serves clients that speak HTTP/1.1: it reads and checks their requests, hands each to the core as a call, and
// writes its one answer.
package http

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"ryeweir/internal/acceptretry"
	"ryeweir/internal/connlimit"
	"ryeweir/internal/event"
	"ryeweir/internal/framing"
	"ryeweir/internal/invariant"
	"ryeweir/internal/socket"
)

const (
	// DrainMargin is how long past the longest deadline that counts a drain may last.
	DrainMargin = 50 * time.Millisecond
	drainPoll   = 5 * time.Millisecond
	// The platform waits no longer than for a deadline of this.
	longestCounted = 3 * time.Second
)

// Serve answers clients until the context ends and what was taken by then is answered. A socket that is inherited is
// accepted on by the process before this one, too: this one begins when it has somebody to send to, and stops at once.
func (s *Server) Serve(ctx context.Context, l net.Listener, inherited bool) error {
	accepting := acceptretry.New(l, s.Log, s.Events)
	clients := connlimit.New(framing.Listener{Listener: socket.Listener{Listener: accepting, BufferBytes: s.SocketBufferBytes}}, s.MaxConnections)
	clients.HeaderTimeout, clients.Events, clients.Monitor = headerTimeout, s.Events, s.Monitor
	defer clients.Close()
	s.crowded = clients.NearLimit
	srv := s.httpServer()
	defer srv.Close()
	if inherited { // what this process does not accept yet, the one before it does
		select {
		case <-s.Core.EndpointsKnown():
		case <-ctx.Done():
			return nil
		}
	}
	sweeping, stop := context.WithCancel(context.WithoutCancel(ctx))
	var sweep sync.WaitGroup
	sweep.Go(func() { s.sweep(sweeping, clients) })
	defer sweep.Wait()
	defer stop()
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(clients) }()
	s.accepting.Store(true)
	s.Log.Info("listening", "addr", l.Addr().String(), "inherited", inherited)
	select {
	case err := <-failed:
		s.Monitor.Violated(invariant.ListenerClosed, "", err.Error())
		return fmt.Errorf("serving clients: %w", err)
	case <-ctx.Done():
	}
	s.drain(context.WithoutCancel(ctx), clients, inherited, failed)
	return nil
}

// drain goes on for what was taken, and for who comes all the same, as long as the platform lets it. What is open then gets its
// answer: the end of the process would take it away. Answers that flow go on for as long as their clients read, or operators allow.
func (s *Server) drain(ctx context.Context, clients *connlimit.Listener, inherited bool, failed <-chan error) {
	s.Log.Info("draining")
	var longest time.Duration
	for _, c := range s.Site.Logic.Classes {
		longest = max(longest, c.Timeout)
	}
	drainFor, flowFor := s.AcceptWindow+min(longest, longestCounted)+DrainMargin, clientStall
	if s.DrainTimeout > 0 {
		drainFor, flowFor = max(s.AcceptWindow, s.DrainTimeout), DrainMargin
	}
	limited, cancel := context.WithTimeout(ctx, drainFor)
	defer cancel()
	s.phase.end()
	s.Events.Record(event.Event{Kind: event.PhaseChanged, Reason: event.Draining, Detail: "the signal to end has come"})
	if !inherited { // else the process that follows accepts, and what this one took from it would come late
		sleep(limited, s.AcceptWindow)
		acceptRest(limited, clients)
	}
	clients.Close()
	<-failed
	for clients.Len() > 0 && limited.Err() == nil {
		sleep(limited, drainPoll)
	}
	s.Events.Record(event.Event{Kind: event.PhaseChanged, Reason: event.ShuttingDown, Detail: "what is open gets its answer now"})
	s.Core.Shutdown()
	flowing, cancel := context.WithTimeout(ctx, flowFor)
	defer cancel()
	for clients.InFlight() > 0 && flowing.Err() == nil {
		sleep(flowing, drainPoll)
	}
	s.Log.Info("drained", "open", clients.Len(), "owing", clients.InFlight())
	clients.Abort()
}

// Bounds of what is accepted before a listener closes.
const (
	acceptQuiet = 20 * time.Millisecond // without a connection nobody waits to be accepted
	acceptRests = 10                    // such times at the most
)

// acceptRest lets connections that wait be accepted, as after a pause of the process: the listener's close would reset them, with
// what their clients have sent.
func acceptRest(ctx context.Context, clients *connlimit.Listener) {
	for range acceptRests {
		began := time.Now()
		sleep(ctx, acceptQuiet)
		if !clients.AcceptedSince(began) {
			return
		}
	}
}

// sweep closes clients' idle connections in a drain, an operator's or the last one.
func (s *Server) sweep(ctx context.Context, clients *connlimit.Listener) {
	for {
		select {
		case <-s.phase.left:
		case <-ctx.Done():
			return
		}
		for s.phase.leaving() && ctx.Err() == nil {
			clients.CloseIdle(drainIdle)
			sleep(ctx, drainSweep)
		}
	}
}

// sleep waits, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
