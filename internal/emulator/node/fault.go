package node

import (
	"fmt"
	"slices"
	"time"
)

// FaultKind names a kind of fault, as in files.
type FaultKind string

// The kinds of faults, with the meaning of Fault.Size.
const (
	Slow              FaultKind = "slow"        // execution is Size times slower
	FastFail          FaultKind = "fast-errors" // Size: share of requests that fail at once
	NoisyNeighbor     FaultKind = "neighbour"   // Size: share of the machine that another program takes
	Blackhole         FaultKind = "vanish"      // answers nobody; what it executes goes on
	ResetConn         FaultKind = "reset"       // Size: share of requests whose connection is reset after they arrived
	IdleClose         FaultKind = "idle-close"  // Size: share of the idle connections that are closed each second
	MalformedResponse FaultKind = "spoil"       // Size: share of responses that are not parseable
	OversizedResponse FaultKind = "oversize"    // Size: share of responses that are far longer than allowed
	DelayedResponse   FaultKind = "late"        // Size: seconds by which responses go out after the work is done
	Flap              FaultKind = "flap"        // refuses connections
	Drain             FaultKind = "drain"       // discovery says that it terminates; rejects new work from its start
	Restart           FaultKind = "restart"     // ends at From, is back at To in slow start, under its id
	Replace           FaultKind = "replace"     // ends at From; at To a new node is there in slow start, at its address
)

// faultKinds are all kinds.
var faultKinds = []FaultKind{Slow, FastFail, NoisyNeighbor, Blackhole, ResetConn, IdleClose, MalformedResponse, OversizedResponse,
	DelayedResponse, Flap, Drain, Restart, Replace}

// Fault is a fault of a node from one time to another.
type Fault struct {
	Kind     FaultKind
	From, To time.Duration
	Size     float64
	On, Off  time.Duration // of a fault that comes and goes; Off is 0 for one that is always on
}

// Check returns what is wrong with a fault.
func (f Fault) Check() error {
	if !slices.Contains(faultKinds, f.Kind) {
		return fmt.Errorf("unknown trouble %q: there are %v", f.Kind, faultKinds)
	}
	if f.From < 0 || f.To <= f.From {
		return fmt.Errorf("trouble %s must end after it begins, and begin at 0 or later", f.Kind)
	}
	if f.On < 0 || f.Off < 0 || f.Off > 0 && f.On == 0 {
		return fmt.Errorf("trouble %s: a time off needs a time on", f.Kind)
	}
	if f.sizeOutOfRange() {
		return fmt.Errorf("trouble %s can't have the size %v", f.Kind, f.Size)
	}
	return nil
}

func (f Fault) sizeOutOfRange() bool {
	switch f.Kind {
	case Slow:
		return f.Size < 1
	case FastFail, ResetConn, MalformedResponse, OversizedResponse, IdleClose:
		return f.Size <= 0 || f.Size > 1
	case NoisyNeighbor:
		return f.Size <= 0 || f.Size >= 1
	case DelayedResponse:
		return f.Size <= 0
	}
	return false
}

// active reports whether the fault is on.
func (f Fault) active(now time.Duration) bool {
	if now < f.From || now >= f.To {
		return false
	}
	return f.Off == 0 || (now-f.From)%(f.On+f.Off) < f.On
}

// nextChange returns the next time after now at which the fault begins, ends, or goes on or off; 0 when there is none.
func (f Fault) nextChange(now time.Duration) time.Duration {
	switch {
	case now < f.From:
		return f.From
	case now >= f.To:
		return 0
	case f.Off == 0:
		return f.To
	}
	period := f.On + f.Off
	cycle := f.From + (now-f.From)/period*period
	if off := cycle + f.On; off > now {
		return min(off, f.To)
	}
	return min(cycle+period, f.To)
}

// faultSize returns the largest size of the active faults of a kind, or 0.
func (n *Node) faultSize(kind FaultKind) (size float64) {
	for _, fault := range n.faults {
		if fault.Kind == kind && fault.active(n.now) {
			size = max(size, fault.Size)
		}
	}
	return size
}

// faultActive reports whether a fault of that kind is active.
func (n *Node) faultActive(kind FaultKind) bool {
	return slices.ContainsFunc(n.faults, func(fault Fault) bool { return fault.Kind == kind && fault.active(n.now) })
}

// FailureFraction returns the share of the requests that fail at present, as only the emulator can know it.
func (n *Node) FailureFraction() float64 {
	if n.Unresponsive() || n.faultActive(Drain) {
		return 1
	}
	return max(n.faultSize(FastFail), n.faultSize(ResetConn), n.faultSize(MalformedResponse), n.faultSize(OversizedResponse))
}
