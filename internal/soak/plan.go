// Package soak plays random overlapping faults on real processes and checks what they did against the rules. A play starts
// agents (with the machine of internal/faultshim in place of the real one), backends, a discovery for each agent, relays
// between them and callers, all on loopback, and lets two or three troubles overlap at a time: processes that are killed,
// ended, paused or reloaded, servers, clients and discoveries that misbehave, calls that fail, clocks that step.
//
// The account trusts nobody: callers note what they sent and got, backends what came to them, each on the machine's monotonic
// clock, and Check compares them with each other and with what discovery wrote. The agents' own counts of violated invariants
// stand beside that.
//
// All that is drawn follows from the seed. Which request meets which trouble depends on the machine, so that a play of the
// same seed is the same plan on another day's timing.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// FaultKind is what befalls somebody.
type FaultKind string

// The kinds of trouble, with what they befall.
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
	DiscoverySilent  FaultKind = "discovery-silent"   // open watches hear nothing any more
	DiscoveryReset   FaultKind = "discovery-reset"    // open watches break
	DiscoverySlow    FaultKind = "discovery-slow"     //
	DiscoveryPieces  FaultKind = "discovery-pieces"   // lists come in pieces
	ClientBurst      FaultKind = "client-burst"       // most clients have one bad habit
	ClientCrowd      FaultKind = "client-crowd"       // connections that say nothing
)

var troubleKinds = []FaultKind{AgentTerm, AgentTerm, AgentKill, AgentPause, AgentReload, AgentMove, AgentThereBack, AgentDrain, AgentHold, ClockStep,
	AcceptFails, ConnectFails, ServerReadFails, ServerWriteFails, ClientReadFails, ShortReads, DiskFails, LogStalls, ServerDrain, ServerDrain,
	ServerCrash, ServerCrash, ServerPause, ServerMode, ServerMode, ServerMode, ServerResets, PathCut, PathSlow, PathReset, DiscoveryDown,
	DiscoverySilent, DiscoveryReset, DiscoverySlow, DiscoveryPieces, ClientBurst, ClientBurst, ClientCrowd}

// Fault is one thing that befalls somebody during a play.
type Fault struct {
	Kind     FaultKind
	Start    time.Duration // since the play began
	Duration time.Duration
	Target   int    // number of an agent or of a server
	Detail   string // an errno, a mode, a habit, a step
	Count    int
}

// String tells it in a line.
func (t Fault) String() string {
	return strings.TrimSpace(fmt.Sprintf("%6.2fs for %5.2fs  %-18s %d %s", t.Start.Seconds(), t.Duration.Seconds(), t.Kind, t.Target, t.Detail))
}

type habitShare struct {
	habit habit
	share float64
}

// Plan is all that is drawn for a play.
type Plan struct {
	Seed                     uint64
	Length                   time.Duration
	Agents                   int
	Servers                  int
	Rate                     float64 // requests a second of each agent, in the mean
	Subscribed               bool    // agents subscribe to discovery
	Zones                    []string
	Classes                  []class
	SlowStartInitialFraction float64
	SlowStartWindow          time.Duration
	OverloadFactor           float64
	Faults                   []Fault
	habits                   []habitShare
	seeds                    *rand.Rand
}

// Bounds of a play.
const (
	quietStart = 1500 * time.Millisecond // before the first trouble
	quietEnd   = 3500 * time.Millisecond // after the last one begins
	longest    = 2500 * time.Millisecond // of one trouble
)

// FaultKinds limits the kinds that Draw draws from; empty for all.
type FaultKinds []FaultKind

// Draw makes the plan of a seed.
func Draw(seed uint64, length time.Duration, only FaultKinds) *Plan {
	rng := rand.New(rand.NewPCG(seed, 31))
	p := &Plan{Seed: seed, Length: length, Agents: 3 + rng.IntN(3), Servers: 6 + rng.IntN(5), Rate: 25 + rng.Float64()*30, Subscribed: rng.Float64() < 0.7,
		SlowStartInitialFraction: 0.12 + 0.2*rng.Float64(), SlowStartWindow: time.Duration(5+rng.IntN(6)) * time.Second, OverloadFactor: 2 + rng.Float64(), seeds: rng}
	deadline := time.Duration(600+rng.IntN(1400)) * time.Millisecond
	p.Classes = []class{
		{name: "read", effect: repeatable, aim: deadline / 4, deadline: deadline},
		{name: "record", effect: byKey, aim: deadline / 4, deadline: deadline, window: time.Duration(300+rng.IntN(900)) * time.Millisecond},
		{name: "pay", effect: once, aim: deadline / 4, deadline: deadline},
	}
	for _, h := range []habit{leaves, resets, halfCloses, leavesBehind, slowWriter, edgeWriter, stopsMid, longBody, longLeaves, hurried, malformed, fresh, edgeIdle} {
		p.habits = append(p.habits, habitShare{h, 0.06 * rng.Float64()})
	}
	for t := quietStart; t < length-quietEnd; t += time.Second + time.Duration(rng.Float64()*2.5*float64(time.Second)) {
		for range 2 + rng.IntN(2) {
			p.Faults = append(p.Faults, drawTrouble(rng, p, t, only))
		}
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.Start - b.Start) })
	return p
}

