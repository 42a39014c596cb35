package callers

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Class is a class of requests.
type Class struct {
	Name             string        `toml:"name"`
	Share            float64       `toml:"share"` // fraction of the requests, relative to the sum of all shares
	Work             time.Duration `toml:"-"`     // mean time on a core of speed 1
	CV               float64       `toml:"cv"`    // coefficient of variation of the work
	LatencyObjective time.Duration `toml:"-"`
	Deadline         time.Duration `toml:"-"`          // for all attempts together
	PriorityWeight   float64       `toml:"worth"`      // earned by a response within LatencyObjective
	LateWeight       float64       `toml:"late_worth"` // fraction of PriorityWeight earned by a later response
	NonIdempotent    bool          `toml:"once"`       // must never be executed twice
}

// Tenant is a customer of the service on whose behalf requests are sent.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"` // fraction of the requests, relative to the sum of all shares
}

// Shape names how the rate of requests changes over time.
type Shape string

// The shapes.
const (
	Steady Shape = "steady" // constant
	Wave   Shape = "wave"   // a sine wave with the relative amplitude Swing and the period Period
	Burst  Shape = "burst"  // (1 + Swing) times the rate in the first fifth of each Period
	Ramp   Shape = "ramp"   // linear from the rate to (1 + Swing) times the rate over the whole duration
)

// Spec configures a plan.
type Spec struct {
	Classes       []Class
	Tenants       []Tenant
	Rate          float64 // requests per second, for all agents together
	Duration      time.Duration
	Shape         Shape
	Swing         float64
	Period        time.Duration
	Agents        []float64      // relative share of each agent
	Keys          int            // number of distinct routing keys; 0 for none
	Zipf          float64        // exponent of the Zipf distribution of the keys; 0 for a uniform one
	CostHintError float64        // relative standard deviation of the cost hint; negative for no hint
	MaxRequests   int            // 0 for DefaultMaxRequests
	Shifts        []TrafficShift // may be empty
}

// TrafficShift multiplies the traffic of each agent by a factor from From to To.
type TrafficShift struct {
	From, To time.Duration
	Factors  []float64 // by agent index
}

// DefaultMaxRequests is the maximum number of requests of a plan if its spec sets none.
const DefaultMaxRequests = 200_000

const maxRate = 1e6 // requests per second

// Check returns an error that describes the first invalid setting, by its key in scenario files.
func (s Spec) Check() error {
	if len(s.Classes) == 0 || len(s.Agents) == 0 {
		return fmt.Errorf("at least one class and one agent are required, got %d and %d", len(s.Classes), len(s.Agents))
	}
	if !(s.Rate > 0) || s.Rate > maxRate || s.Duration <= 0 {
		return fmt.Errorf("rate must be above 0 and at most 1000000 requests per second, not %v, and length above 0, not %v", s.Rate, s.Duration)
	}
	if !slices.Contains([]Shape{Steady, Wave, Burst, Ramp}, s.Shape) {
		return fmt.Errorf("unknown shape %q: must be steady, wave, burst or ramp", s.Shape)
	}
	periodic := s.Shape == Wave || s.Shape == Burst
	if s.Swing < 0 || s.Shape == Wave && s.Swing > 1 || periodic && s.Period <= 0 {
		return fmt.Errorf("swing (%v) must be at least 0, and at most 1 for shape wave; period (%v) must be above 0 for the shapes wave and burst; got shape %s",
			s.Swing, s.Period, s.Shape)
	}
	for _, class := range s.Classes {
		if class.invalid() {
			return fmt.Errorf("class %q: share (%v), work (%v), worth (%v) and aim (%v) must be above 0, deadline (%v) at least aim, "+
				"late_worth (%v) from 0 to 1, and cv (%v) at least 0", class.Name, class.Share, class.Work, class.PriorityWeight,
				class.LatencyObjective, class.Deadline, class.LateWeight, class.CV)
		}
	}
	for _, tenant := range s.Tenants {
		if tenant.Share <= 0 {
			return fmt.Errorf("tenant %q: share must be above 0, not %v", tenant.Name, tenant.Share)
		}
	}
	return nil
}

func (c Class) invalid() bool {
	notPositive := c.Share <= 0 || c.Work <= 0 || c.LatencyObjective <= 0 || c.PriorityWeight <= 0
	return notPositive || c.CV < 0 || c.Deadline < c.LatencyObjective || c.LateWeight < 0 || c.LateWeight > 1
}

// traffic is the division of the requests among the agents during an interval in which no traffic shift starts or ends.
type traffic struct {
	agents []float64     // cumulative shares
	factor float64       // of the total rate, compared with the rate without traffic shifts
	until  time.Duration // end of the interval
}

// trafficAt returns the traffic of the interval that begins at a time.
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

// maxTrafficFactor returns the maximum of the traffic factor over all times, at least 1.
func (s Spec) maxTrafficFactor() float64 {
	largest := 1.0
	for _, shift := range s.Shifts {
		largest = max(largest, s.trafficAt(shift.From).factor, s.trafficAt(shift.To).factor)
	}
	return largest
}

// rateAt returns the rate at a time, in requests per second and without traffic shifts.
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

// peakRate returns an upper bound of the rate at all times, including traffic shifts.
func (s Spec) peakRate() float64 {
	highest := s.Rate
	if s.Shape != Steady {
		highest *= 1 + s.Swing
	}
	return highest * s.maxTrafficFactor()
}
