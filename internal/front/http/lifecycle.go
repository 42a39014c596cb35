package http

import (
	"errors"
	"sync/atomic"

	"ryeweir/internal/event"
)

// phase is what a server does with new clients.
type phase int32

const (
	phaseServing      phase = iota
	phaseDraining           // an operator wants the clients elsewhere; those that come nevertheless are served
	phaseShuttingDown       // the process has been signaled to terminate
)

// lifecycle is the phase of a server. Operators move it between serving and draining; the signal to terminate moves it to shutting
// down, which is final.
type lifecycle struct {
	phase      atomic.Int32
	drainBegan chan struct{} // holds one notification: clients are sent away from now on
}

func newLifecycle() lifecycle { return lifecycle{drainBegan: make(chan struct{}, 1)} }

// errShuttingDown is what an operator gets who wants to change the phase of an agent that shuts down. Its text is the body of that
// answer.
var errShuttingDown = errors.New("the agent is ending")

func (l *lifecycle) current() phase { return phase(l.phase.Load()) }

// draining reports whether clients are sent away, for an operator or for good.
func (l *lifecycle) draining() bool { return l.current() != phaseServing }

// shutDown moves to shutting down.
func (l *lifecycle) shutDown() {
	l.phase.Store(int32(phaseShuttingDown))
	l.notifyDrain()
}

// moveTo moves to serving or draining. It fails with errShuttingDown when the server shuts down.
func (l *lifecycle) moveTo(next phase) error {
	for {
		current := l.current()
		if current == phaseShuttingDown {
			return errShuttingDown
		}
		if l.phase.CompareAndSwap(int32(current), int32(next)) {
			if next == phaseDraining {
				l.notifyDrain()
			}
			return nil
		}
	}
}

// notifyDrain notifies the goroutine that closes idle connections. It does not wait.
func (l *lifecycle) notifyDrain() {
	select {
	case l.drainBegan <- struct{}{}:
	default:
	}
}

// Drain sends clients away without ending the process: the agent is not ready, answers close their connections, and idle
// connections are closed. Requests that come nevertheless are served. It fails on an agent that shuts down.
func (s *Server) Drain() error {
	return s.changePhase(phaseDraining, "draining on operator request")
}

// Activate ends a drain that Drain began. It fails on an agent that shuts down.
func (s *Server) Activate() error {
	return s.changePhase(phaseServing, "serving on operator request")
}

func (s *Server) changePhase(next phase, message string) error {
	err := s.lifecycle.moveTo(next)
	s.Events.Record(event.Event{Kind: event.PhaseChanged, Detail: message})
	s.Log.Info(message, "error", err)
	return err
}