var (
	acceptErrors  = []string{"ENOBUFS", "ENOMEM", "EPROTO", "ENETDOWN", "EHOSTUNREACH", "ENETUNREACH", "EPERM", "EMFILE", "ENFILE", "EINTR", "ECONNABORTED", "ETIMEDOUT", "EOPNOTSUPP"}
	connectErrors = []string{"EADDRNOTAVAIL", "ENOBUFS", "ENETUNREACH", "EMFILE", "ENFILE", "EINTR", "EHOSTUNREACH", "ETIMEDOUT", "EPERM"}
	readErrors    = []string{"ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH", "ENETUNREACH", "EIO"}
	writeErrors   = []string{"ECONNRESET", "EPIPE", "ETIMEDOUT", "EHOSTUNREACH", "ENOBUFS"}
	clockSteps    = []string{"3s", "-3s", "1h", "-1h"}
	burstHabits   = []habit{leaves, resets, halfCloses, slowWriter, longBody, longLeaves, hurried, leavesBehind, stopsMid}
)

func pick[T any](rng *rand.Rand, from []T) T { return from[rng.IntN(len(from))] }

func drawTrouble(rng *rand.Rand, p *Plan, from time.Duration, only FaultKinds) Fault {
	kinds := troubleKinds
	if len(only) > 0 {
		kinds = only
	}
	t := Fault{Kind: pick(rng, kinds), Start: from + time.Duration(rng.Float64()*0.7*float64(time.Second)),
		Duration: 100*time.Millisecond + time.Duration(rng.Float64()*float64(longest-100*time.Millisecond)), Count: 1 + rng.IntN(4)}
	t.Target = rng.IntN(p.Agents)
	switch t.Kind {
	case ServerDrain, ServerCrash, ServerPause, ServerMode, ServerResets, PathCut, PathSlow, PathReset:
		t.Target = rng.IntN(p.Servers)
	}
	switch t.Kind {
	case ClockStep:
		t.Detail = pick(rng, clockSteps)
	case AcceptFails:
		t.Detail = pick(rng, acceptErrors)
	case ConnectFails:
		t.Detail, t.Count = pick(rng, connectErrors), 1+rng.IntN(8)
	case ServerReadFails, ClientReadFails:
		t.Detail = pick(rng, readErrors)
	case ServerWriteFails:
		t.Detail = pick(rng, writeErrors)
	case DiskFails:
		t.Detail = pick(rng, []string{"ENOSPC", "EIO"})
	case ServerMode:
		t.Detail = string(pick(rng, backendModes))
	case ClientBurst:
		t.Detail = string(pick(rng, burstHabits))
	}
	return t
}

// Describe tells the plan in lines.
func (p *Plan) Describe() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d agents with %.0f requests a second each, %d servers, asked %v, deadline %v, window %v, slow start from %.2f over %v, overload %.2f, %v long\n",
		p.Seed, p.Agents, p.Rate, p.Servers, p.Subscribed, p.Classes[0].deadline, p.Classes[1].window, p.SlowStartInitialFraction, p.SlowStartWindow, p.OverloadFactor, p.Length)
	for _, t := range p.Faults {
		fmt.Fprintln(&b, " ", t)
	}
	return b.String()
}

// settings are the agents' settings, in the platform's form.
func (p *Plan) settings(me int) map[string]any {
	var classes []map[string]any
	for _, c := range p.Classes {
		classes = append(classes, map[string]any{"AimNs": c.aim, "DeadlineNs": c.deadline, "Effect": c.effect, "Group": "all", "Name": c.name,
			"WindowNs": c.window, "Worth": 1})
	}
	mode := "automatic"
	if p.Subscribed {
		mode = "subscribe"
	}
	return map[string]any{"Balancers": p.Agents, "Me": me, "TickNs": 5 * time.Millisecond, "WeightKind": "silent", "Discovery": mode, "Zones": []string{"z"},
		"Ceilings": map[string]any{"ConnIdleNs": idleLimit, "ConnectTimeoutNs": 500 * time.Millisecond, "MaxRetryAfterNs": time.Second,
			"MostHeld": 1000, "MostTries": 4, "ParallelTries": true, "RetryAfter": true},
		"Classes": classes, "Report": map[string]any{"Fields": []string{"util"}, "Via": "piggyback"},
		"Rules": map[string]any{"ColdFrom": p.SlowStartInitialFraction, "ColdNs": p.SlowStartWindow, "OverloadFactor": p.OverloadFactor, "FallNs": fallWindow,
			"DrainGraceNs": drainGrace, "GraceToAnswerNs": 20 * time.Millisecond, "MustAskInNs": 10 * time.Second}}
}
