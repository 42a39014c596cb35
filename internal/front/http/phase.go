package http

import (
	"errors"
	"sync/atomic"
)

// phase is where the agent stands towards its clients: serving, draining or ending. Operators move it between the first
// two and back; the signal to end moves it to the last for good.
type phase struct {
	now  atomic.Int32
	left chan struct{} // holds one: clients are sent away from now on
}

func newPhase() phase { return phase{left: make(chan struct{}, 1)} }

const (
	serving int32 = iota
	draining
	ending
)

var errEnding = errors.New("the agent is ending")

func (p *phase) leaving() bool { return p.now.Load() != serving }

func (p *phase) end() {
	p.now.Store(ending)
	p.tell()
}

// tell says that clients are sent away, to who sweeps.
func (p *phase) tell() {
	select {
	case p.left <- struct{}{}:
	default:
	}
}

// move goes to serving or draining.
func (p *phase) move(to int32) error {
	for {
		from := p.now.Load()
		if from == ending {
			return errEnding
		}
		if p.now.CompareAndSwap(from, to) {
			if to == draining {
				p.tell()
			}
			return nil
		}
	}
}
