package http

import (
	"context"
	"time"

	"ryeweir/internal/connlimit"
	"ryeweir/internal/event"
)

// drain ends the service, in this order:
//
//  1. Answers close their connections from now on, and idle ones are closed. New ones are accepted for AcceptWindow, as clients
//     may not know of the shutdown yet. On an inherited listener the next process accepts them.
//  2. The listener closes. Requests in flight go on until all connections have closed or the request limit is over.
//  3. The core answers what is still open: the end of the process would cut it off.
//  4. Answers that are being written go on until they are out or the stream limit is over.
//
// ended delivers the end of the HTTP server, which follows the listener's close.
func (s *Server) drain(ctx context.Context, clients *connlimit.Listener, inherited bool, ended <-chan error) {
	s.Log.Info("draining")
	requestLimit, streamLimit := s.drainLimits()
	requestCtx, cancelRequests := context.WithTimeout(ctx, requestLimit)
	defer cancelRequests()

	s.lifecycle.shutDown()
	s.Events.Record(event.Event{Kind: event.PhaseChanged, Reason: event.Draining, Detail: "signaled to terminate"})
	if !inherited {
		sleep(requestCtx, s.AcceptWindow)
		acceptBacklog(requestCtx, clients)
	}
	clients.Close()
	<-ended
	for clients.Len() > 0 && requestCtx.Err() == nil {
		sleep(requestCtx, drainPollInterval)
	}

	s.Events.Record(event.Event{Kind: event.PhaseChanged, Reason: event.ShuttingDown, Detail: "answering open requests now"})
	s.Core.Shutdown()
	streamCtx, cancelStreams := context.WithTimeout(ctx, streamLimit)
	defer cancelStreams()
	for clients.InFlight() > 0 && streamCtx.Err() == nil {
		sleep(streamCtx, drainPollInterval)
	}
	s.Log.Info("drained", "open", clients.Len(), "owing", clients.InFlight())
	clients.Abort()
}

// drainLimits returns how long a drain may wait for requests in flight, from its begin, and after that for answers that are being
// written. An operator's DrainTimeout takes the place of the limits of the platform's restarts.
func (s *Server) drainLimits() (requests, streams time.Duration) {
	if s.DrainTimeout > 0 {
		return max(s.AcceptWindow, s.DrainTimeout), DrainMargin
	}
	var longest time.Duration
	for _, class := range s.Site.Logic.Classes {
		longest = max(longest, class.Timeout)
	}
	return s.AcceptWindow + min(longest, maxCountedDeadline) + DrainMargin, clientStallTimeout
}

// acceptBacklog waits until the connections in the kernel's queue have been accepted.
//
// Guards against: a process that was paused as it was signaled to terminate. Closing the listener would reset what waits in the
// queue, with the requests that its clients have sent.
func acceptBacklog(ctx context.Context, clients *connlimit.Listener) {
	for range maxBacklogPeriods {
		began := time.Now()
		sleep(ctx, backlogQuietPeriod)
		if !clients.AcceptedSince(began) {
			return
		}
	}
}

// sweepIdle closes clients' idle connections while the server drains, for an operator or for good. It returns when the context
// ends.
func (s *Server) sweepIdle(ctx context.Context, clients *connlimit.Listener) {
	for {
		select {
		case <-s.lifecycle.drainBegan:
		case <-ctx.Done():
			return
		}
		for s.lifecycle.draining() && ctx.Err() == nil {
			clients.CloseIdle(drainIdleTimeout)
			sleep(ctx, drainSweepInterval)
		}
	}
}

// sleep waits for a duration, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
