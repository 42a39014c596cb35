package node

import (
	"fmt"
	"slices"
	"time"
)

// FaultKind names a trouble.
type FaultKind string

// The troubles. Size is what its comment says.
const (
	Slow              FaultKind = "slow"        // Size times slower
	FastFail          FaultKind = "fast-errors" // Size: share of requests failed at once
	NoisyNeighbor     FaultKind = "neighbour"   // Size: share of the machine taken by another program, on and off
	Blackhole         FaultKind = "vanish"      // says nothing to anybody; what it has goes on
	ResetConn         FaultKind = "reset"       // Size: share of requests whose connection breaks after they have come
	IdleClose         FaultKind = "idle-close"  // Size: idle connections closed a second, as a share of all that are idle
	MalformedResponse FaultKind = "spoil"       // Size: share of answers that can't be read
	OversizedResponse FaultKind = "oversize"    // Size: share of answers far longer than allowed
	DelayedResponse   FaultKind = "late"        // Size: seconds by which answers come late, the work being done
	Flap              FaultKind = "flap"        // refuses connections, on and off
	Drain             FaultKind = "drain"       // discovery says that it drains; turns new work away once it has started
	Restart           FaultKind = "restart"     // dies at From, back at To, cold, under its id
	Replace           FaultKind = "replace"     // dies at From, back at To, cold, under a new id at the same address
)

// faultKinds are all the troubles.
var faultKinds = []FaultKind{Slow, FastFail, NoisyNeighbor, Blackhole, ResetConn, IdleClose, MalformedResponse, OversizedResponse, DelayedResponse, Flap, Drain, Restart, Replace}

// Fault is something that goes wrong with a node from one time to another.
type Fault struct {
	Kind     FaultKind
	From, To time.Duration
	Size     float64
	On, Off  time.Duration // of those that come and go; always on without
}

// Check says what is wrong with a trouble.
func (t Fault) Check() error {
	if !slices.Contains(faultKinds, t.Kind) {
		return fmt.Errorf("unknown trouble %q: there are %v", t.Kind, faultKinds)
	}
	if t.From < 0 || t.To <= t.From {
		return fmt.Errorf("trouble %s must end after it begins, and begin at 0 or later", t.Kind)
	}
	if t.On < 0 || t.Off < 0 || t.Off > 0 && t.On == 0 {
		return fmt.Errorf("trouble %s: a time off needs a time on", t.Kind)
	}
	wrong := false
	switch t.Kind {
	case Slow:
		wrong = t.Size < 1
	case FastFail, ResetConn, MalformedResponse, OversizedResponse, IdleClose:
		wrong = t.Size <= 0 || t.Size > 1
	case NoisyNeighbor:
		wrong = t.Size <= 0 || t.Size >= 1
	case DelayedResponse:
		wrong = t.Size <= 0
	}
	if wrong {
		return fmt.Errorf("trouble %s can't have the size %v", t.Kind, t.Size)
	}
	return nil
}

// active reports whether the trouble is on.
func (t Fault) active(now time.Duration) bool {
	if now < t.From || now >= t.To {
		return false
	}
	return t.Off == 0 || (now-t.From)%(t.On+t.Off) < t.On
}

// nextChange is the next time after now at which it begins, ends, comes or goes; 0 when there is none.
func (t Fault) nextChange(now time.Duration) time.Duration {
	switch {
	case now < t.From:
		return t.From
	case now >= t.To:
		return 0
	case t.Off == 0:
		return t.To
	}
	period := t.On + t.Off
	cycle := t.From + (now-t.From)/period*period
	if at := cycle + t.On; at > now {
		return min(at, t.To)
	}
	return min(cycle+period, t.To)
}

// faultSize is the largest size of a kind of trouble that is on, or 0.
func (n *Node) faultSize(k FaultKind) (size float64) {
	for _, t := range n.faults {
		if t.Kind == k && t.active(n.now) {
			size = max(size, t.Size)
		}
	}
	return size
}

// faultActive reports whether a trouble of that kind is on.
func (n *Node) faultActive(k FaultKind) bool {
	return slices.ContainsFunc(n.faults, func(t Fault) bool { return t.Kind == k && t.active(n.now) })
}

func (n *Node) draw(share float64) bool { return share > 0 && n.rng.Float64() < share }

// FailureFraction is the share of what is sent that comes to nothing at present, as only one who sees the node's inside can know.
func (n *Node) FailureFraction() float64 {
	if n.Unresponsive() || n.faultActive(Drain) {
		return 1
	}
	return max(n.faultSize(FastFail), n.faultSize(ResetConn), n.faultSize(MalformedResponse), n.faultSize(OversizedResponse))
}
