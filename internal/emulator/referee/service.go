package referee

import (
	"math"
	"slices"
	"time"
)

// CallResult is what a customer asked for, over all the tries of its client.
type CallResult struct {
	At               time.Duration // when it was to be sent, whether or not that was in time
	Agent            int           // that its client uses
	Class            int
	Tenant           int
	PriorityWeight   float64 // of an answer within the aim
	LateWeight       float64 // share of it for a later one
	LatencyObjective time.Duration
	Latency          time.Duration // from At to the whole answer
	Answered         bool          // served at all
	Attempts         int
}

// EarnedWeight is what the call earned.
func (c CallResult) EarnedWeight() float64 {
	switch {
	case !c.Answered:
		return 0
	case c.Latency <= c.LatencyObjective:
		return c.PriorityWeight
	}
	return c.PriorityWeight * c.LateWeight
}

// WorstWindowLength is the length of the window that the worst one is sought over.
const WorstWindowLength = 10 * time.Second

// Service is the share of worth that was earned, as a whole and where it was worst.
type Service struct {
	Overall     float64   `json:"service"` // worth answered in time over worth asked for
	WorstWindow float64   `json:"worst_window"`
	ByClass     []float64 `json:"by_class"`
	ByTenant    []float64 `json:"by_tenant"`
}

// Goal weighs the parts as the deployment does: 35% the whole, 35% the worst 10 s, 20% the worst class and 10% the worst
// tenant.
func (s Service) Goal() float64 {
	return 0.35*s.Overall + 0.35*s.WorstWindow + 0.2*lowest(s.ByClass) + 0.1*lowest(s.ByTenant)
}

func lowest(xs []float64) float64 {
	low := math.Inf(1)
	for _, x := range xs {
		if !math.IsNaN(x) {
			low = min(low, x)
		}
	}
	if math.IsInf(low, 1) {
		return 1
	}
	return low
}

// share is earned over asked; 1 where nothing was asked for.
type share struct{ earned, offered float64 }

func (s *share) add(c CallResult) {
	s.earned, s.offered = s.earned+c.EarnedWeight(), s.offered+c.PriorityWeight
}

func (s share) value() float64 {
	if s.offered == 0 {
		return 1
	}
	return s.earned / s.offered
}

// MeasureService counts the service of calls, of which those before from are left out. Seconds, classes and tenants without a call
// count as served.
func MeasureService(calls []CallResult, from time.Duration, classes, tenants int) Service {
	var whole share
	byClass, byTenant := make([]share, classes), make([]share, tenants)
	var seconds []share
	for _, c := range calls {
		if c.At < from {
			continue
		}
		whole.add(c)
		if c.Class >= 0 && c.Class < classes {
			byClass[c.Class].add(c)
		}
		if c.Tenant >= 0 && c.Tenant < tenants {
			byTenant[c.Tenant].add(c)
		}
		s := int((c.At - from) / time.Second)
		if s >= len(seconds) {
			seconds = append(seconds, make([]share, s+1-len(seconds))...)
		}
		seconds[s].add(c)
	}
	out := Service{Overall: whole.value(), WorstWindow: whole.value()}
	for _, s := range byClass {
		out.ByClass = append(out.ByClass, s.value())
	}
	for _, s := range byTenant {
		out.ByTenant = append(out.ByTenant, s.value())
	}
	span := int(WorstWindowLength / time.Second)
	for i := 0; i+span <= len(seconds); i++ {
		var w share
		for _, s := range seconds[i : i+span] {
			w.earned, w.offered = w.earned+s.earned, w.offered+s.offered
		}
		out.WorstWindow = min(out.WorstWindow, w.value())
	}
	return out
}

// BySecond is the service of each second from the start; NaN where nothing was asked for.
func BySecond(calls []CallResult) []float64 {
	var seconds []share
	for _, c := range calls {
		s := int(c.At / time.Second)
		if s >= len(seconds) {
			seconds = append(seconds, make([]share, s+1-len(seconds))...)
		}
		seconds[s].add(c)
	}
	out := make([]float64, len(seconds))
	for i, s := range seconds {
		if out[i] = s.value(); s.offered == 0 {
			out[i] = math.NaN()
		}
	}
	return out
}

// Latencies are the latencies of the answered calls of a class (-1 for all), in rising order.
func Latencies(calls []CallResult, class int) []time.Duration {
	var out []time.Duration
	for _, c := range calls {
		if c.Answered && (class < 0 || c.Class == class) {
			out = append(out, c.Latency)
		}
	}
	slices.Sort(out)
	return out
}
