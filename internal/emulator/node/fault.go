package node

import (
	"fmt"
	"slices"
	"time"
)

// FaultKind names a kind of fault, as scenario files do.
type FaultKind string

// The kinds of faults, with the meaning of Fault.Size.
const (
	Slow              FaultKind = "slow"        // execution is Size times slower
	FastFail          FaultKind = "fast-errors" // Size: fraction of requests that fail at once
	NoisyNeighbor     FaultKind = "neighbour"   // Size: fraction of the machine that another program takes
	Blackhole         FaultKind = "vanish"      // the node sends no responses, but continues to execute what it holds
	ResetConn         FaultKind = "reset"       // Size: fraction of requests whose connection is reset after they have arrived
	IdleClose         FaultKind = "idle-close"  // Size: fraction of the idle connections that are closed each second
	MalformedResponse FaultKind = "spoil"       // Size: fraction of responses that cannot be parsed
	OversizedResponse FaultKind = "oversize"    // Size: fraction of responses that are far longer than allowed
	DelayedResponse   FaultKind = "late"        // Size: delay of each response after its execution, in seconds
	Flap              FaultKind = "flap"        // the node refuses new connections
	Drain             FaultKind = "drain"       // the node rejects new requests and discovery lists it as terminating; the process ends at To
	Restart           FaultKind = "restart"     // the process ends at From and starts again at To, in slow start, with the same ID
	Replace           FaultKind = "replace"     // the process ends at From; a node with a new ID starts at To at its address, in slow start
)

// faultKinds lists all kinds of faults.
var faultKinds = []FaultKind{Slow, FastFail, NoisyNeighbor, Blackhole, ResetConn, IdleClose, MalformedResponse, OversizedResponse,
	DelayedResponse, Flap, Drain, Restart, Replace}

// Fault is a fault of a node that lasts from From to before To.
type Fault struct {
	Kind     FaultKind
	From, To time.Duration
	Size     float64       // its meaning depends on Kind
	On, Off  time.Duration // an intermittent fault is active for On, then inactive for Off, in turn; Off is 0 for a continuous fault
}

// Check returns an error that describes the first invalid field.
func (f Fault) Check() error {
	if !slices.Contains(faultKinds, f.Kind) {
		return fmt.Errorf("unknown kind of fault %q: must be one of %v", f.Kind, faultKinds)
	}
	if f.From < 0 || f.To <= f.From {
		return fmt.Errorf("fault %s: from must be at least 0, and to later than from; got from %v, to %v", f.Kind, f.From, f.To)
	}
	if f.On < 0 || f.Off < 0 || f.Off > 0 && f.On == 0 {
		return fmt.Errorf("fault %s: on and off must be at least 0, and on above 0 if off is; got on %v, off %v", f.Kind, f.On, f.Off)
	}
	if f.sizeOutOfRange() {
		return fmt.Errorf("fault %s: size must be %s, not %v", f.Kind, f.Kind.sizeRange(), f.Size)
	}
	return nil
}

// sizeRange describes the sizes that sizeOutOfRange accepts for the kinds that have a size.
func (kind FaultKind) sizeRange() string {
	switch kind {
	case Slow:
		return "at least 1"
	case NoisyNeighbor:
		return "above 0 and below 1"
	case DelayedResponse:
		return "above 0 seconds"
	default:
		return "above 0 and at most 1"
	}
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

// active reports whether the fault is active at a time.
func (f Fault) active(now time.Duration) bool {
	if now < f.From || now >= f.To {
		return false
	}
	return f.Off == 0 || (now-f.From)%(f.On+f.Off) < f.On
}

// nextChange returns the next time after now at which the fault becomes active or inactive, or 0 if there is none.
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

// faultSize returns the largest size of the active faults of a kind, or 0 if none is active.
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

// FailureFraction returns the fraction of requests that currently fail. Only the emulator knows it; agents cannot observe it.
func (n *Node) FailureFraction() float64 {
	if n.Unresponsive() || n.faultActive(Drain) {
		return 1
	}
	return max(n.faultSize(FastFail), n.faultSize(ResetConn), n.faultSize(MalformedResponse), n.faultSize(OversizedResponse))
}
