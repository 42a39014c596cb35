package http

import (
	"context"
	"fmt"
	"net"
	"sync"

	"ryeweir/internal/acceptretry"
	"ryeweir/internal/connlimit"
	"ryeweir/internal/framing"
	"ryeweir/internal/invariant"
	"ryeweir/internal/socket"
)

// Serve accepts and serves client connections until the context ends. Then it drains, and returns when the requests in flight
// have been answered or the time limit for them has passed. It closes the listener. Its error says why the server stopped before
// the context ended.
//
// The previous process also accepts from an inherited listener, so both may accept at the same time. Serve therefore accepts from
// an inherited listener only after the first endpoint is known, and stops as soon as the context ends.
func (s *Server) Serve(ctx context.Context, l net.Listener, inherited bool) error {
	clientListener := s.newClientListener(l)
	defer clientListener.Close()
	s.clients.Store(clientListener)
	clientListener.SetMaxConnections(int(s.maxConnections.Load())) // it may have changed since the listener was made
	server := s.httpServer()
	defer server.Close()
	if inherited && !s.awaitEndpoints(ctx) {
		return nil
	}

	sweepCtx, stopSweep := context.WithCancel(context.WithoutCancel(ctx))
	var sweep sync.WaitGroup
	sweep.Go(func() { s.sweepIdle(sweepCtx, clientListener) })
	defer sweep.Wait()
	defer stopSweep()

	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(clientListener) }()
	s.accepting.Store(true)
	s.Log.Info("listening", "addr", l.Addr().String(), "inherited", inherited)
	select {
	case err := <-serveErr:
		s.Monitor.Violated(invariant.ListenerClosed, "", err.Error())
		return fmt.Errorf("serving clients: %w", err)
	case <-ctx.Done():
	}
	s.drain(context.WithoutCancel(ctx), clientListener, inherited, serveErr)
	return nil
}

// newClientListener wraps l in the listeners that the package comment describes, innermost first.
func (s *Server) newClientListener(l net.Listener) *connlimit.Listener {
	retrying := acceptretry.New(l, s.Log, s.Events)
	bounded := socket.Listener{Listener: retrying, UnsentBytes: s.UnsentBytes}
	clientListener := connlimit.New(framing.Listener{Listener: bounded, Budget: s.BodyBudget}, int(s.maxConnections.Load()))
	clientListener.HeaderTimeout, clientListener.StallLimit = headerTimeout, clientStallLimit
	clientListener.Events, clientListener.Monitor = s.Events, s.Monitor
	return clientListener
}

// awaitEndpoints waits until the first endpoint is known. It returns false if the context ends first.
func (s *Server) awaitEndpoints(ctx context.Context) bool {
	select {
	case <-s.Core.EndpointsKnown():
		return true
	case <-ctx.Done():
		return false
	}
}
