package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"ryeweir/internal/crowd"
)

// behaviorShare is the fraction of all requests whose clients have one given behavior.
type behaviorShare struct {
	behavior clientBehavior
	fraction float64
}

// Plan holds everything that is drawn for a run.
type Plan struct {
	Seed                     uint64
	Length                   time.Duration
	Agents                   int
	Servers                  int
	MemoryMB                 int     // limit of each agent
	Descriptors              int     // limit of each agent
	Rate                     float64 // mean requests per second to each agent
	Subscribed               bool    // the settings tell agents to subscribe to discovery, instead of leaving the choice to them
	Zones                    []string
	Classes                  []class
	SlowStartInitialFraction float64
	SlowStartWindow          time.Duration
	OverloadFactor           float64
	Faults                   []Fault
	behaviors                []behaviorShare
	http10Share              float64    // fraction of requests that clients send by HTTP/1.0
	seeds                    *rand.Rand // for the seeds and ports of the processes, after all draws of the plan
}

// Limits of a plan.
const (
	quietStart       = 1500 * time.Millisecond // from the start of the run to the first fault
	quietEnd         = 3500 * time.Millisecond // from the last group of faults to the end of the run
	maxFaultDuration = 2500 * time.Millisecond // drawn for one fault
)

// The limits that a plan draws from: those of the platform's pages.
var (
	memoryLimits     = []int{32, 48, 96, 192}
	descriptorLimits = []int{256, 512, 1024}
)

// Draw makes the plan of a seed. Equal arguments give equal plans, so the order of the draws is fixed. The faults start two or three at a
// time, every 1 to 3.5 s.
func Draw(seed uint64, length time.Duration, allowed FaultKinds) *Plan {
	rng := rand.New(rand.NewPCG(seed, 31))
	p := &Plan{Seed: seed, Length: length, Agents: 3 + rng.IntN(3), Servers: 6 + rng.IntN(5), Rate: 25 + rng.Float64()*30, Subscribed: rng.Float64() < 0.7,
		SlowStartInitialFraction: 0.12 + 0.2*rng.Float64(), SlowStartWindow: time.Duration(5+rng.IntN(6)) * time.Second, OverloadFactor: 2 + rng.Float64(), seeds: rng}
	deadline := time.Duration(600+rng.IntN(1400)) * time.Millisecond
	p.Classes = []class{
		{name: "read", effect: idempotent, latencyObjective: deadline / 4, deadline: deadline},
		{name: "record", effect: idempotentWithKey, latencyObjective: deadline / 4, deadline: deadline, idempotencyWindow: time.Duration(300+rng.IntN(900)) * time.Millisecond},
		{name: "pay", effect: nonIdempotent, latencyObjective: deadline / 4, deadline: deadline},
	}
	for _, behavior := range []clientBehavior{closesEarly, resets, halfCloses, sendsTrailingBytes, leavesUnread, slowWriter, timeoutEdgeWriter, stopsMidway, longBody, closesInLongBody, shortTimeout, malformed, newConnection, idleLimitEdge} {
		p.behaviors = append(p.behaviors, behaviorShare{behavior, 0.06 * rng.Float64()})
	}
	p.MemoryMB, p.Descriptors = pick(rng, memoryLimits), pick(rng, descriptorLimits)
	for at := quietStart; at < length-quietEnd; at += time.Second + time.Duration(rng.Float64()*2.5*float64(time.Second)) {
		for range 2 + rng.IntN(2) {
			p.Faults = append(p.Faults, drawFault(rng, p, at, allowed))
		}
	}
	if len(allowed) == 0 {
		drawSlowTransfers(p)
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.Start - b.Start) })
	return p
}

// Describe returns the plan as text, with one fault on each line after the first.
func (p *Plan) Describe() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d agents with %.0f requests/s each, %d servers, subscribe to discovery: %v, deadline %v, idempotency window %v, slow start from a fraction of %.2f over %v, overload factor %.2f, %d MB and %d descriptors, length %v\n",
		p.Seed, p.Agents, p.Rate, p.Servers, p.Subscribed, p.Classes[0].deadline, p.Classes[1].idempotencyWindow, p.SlowStartInitialFraction, p.SlowStartWindow, p.OverloadFactor, p.MemoryMB, p.Descriptors, p.Length)
	for _, fault := range p.Faults {
		fmt.Fprintln(&b, " ", fault)
	}
	return b.String()
}

// settings returns the settings of agent number me, in the form of the deployment platform.
func (p *Plan) settings(me int) map[string]any {
	var classes []map[string]any
	for _, c := range p.Classes {
		classes = append(classes, map[string]any{"AimNs": c.latencyObjective, "DeadlineNs": c.deadline, "Effect": c.effect, "Group": "all", "Name": c.name,
			"WindowNs": c.idempotencyWindow, "Worth": 1})
	}
	mode := "automatic"
	if p.Subscribed {
		mode = "subscribe"
	}
	return map[string]any{"Balancers": p.Agents, "Me": me, "TickNs": 5 * time.Millisecond, "WeightKind": "silent", "Discovery": mode, "Zones": []string{"z"},
		"Ceilings": map[string]any{"ConnIdleNs": idleLimit, "ConnectTimeoutNs": 500 * time.Millisecond, "MaxRetryAfterNs": time.Second,
			"MostHeld": 1000, "MostTries": 4, "ParallelTries": true, "RetryAfter": true},
		"Classes": classes, "Report": map[string]any{"Fields": []string{"util"}, "Via": "piggyback"},
		"Rules": map[string]any{"ColdFrom": p.SlowStartInitialFraction, "ColdNs": p.SlowStartWindow, "OverloadFactor": p.OverloadFactor, "FallNs": slowStartRateWindow,
			"DrainGraceNs": drainGrace, "GraceToAnswerNs": 20 * time.Millisecond, "MustAskInNs": 10 * time.Second}}
}

// longestDeadline returns the longest deadline of a class, counted as 3 s at most, as the platform does.
func (p *Plan) longestDeadline() (longest time.Duration) {
	for _, c := range p.Classes {
		longest = max(longest, c.deadline)
	}
	return min(longest, 3*time.Second)
}

// example returns what crowds and floods send of the class with an effect.
func (p *Plan) example(effect effect) crowd.Request {
	i := slices.IndexFunc(p.Classes, func(c class) bool { return c.effect == effect })
	method := http.MethodPost
	if effect == idempotent {
		method = http.MethodGet
	}
	return crowd.Request{Method: method, Path: "/" + p.Classes[i].name, Timeout: p.Classes[i].deadline}
}
