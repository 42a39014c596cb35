package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"ryeweir/internal/crowd"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults. The prefix of a value names what the fault acts on. Fault.Detail has the errno of a failing call.
const (
	AgentTerm        FaultKind = "agent-term"         // SIGTERM; the next process starts once this one has exited
	AgentKill        FaultKind = "agent-kill"         // SIGKILL; the next process starts after a fifth of the duration
	AgentPause       FaultKind = "agent-pause"        // SIGSTOP, and SIGCONT after the duration
	AgentReload      FaultKind = "agent-reload"       // SIGHUP without a change of the configuration
	AgentMove        FaultKind = "agent-move"         // SIGHUP with another discovery service in the configuration
	AgentMoveAndBack FaultKind = "agent-there-back"   // two SIGHUPs in quick succession: another discovery service, then the old one
	AgentDrain       FaultKind = "agent-drain"        // an operator drains the agent, and activates it after the duration
	AgentWriteStall  FaultKind = "agent-hold"         // writes to servers are held up for 150 ms
	ClockStep        FaultKind = "clock-step"         // the time of day of all agents and the start times listed for later server processes are stepped
	AcceptFails      FaultKind = "accept-fails"       // accepts of client connections fail with an errno
	ConnectFails     FaultKind = "connect-fails"      // connects to servers fail with an errno
	ServerReadFails  FaultKind = "server-read-fails"  // reads from servers fail with an errno
	ServerWriteFails FaultKind = "server-write-fails" // writes to servers fail with an errno
	ClientReadFails  FaultKind = "client-read-fails"  // reads from clients fail with an errno
	ShortReads       FaultKind = "short-reads"        // each read returns only a few bytes
	DiskFails        FaultKind = "disk-fails"         // writes of the agent's snapshot file fail with an errno
	LogStalls        FaultKind = "log-stalls"         // nobody reads the agent's log
	ServerDrain      FaultKind = "server-drain"       // the server is listed as draining, then as removed, exits, and starts again
	ServerCrash      FaultKind = "server-crash"       // the server is killed, and starts again before discovery lists a change
	ServerPause      FaultKind = "server-pause"       // SIGSTOP, and SIGCONT after the duration
	ServerMode       FaultKind = "server-mode"        // the server responds to half of its requests in one misbehaving Mode
	ServerSlow       FaultKind = "server-slow"        // the server gives half of its answers, or reads half of its requests, slowly
	ServerResets     FaultKind = "server-resets"      // the server resets all its connections
	PathCut          FaultKind = "path-cut"           // no data passes on the path to a server
	PathSlow         FaultKind = "path-slow"          // 40 ms of delay and 60 ms of jitter on the path to a server
	PathReset        FaultKind = "path-reset"         // the relay resets all connections to a server
	DiscoveryDown    FaultKind = "discovery-down"     // all calls are aborted
	DiscoverySilent  FaultKind = "discovery-silent"   // the open watches get no response
	DiscoveryReset   FaultKind = "discovery-reset"    // the open watches are aborted; full lists omit draining servers from then on
	DiscoverySlow    FaultKind = "discovery-slow"     // responses are delayed by 300 ms
	DiscoveryPieces  FaultKind = "discovery-pieces"   // lists are sent in small pieces
	ClientBurst      FaultKind = "client-burst"       // 60% of the requests to the agent have the same misbehavior, except GETs if it needs a body
	IdleConnections  FaultKind = "client-crowd"       // clients open connections and send nothing on them
	StrainingCrowd   FaultKind = "client-strain"      // hundreds of clients hold connections with slow or unfinished work
	RequestFlood     FaultKind = "client-flood"       // six clients send small requests without a pause
	AgentThrottle    FaultKind = "agent-throttle"     // the agent runs for a quarter of the time, in slices of 25 ms
	ServerReplaced   FaultKind = "server-replaced"    // a process with a new ID comes up at the address of one that was killed, whose entry stays for a while
)

