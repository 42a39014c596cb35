package callers

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// Class is a class of requests.
type Class struct {
	Name             string        `toml:"name"`
	Share            float64       `toml:"share"` // of the requests
	Work             time.Duration `toml:"-"`     // mean, on a core of speed 1
	CV               float64       `toml:"cv"`    // coefficient of variation of the work
	LatencyObjective time.Duration `toml:"-"`
	Deadline         time.Duration `toml:"-"`          // over all attempts
	PriorityWeight   float64       `toml:"worth"`      // of a response within the objective
	LateWeight       float64       `toml:"late_worth"` // share of PriorityWeight that a later response earns
	NonIdempotent    bool          `toml:"once"`       // must never be executed twice
}

// Tenant is a customer of the service for whom requests are made.
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
	Ramp   Shape = "ramp"  // evenly from the rate to (1 + Swing) times it, over the whole duration
)

// Spec says what a plan is like.
type Spec struct {
	Classes       []Class
	Tenants       []Tenant
	Rate          float64 // requests a second, for all agents together
	Duration      time.Duration
	Shape         Shape
	Swing         float64
	Period        time.Duration
	Agents        []float64      // the share of each agent
	Keys          int            // distinct routing keys; 0 for none
	Zipf          float64        // exponent of the keys' popularity; 0 for all alike
	CostHintError float64        // relative standard deviation of the cost hint; below 0 for no hint
	MaxRequests   int            // 0 for DefaultMaxRequests
	Shifts        []TrafficShift // may be empty
}

// TrafficShift multiplies the traffic of each agent for a while.
type TrafficShift struct {
	From, To time.Duration
	Factors  []float64 // by agent
}

// DefaultMaxRequests is how many requests a plan holds at most where its spec does not say.
const DefaultMaxRequests = 200_000

const maxRate = 1e6 // requests a second

// Check returns what is wrong with a spec.
func (s Spec) Check() error {
	if len(s.Classes) == 0 || len(s.Agents) == 0 {
		return errors.New("there must be a class and an agent")
	}
	if !(s.Rate > 0) || s.Rate > maxRate || s.Duration <= 0 {
		return fmt.Errorf("the rate must be above 0 and at most 1,000,000, not %v, and last for a while", s.Rate)
	}
	if !slices.Contains([]Shape{Steady, Wave, Burst, Ramp}, s.Shape) {
		return fmt.Errorf("unknown shape %q: there are steady, wave, burst and ramp", s.Shape)
	}
	periodic := s.Shape == Wave || s.Shape == Burst
	if s.Swing < 0 || s.Shape == Wave && s.Swing > 1 || periodic && s.Period <= 0 {
		return errors.New("swing must not be below 0, nor above 1 in a wave, and a wave or bursts need a period")
	}
	for _, class := range s.Classes {
		if class.invalid() {
			return fmt.Errorf("class %q needs a share, work, worth, an aim above 0 and a deadline not before it", class.Name)
		}
	}
	for _, tenant := range s.Tenants {
		if tenant.Share <= 0 {
			return fmt.Errorf("tenant %q needs a share above 0", tenant.Name)
		}
	}
	return nil
}

func (c Class) invalid() bool {
	notPositive := c.Share <= 0 || c.Work <= 0 || c.LatencyObjective <= 0 || c.PriorityWeight <= 0
	return notPositive || c.CV < 0 || c.Deadline < c.LatencyObjective || c.LateWeight < 0 || c.LateWeight > 1
}

// traffic is how requests are shared among the agents during an interval without a change of shift.
type traffic struct {
	agents []float64     // cumulative shares
	factor float64       // of all agents' traffic together, compared with the spec's rate
	until  time.Duration // the end of the interval
}

// trafficAt returns the traffic's division at a time.
func (s Spec) trafficAt(at time.Duration) traffic {
	shares := slices.Clone(s.Agents)
	until := time.Duration(math.MaxInt64)
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
	baseline, shifted := 0.0, 0.0
	for i, share := range shares {
		baseline += s.Agents[i]
		shifted += share
	}
	return traffic{
		agents: cumulative(shares, func(x float64) float64 { return x }),
		factor: shifted / baseline,
		until:  until,
	}
}

// maxTrafficFactor returns the largest factor of all times, at least 1.
func (s Spec) maxTrafficFactor() float64 {
	largest := 1.0
	for _, shift := range s.Shifts {
		largest = max(largest, s.trafficAt(shift.From).factor, s.trafficAt(shift.To).factor)
	}
	return largest
}

// rateAt returns the rate of requests at a time, in requests a second and without traffic shifts.
func (s Spec) rateAt(at time.Duration) float64 {
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

// peakRate returns a rate that rateAt never exceeds, traffic shifts included.
func (s Spec) peakRate() float64 {
	highest := s.Rate
	if s.Shape != Steady {
		highest *= 1 + s.Swing
	}
	return highest * s.maxTrafficFactor()
}
