// Package callers is the side that asks: what is sent when is drawn ahead, without I/O, and then sent at those times
// whether or not earlier answers have come (open loop), so that a slow service can't slow down what is asked of it.
package callers

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Class is a class of requests.
type Class struct {
	Name             string        `toml:"name"`
	Share            float64       `toml:"share"` // of the requests
	Work             time.Duration `toml:"-"`     // mean, on a core of speed 1
	CV               float64       `toml:"cv"`    // of the work: its standard deviation over its mean
	LatencyObjective time.Duration `toml:"-"`
	Deadline         time.Duration `toml:"-"` // over all tries
	PriorityWeight   float64       `toml:"worth"`
	LateWeight       float64       `toml:"late_worth"`
	NonIdempotent    bool          `toml:"once"` // must never run twice
}

// Tenant is one for whom requests are made.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"` // of the requests
}

// Shape names how the rate of requests goes over time.
type Shape string

// The shapes.
const (
	Steady Shape = "steady"
	Wave   Shape = "wave"  // up and down by Swing, over Period
	Burst  Shape = "burst" // Swing more for a fifth of each Period
	Ramp   Shape = "ramp"  // evenly from the rate to (1 + Swing) times it, over all
)

// Spec says what is asked.
type Spec struct {
	Classes       []Class
	Tenants       []Tenant
	Rate          float64 // requests a second, for all agents
	Duration      time.Duration
	Shape         Shape
	Swing         float64
	Period        time.Duration
	Agents        []float64      // the share of each agent
	Keys          int            // distinct keys; 0 for none
	Zipf          float64        // how much more popular the first keys are; 0 for all alike
	CostHintError float64        // relative standard deviation of the cost hint; below 0 for no hint
	MaxRequests   int            // requests at most; 0 for 200,000
	Shifts        []TrafficShift // may be empty
}

// TrafficShift multiplies what is asked of each agent for a while.
type TrafficShift struct {
	From, To time.Duration
	Factors  []float64 // an agent each
}

// DefaultMaxRequests is how many requests a plan holds at most where its spec does not say.
const DefaultMaxRequests = 200_000

// Check says what is wrong with a spec.
func (s Spec) Check() error {
	if len(s.Classes) == 0 || len(s.Agents) == 0 {
		return errors.New("there must be a class and an agent")
	}
	if !(s.Rate > 0) || s.Rate > 1e6 || s.Duration <= 0 {
		return fmt.Errorf("the rate must be above 0 and at most 1,000,000, not %v, and last for a while", s.Rate)
	}
	if !slices.Contains([]Shape{Steady, Wave, Burst, Ramp}, s.Shape) {
		return fmt.Errorf("unknown shape %q: there are steady, wave, burst and ramp", s.Shape)
	}
	if s.Swing < 0 || s.Shape == Wave && s.Swing > 1 || s.Period <= 0 && (s.Shape == Wave || s.Shape == Burst) {
		return errors.New("swing must not be below 0, nor above 1 in a wave, and a wave or bursts need a period")
	}
	for _, c := range s.Classes {
		if c.Share <= 0 || c.Work <= 0 || c.CV < 0 || c.LatencyObjective <= 0 || c.Deadline < c.LatencyObjective || c.PriorityWeight <= 0 || c.LateWeight < 0 || c.LateWeight > 1 {
			return fmt.Errorf("class %q needs a share, work, worth, an aim above 0 and a deadline not before it", c.Name)
		}
	}
	for _, t := range s.Tenants {
		if t.Share <= 0 {
			return fmt.Errorf("tenant %q needs a share above 0", t.Name)
		}
	}
	return nil
}

// PlannedRequest is something to ask: a customer's request, before any try.
type PlannedRequest struct {
	Number         int
	At             time.Duration
	Agent          int
	Class          int
	Tenant         int // -1 without tenants
	Key            string
	Work           time.Duration
	CostHint       time.Duration // 0 without one
	PriorityWeight float64       // its class's, for as much work as it is
	Seed           uint64        // for what its client draws
}