// drawnFaultKinds are the kinds that Draw draws from by default. A kind that is listed n times is drawn n times as often.
var drawnFaultKinds = []FaultKind{AgentTerm, AgentTerm, AgentKill, AgentPause, AgentReload, AgentMove, AgentMoveAndBack, AgentDrain, AgentWriteStall, ClockStep,
	AcceptFails, ConnectFails, ServerReadFails, ServerWriteFails, ClientReadFails, ShortReads, DiskFails, LogStalls, ServerDrain, ServerDrain,
	ServerCrash, ServerCrash, ServerPause, ServerMode, ServerMode, ServerMode, ServerResets, PathCut, PathSlow, PathReset, DiscoveryDown,
	DiscoverySilent, DiscoveryReset, DiscoverySlow, DiscoveryPieces, ClientBurst, ClientBurst, IdleConnections,
	StrainingCrowd, StrainingCrowd, RequestFlood, RequestFlood, AgentThrottle, ServerReplaced, ServerReplaced}

// Fault is one fault of a run.
type Fault struct {
	Kind     FaultKind
	Start    time.Duration // since the run began
	Duration time.Duration
	Target   int    // number of an agent or a server
	Detail   string // an errno, a Mode, a client behavior or a clock step
	Count    int    // of system calls that fail, or a random number that varies the fault
}

// String returns the fault as one line of text, with its start and duration in seconds.
func (f Fault) String() string {
	return strings.TrimSpace(fmt.Sprintf("%6.2fs for %5.2fs  %-18s %d %s", f.Start.Seconds(), f.Duration.Seconds(), f.Kind, f.Target, f.Detail))
}

// FaultKinds are the kinds that Draw may draw; empty for all.
type FaultKinds []FaultKind

var (
	acceptErrors   = []string{"ENOBUFS", "ENOMEM", "EPROTO", "ENETDOWN", "EHOSTUNREACH", "ENETUNREACH", "EPERM", "EMFILE", "ENFILE", "EINTR", "ECONNABORTED", "ETIMEDOUT", "EOPNOTSUPP"}
	connectErrors  = []string{"EADDRNOTAVAIL", "ENOBUFS", "ENETUNREACH", "EMFILE", "ENFILE", "EINTR", "EHOSTUNREACH", "ETIMEDOUT", "EPERM"}
	readErrors     = []string{"ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH", "ENETUNREACH", "EIO"}
	writeErrors    = []string{"ECONNRESET", "EPIPE", "ETIMEDOUT", "EHOSTUNREACH", "ENOBUFS"}
	clockSteps     = []string{"3s", "-3s", "1h", "-1h"}
	burstBehaviors = []clientBehavior{leavesUnread, closesEarly, resets, halfCloses, slowWriter, longBody, closesInLongBody, shortTimeout, sendsTrailingBytes, stopsMidway}
)

// pick returns a random element of from.
func pick[T any](rng *rand.Rand, from []T) T { return from[rng.IntN(len(from))] }

// drawFault draws a fault of an allowed kind that starts up to 0.7 s after from. The order of the draws is fixed, since it determines the
// plan of a seed.
func drawFault(rng *rand.Rand, plan *Plan, from time.Duration, allowed FaultKinds) Fault {
	kinds := drawnFaultKinds
	if len(allowed) > 0 {
		kinds = allowed
	}
	fault := Fault{Kind: pick(rng, kinds), Start: from + time.Duration(rng.Float64()*0.7*float64(time.Second)),
		Duration: 100*time.Millisecond + time.Duration(rng.Float64()*float64(maxFaultDuration-100*time.Millisecond)), Count: 1 + rng.IntN(4)}
	fault.Target = rng.IntN(plan.Agents)
	switch fault.Kind {
	case ServerDrain, ServerCrash, ServerPause, ServerMode, ServerSlow, ServerResets, ServerReplaced, PathCut, PathSlow, PathReset:
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
	case ServerSlow:
		fault.Detail = string(pick(rng, slowModes))
	case ClientBurst:
		fault.Detail = string(pick(rng, burstBehaviors))
	case StrainingCrowd:
		fault.Detail = string(pick(rng, crowd.Behaviors))
	case RequestFlood:
		fault.Detail = string(pick(rng, crowd.FloodKinds))
	}
	return fault
}
