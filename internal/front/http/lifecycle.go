package http

import (
	"errors"
	"sync/atomic"

	"ryeweir/internal/event"
)

// phase is the phase of a server's lifecycle.
type phase int32

const (
	phaseServing      phase = iota
	phaseDraining           // an operator is moving clients away; requests that still arrive are served
	phaseShuttingDown       // the process has received the termination signal
)

// lifecycle holds the phase of a server. Operators switch it between serving and draining. The termination signal switches it to
// shutting down, which is final.
type lifecycle struct {
	phase      atomic.Int32
	drainBegan chan struct{} // buffered; signals that a drain or the shutdown has begun
}

func newLifecycle() lifecycle { return lifecycle{drainBegan: make(chan struct{}, 1)} }

// errShuttingDown is the error for an operator who tries to change the phase of an agent that is shutting down. Its text is the
// body of the response to the operator.
var errShuttingDown = errors.New("the agent is ending")

func (l *lifecycle) current() phase { return phase(l.phase.Load()) }

// draining reports whether the server is draining or shutting down.
func (l *lifecycle) draining() bool { return l.current() != phaseServing }

// shutDown switches to shutting down.
func (l *lifecycle) shutDown() {
	l.phase.Store(int32(phaseShuttingDown))
	l.notifyDrain()
}

// moveTo switches to serving or draining. It returns errShuttingDown if the server is shutting down.
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

// notifyDrain signals sweepIdle that a drain has begun. It does not block.
func (l *lifecycle) notifyDrain() {
	select {
	case l.drainBegan <- struct{}{}:
	default:
	}
}

// Drain moves clients away without ending the process: the agent reports not ready, answers close their connections, and idle
// connections are closed. Requests that still arrive are served. Drain returns an error if the agent is shutting down.
func (s *Server) Drain() error {
	return s.changePhase(phaseDraining, "draining on operator request")
}

// Activate ends a drain that Drain began. It returns an error if the agent is shutting down.
func (s *Server) Activate() error {
	return s.changePhase(phaseServing, "serving on operator request")
}

func (s *Server) changePhase(next phase, message string) error {
	err := s.lifecycle.moveTo(next)
	s.Events.Record(event.Event{Kind: event.PhaseChanged, Detail: message})
	s.Log.Info(message, "error", err)
	return err
}
