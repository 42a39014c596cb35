package callers

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// PlannedRequest is a customer's request, before any attempt.
type PlannedRequest struct {
	Number         int           // index in the plan
	At             time.Duration // scheduled time
	Agent          int           // index in Spec.Agents
	Class          int           // index in Spec.Classes
	Tenant         int           // index in Spec.Tenants; -1 without tenants
	Key            string        // routing key; may be empty
	Work           time.Duration // on a core of speed 1
	CostHint       time.Duration // 0 for none
	PriorityWeight float64       // of its class, times its work divided by the class's mean work
	Seed           uint64        // of the client's random numbers
}

// planStream selects a PCG stream of its own for Plan, independent of other generators with the same seed.
const planStream = 0x63616c6c

// minCostHint is the unit of the cost hint on the wire: a shorter one would be sent as no hint.
const minCostHint = time.Microsecond

// Plan draws the requests of a run in the order of their times. Arrivals are a Poisson process with the rate of the spec: they are
// drawn at the peak rate and thinned to the rate at their time. Equal specs and seeds give equal plans, so the order in which random
// numbers are drawn is part of the contract.
func Plan(spec Spec, seed uint64) ([]PlannedRequest, error) {
	if err := spec.Check(); err != nil {
		return nil, err
	}
	maxRequests := spec.MaxRequests
	if maxRequests == 0 {
		maxRequests = DefaultMaxRequests
	}
	p := newPlanner(spec, seed)
	peak := spec.peakRate()
	traffic := spec.trafficAt(0)
	var plan []PlannedRequest
	for at := 0.0; ; { // seconds
		at += p.rng.ExpFloat64() / peak
		now := time.Duration(at * 1e9)
		if now >= spec.Duration {
			return plan, nil
		}
		if now >= traffic.until {
			traffic = spec.trafficAt(now)
		}
		if p.rng.Float64()*peak > spec.rateAt(now)*traffic.factor {
			continue
		}
		if len(plan) == maxRequests {
			return nil, fmt.Errorf("the plan exceeds %d requests at %v of a length of %v, with a peak rate of %.0f requests a second: reduce rate, load or length",
				maxRequests, now, spec.Duration, peak)
		}
		plan = append(plan, p.draw(len(plan), now, traffic.agents))
	}
}

// planner draws individual requests. Its slices are cumulative shares.
type planner struct {
	spec    Spec
	rng     *rand.Rand
	classes []float64
	tenants []float64
	keys    []float64
}

func newPlanner(spec Spec, seed uint64) *planner {
	return &planner{
		spec:    spec,
		rng:     rand.New(rand.NewPCG(seed, planStream)),
		classes: cumulative(spec.Classes, func(c Class) float64 { return c.Share }),
		tenants: cumulative(spec.Tenants, func(t Tenant) float64 { return t.Share }),
		keys:    cumulativeZipf(spec.Keys, spec.Zipf),
	}
}

func (p *planner) draw(number int, at time.Duration, agents []float64) PlannedRequest {
	request := PlannedRequest{
		Number: number,
		At:     at,
		Agent:  choose(p.rng, agents),
		Class:  choose(p.rng, p.classes),
		Tenant: -1,
		Seed:   p.rng.Uint64(),
	}
	if len(p.tenants) > 0 {
		request.Tenant = choose(p.rng, p.tenants)
	}
	if len(p.keys) > 0 {
		request.Key = keyName(choose(p.rng, p.keys))
	}
	class := p.spec.Classes[request.Class]
	request.Work = drawWork(p.rng, class)
	request.PriorityWeight = class.PriorityWeight * float64(request.Work) / float64(class.Work)
	if p.spec.CostHintError >= 0 {
		hint := float64(request.Work) * math.Exp(p.spec.CostHintError*p.rng.NormFloat64())
		request.CostHint = max(minCostHint, time.Duration(hint))
	}
	return request
}

// keyName returns the name of the key with a given popularity rank. The name does not reveal the rank.
func keyName(rank int) string { return fmt.Sprintf("k:%016x", splitmix64(uint64(rank)+1)) }