// Plan draws what is asked, in the order of time. Arrivals are a Poisson process whose rate follows the shape.
func Plan(s Spec, seed uint64) ([]PlannedRequest, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	most := s.MaxRequests
	if most == 0 {
		most = DefaultMaxRequests
	}
	rng := rand.New(rand.NewPCG(seed, 0x63616c6c))
	highest := s.Rate
	if s.Shape != Steady {
		highest *= 1 + s.Swing
	}
	classes, tenants := cumulative(s.Classes, func(c Class) float64 { return c.Share }), cumulative(s.Tenants, func(t Tenant) float64 { return t.Share })
	agents, times, until := s.agentShares(0)
	highest *= s.maxShiftFactor()
	keys := cumulativeZipf(s.Keys, s.Zipf)
	var out []PlannedRequest
	for at := 0.0; ; {
		at += rng.ExpFloat64() / highest // thinned to the rate at that time
		now := time.Duration(at * 1e9)
		if now >= s.Duration {
			return out, nil
		}
		if now >= until {
			agents, times, until = s.agentShares(now)
		}
		if rng.Float64()*highest > s.rate(now)*times {
			continue
		}
		if len(out) == most {
			return nil, fmt.Errorf("more than %d requests: lower the rate or the time", most)
		}
		p := PlannedRequest{Number: len(out), At: now, Agent: choose(rng, agents), Class: choose(rng, classes), Tenant: -1, Seed: rng.Uint64()}
		if len(tenants) > 0 {
			p.Tenant = choose(rng, tenants)
		}
		if len(keys) > 0 {
			p.Key = fmt.Sprintf("k:%016x", splitmix64(uint64(choose(rng, keys))+1))
		}
		c := s.Classes[p.Class]
		p.Work = drawWork(rng, c)
		p.PriorityWeight = c.PriorityWeight * float64(p.Work) / float64(c.Work)
		if s.CostHintError >= 0 {
			p.CostHint = max(time.Microsecond, time.Duration(float64(p.Work)*math.Exp(s.CostHintError*rng.NormFloat64())))
		}
		out = append(out, p)
	}
}

// agentShares are the agents' cumulated shares at a time, how many times as much as usual is asked of all of them together, and until
// when that holds.
func (s Spec) agentShares(at time.Duration) (cumulated []float64, times float64, until time.Duration) {
	shares, usual, now := slices.Clone(s.Agents), 0.0, 0.0
	until = math.MaxInt64
	for _, shift := range s.Shifts {
		if at < shift.From {
			until = min(until, shift.From)
		} else if at < shift.To {
			until = min(until, shift.To)
			for i := range shares {
				shares[i] *= shift.Factors[i]
			}
		}
	}
	for i, x := range shares {
		usual, now = usual+s.Agents[i], now+x
	}
	return cumulative(shares, func(x float64) float64 { return x }), now / usual, until
}

// maxShiftFactor is how many times as much as usual is asked at the most.
func (s Spec) maxShiftFactor() float64 {
	most := 1.0
	for _, shift := range s.Shifts {
		for _, at := range []time.Duration{shift.From, shift.To} {
			_, times, _ := s.agentShares(at)
			most = max(most, times)
		}
	}
	return most
}

// rate is how much is asked a second at a time.
func (s Spec) rate(at time.Duration) float64 {
	switch s.Shape {
	case Wave:
		return s.Rate * (1 + s.Swing*math.Sin(2*math.Pi*float64(at)/float64(s.Period)))
	case Burst:
		if at%s.Period < s.Period/5 {
			return s.Rate * (1 + s.Swing)
		}
	case Ramp:
		return s.Rate * (1 + s.Swing*float64(at)/float64(s.Duration))
	}
	return s.Rate
}

// drawWork draws from a log-normal distribution with the class's mean and variation.
func drawWork(rng *rand.Rand, c Class) time.Duration {
	if c.CV == 0 {
		return c.Work
	}
	variance := math.Log(1 + c.CV*c.CV)
	x := math.Exp(math.Sqrt(variance)*rng.NormFloat64() - variance/2)
	return max(100*time.Microsecond, time.Duration(float64(c.Work)*min(x, 20)))
}

// cumulative is the running sum of shares, ending at 1.
func cumulative[T any](of []T, share func(T) float64) []float64 {
	sum := 0.0
	out := make([]float64, len(of))
	for i, x := range of {
		sum += share(x)
		out[i] = sum
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}

func choose(rng *rand.Rand, cumulated []float64) int {
	i, _ := slices.BinarySearch(cumulated, rng.Float64())
	return min(i, len(cumulated)-1)
}

// cumulativeZipf is the running sum of the popularity of keys.
func cumulativeZipf(n int, exponent float64) []float64 {
	return cumulative(make([]struct{}, n), func() func(struct{}) float64 {
		i := 0.0
		return func(struct{}) float64 { i++; return math.Pow(i, -exponent) }
	}())
}

// splitmix64 is the splitmix64 finalizer: names of keys tell nothing of their rank.
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
