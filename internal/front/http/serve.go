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

// Serve serves clients until the context ends, and then drains: it returns when the requests in flight have been answered or the
// time for that is over. It closes the listener. The error says why clients could not be served any more.
//
// The process before this one accepts from an inherited listener, too. So this one begins to accept when it has an endpoint to send
// to, and stops to accept as soon as the context ends.
func (s *Server) Serve(ctx context.Context, l net.Listener, inherited bool) error {
	clients := s.newClientListener(l)
	defer clients.Close()
	s.nearLimit = clients.NearLimit
	server := s.httpServer()
	defer server.Close()
	if inherited && !s.awaitEndpoints(ctx) {
		return nil
	}

	sweepCtx, stopSweep := context.WithCancel(context.WithoutCancel(ctx))
	var sweep sync.WaitGroup
	sweep.Go(func() { s.sweepIdle(sweepCtx, clients) })
	defer sweep.Wait()
	defer stopSweep()

	ended := make(chan error, 1)
	go func() { ended <- server.Serve(clients) }()
	s.accepting.Store(true)
	s.Log.Info("listening", "addr", l.Addr().String(), "inherited", inherited)
	select {
	case err := <-ended:
		s.Monitor.Violated(invariant.ListenerClosed, "", err.Error())
		return fmt.Errorf("serving clients: %w", err)
	case <-ctx.Done():
	}
	s.drain(context.WithoutCancel(ctx), clients, inherited, ended)
	return nil
}

// newClientListener wraps a listener in what clients' connections need, innermost first.
func (s *Server) newClientListener(l net.Listener) *connlimit.Listener {
	accepting := acceptretry.New(l, s.Log, s.Events)
	sized := socket.Listener{Listener: accepting, BufferBytes: s.SocketBufferBytes}
	clients := connlimit.New(framing.Listener{Listener: sized}, s.MaxConnections)
	clients.HeaderTimeout, clients.Events, clients.Monitor = headerTimeout, s.Events, s.Monitor
	return clients
}

// awaitEndpoints waits for the first endpoint to send to. It reports false when the context ended first.
func (s *Server) awaitEndpoints(ctx context.Context) bool {
	select {
	case <-s.Core.EndpointsKnown():
		return true
	case <-ctx.Done():
		return false
	}
}
