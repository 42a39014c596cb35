package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults. The prefix names what they act on.
const (
	AgentTerm        FaultKind = "agent-term"         // SIGTERM, and the next process once it has ended
	AgentKill        FaultKind = "agent-kill"         // SIGKILL
	AgentPause       FaultKind = "agent-pause"        // SIGSTOP for a while
	AgentReload      FaultKind = "agent-reload"       // SIGHUP with nothing changed
	AgentMove        FaultKind = "agent-move"         // SIGHUP with another discovery
	AgentThereBack   FaultKind = "agent-there-back"   // two SIGHUPs in quick succession: to another discovery and back
	AgentDrain       FaultKind = "agent-drain"        // operators send its clients away for a while
	AgentHold        FaultKind = "agent-hold"         // writes to servers are held up for 150 ms
	ClockStep        FaultKind = "clock-step"         // the time of day of all machines is stepped
	AcceptFails      FaultKind = "accept-fails"       //
	ConnectFails     FaultKind = "connect-fails"      //
	ServerReadFails  FaultKind = "server-read-fails"  //
	ServerWriteFails FaultKind = "server-write-fails" //
	ClientReadFails  FaultKind = "client-read-fails"  //
	ShortReads       FaultKind = "short-reads"        // each read brings a few bytes
	DiskFails        FaultKind = "disk-fails"         //
	LogStalls        FaultKind = "log-stalls"         // nobody reads the agent's log
	ServerDrain      FaultKind = "server-drain"       // drains, goes, and starts anew
	ServerCrash      FaultKind = "server-crash"       // dies, and starts anew before discovery knows
	ServerPause      FaultKind = "server-pause"       // SIGSTOP
	ServerMode       FaultKind = "server-mode"        // misbehaves in one of its ways
	ServerResets     FaultKind = "server-resets"      // resets all its connections
	PathCut          FaultKind = "path-cut"           // nothing passes on the way to a server
	PathSlow         FaultKind = "path-slow"          //
	PathReset        FaultKind = "path-reset"         // the way's connections break
	DiscoveryDown    FaultKind = "discovery-down"     //
	DiscoverySilent  FaultKind = "discovery-silent"   // open watches get no further answer
	DiscoveryReset   FaultKind = "discovery-reset"    // open watches break
	DiscoverySlow    FaultKind = "discovery-slow"     //
	DiscoveryPieces  FaultKind = "discovery-pieces"   // lists come in pieces
	ClientBurst      FaultKind = "client-burst"       // most clients have one misbehavior
	IdleClients      FaultKind = "client-crowd"       // connections on which nothing is sent
)

var drawnFaultKinds = []FaultKind{AgentTerm, AgentTerm, AgentKill, AgentPause, AgentReload, AgentMove, AgentThereBack, AgentDrain, AgentHold, ClockStep,
	AcceptFails, ConnectFails, ServerReadFails, ServerWriteFails, ClientReadFails, ShortReads, DiskFails, LogStalls, ServerDrain, ServerDrain,
	ServerCrash, ServerCrash, ServerPause, ServerMode, ServerMode, ServerMode, ServerResets, PathCut, PathSlow, PathReset, DiscoveryDown,
	DiscoverySilent, DiscoveryReset, DiscoverySlow, DiscoveryPieces, ClientBurst, ClientBurst, IdleClients}

// Fault is one fault of a run.
type Fault struct {
	Kind     FaultKind
	Start    time.Duration // since the run began
	Duration time.Duration
	Target   int    // number of an agent or of a server
	Detail   string // an errno, a Mode, a client behavior, a clock step
	Count    int
}

// String returns it in a line.
func (f Fault) String() string {
	return strings.TrimSpace(fmt.Sprintf("%6.2fs for %5.2fs  %-18s %d %s", f.Start.Seconds(), f.Duration.Seconds(), f.Kind, f.Target, f.Detail))
}

// FaultKinds limits the kinds that Draw draws from; empty for all.
type FaultKinds []FaultKind

var (
	acceptErrors   = []string{"ENOBUFS", "ENOMEM", "EPROTO", "ENETDOWN", "EHOSTUNREACH", "ENETUNREACH", "EPERM", "EMFILE", "ENFILE", "EINTR", "ECONNABORTED", "ETIMEDOUT", "EOPNOTSUPP"}
	connectErrors  = []string{"EADDRNOTAVAIL", "ENOBUFS", "ENETUNREACH", "EMFILE", "ENFILE", "EINTR", "EHOSTUNREACH", "ETIMEDOUT", "EPERM"}
	readErrors     = []string{"ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH", "ENETUNREACH", "EIO"}
	writeErrors    = []string{"ECONNRESET", "EPIPE", "ETIMEDOUT", "EHOSTUNREACH", "ENOBUFS"}
	clockSteps     = []string{"3s", "-3s", "1h", "-1h"}
	burstBehaviors = []clientBehavior{closesEarly, resets, halfCloses, slowWriter, longBody, closesInLongBody, shortTimeout, leavesTrailingBytes, stopsMidway}
)

func pick[T any](rng *rand.Rand, from []T) T { return from[rng.IntN(len(from))] }

func drawFault(rng *rand.Rand, plan *Plan, from time.Duration, allowed FaultKinds) Fault {
	kinds := drawnFaultKinds
	if len(allowed) > 0 {
		kinds = allowed
	}
	fault := Fault{Kind: pick(rng, kinds), Start: from + time.Duration(rng.Float64()*0.7*float64(time.Second)),
		Duration: 100*time.Millisecond + time.Duration(rng.Float64()*float64(maxFaultDuration-100*time.Millisecond)), Count: 1 + rng.IntN(4)}
	fault.Target = rng.IntN(plan.Agents)
	switch fault.Kind {
	case ServerDrain, ServerCrash, ServerPause, ServerMode, ServerResets, PathCut, PathSlow, PathReset:
		fault.Target = rng.IntN(plan.Servers)
	}
	switch fault.Kind {
	case ClockStep:
		fault.Detail = pick(rng, clockSteps)
	case AcceptFails:
		fault.Detail = pick(rng, acceptErrors)
	case ConnectFails:
		fault.Detail, fault.Count = pick(rng, connectErrors), 1+rng.IntN(8)
	case ServerReadFails, ClientReadFails:
		fault.Detail = pick(rng, readErrors)
	case ServerWriteFails:
		fault.Detail = pick(rng, writeErrors)
	case DiskFails:
		fault.Detail = pick(rng, []string{"ENOSPC", "EIO"})
	case ServerMode:
		fault.Detail = string(pick(rng, backendModes))
	case ClientBurst:
		fault.Detail = string(pick(rng, burstBehaviors))
	}
	return fault
}
