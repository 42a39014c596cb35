package http

import (
	"context"
	"time"

	"ryeweir/internal/connlimit"
	"ryeweir/internal/event"
)

// drain ends the server in this order:
//
//  1. From now on each answer closes its connection, and idle connections are closed. New connections are accepted for AcceptWindow,
//     because clients may not know of the shutdown yet. On an inherited listener the next process accepts them instead.
//  2. The listener closes. The kernel may take more of the answers that are left. Requests in flight continue until all connections have closed or requestLimit has passed.
//  3. The core ends all calls that are still in progress, so that their requests are answered. Without this step the end of the process
//     would cut them off.
//  4. Answers that are being written continue until they are complete, their endpoint or client stalls, or streamLimit has passed.
//
// serveErr receives the error of http.Server.Serve, which returns when the listener closes.
func (s *Server) drain(ctx context.Context, clientListener *connlimit.Listener, inherited bool, serveErr <-chan error) {
	s.Log.Info("draining")
	requestLimit, streamLimit := s.drainLimits()
	requestCtx, cancelRequests := context.WithTimeout(ctx, requestLimit)
	defer cancelRequests()

	s.lifecycle.shutDown()
	s.Events.Record(event.Event{Kind: event.PhaseChanged, Reason: event.Draining, Detail: "received the termination signal"})
	if !inherited {
		sleep(requestCtx, s.AcceptWindow)
		acceptBacklog(requestCtx, clientListener)
	}
	clientListener.Close()
	<-serveErr
	if s.UnsentBytes > 0 {
		clientListener.ShareUnsent(s.UnsentBytes * int(s.maxConnections.Load()))
	}
	for clientListener.Len() > 0 && requestCtx.Err() == nil {
		sleep(requestCtx, drainPollInterval)
	}

	s.Events.Record(event.Event{Kind: event.PhaseChanged, Reason: event.ShuttingDown, Detail: "answering all open requests before the process ends"})
	s.Core.Shutdown()
	streamCtx, cancelStreams := context.WithTimeout(ctx, streamLimit)
	defer cancelStreams()
	for clientListener.InFlight() > 0 && streamCtx.Err() == nil {
		sleep(streamCtx, drainPollInterval)
	}
	s.Log.Info("drained", "open", clientListener.Len(), "owing", clientListener.InFlight())
	clientListener.Abort()
}

// drainLimits returns how long a drain may wait for requests in flight, counted from its start, and then for answers that are
// being written. DrainTimeout, if set, replaces the limits that follow from the platform's restarts.
func (s *Server) drainLimits() (requests, streams time.Duration) {
	if s.DrainTimeout > 0 {
		return max(s.AcceptWindow, s.DrainTimeout), DrainMargin
	}
	var longest time.Duration
	for _, class := range s.Site.Logic.Classes {
		longest = max(longest, class.Timeout)
	}
	return s.AcceptWindow + min(longest, maxCountedDeadline) + DrainMargin, drainStreamTimeout
}

// acceptBacklog waits until the connections in the kernel's accept queue have been accepted.
//
// If the process was paused when it received the termination signal, clients may have connected and sent requests in the
// meantime. Closing the listener at once would reset these connections.
func acceptBacklog(ctx context.Context, clientListener *connlimit.Listener) {
	for range maxBacklogPeriods {
		started := time.Now()
		sleep(ctx, backlogQuietPeriod)
		if !clientListener.AcceptedSince(started) {
			return
		}
	}
}

// sweepIdle closes idle client connections while the server is draining or shutting down. It returns when the context ends.
func (s *Server) sweepIdle(ctx context.Context, clientListener *connlimit.Listener) {
	for {
		select {
		case <-s.lifecycle.drainBegan:
		case <-ctx.Done():
			return
		}
		for s.lifecycle.draining() && ctx.Err() == nil {
			clientListener.CloseIdle(drainIdleTimeout)
			sleep(ctx, drainSweepInterval)
		}
	}
}

// sleep waits for d, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
