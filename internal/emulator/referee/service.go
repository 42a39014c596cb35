package referee

import (
	"math"
	"slices"
	"time"
)

// CallResult is what became of a customer's request, over all attempts of its client.
type CallResult struct {
	At               time.Duration // when it was due, whether or not it was sent then
	Agent            int           // that its client uses
	Class            int
	Tenant           int
	PriorityWeight   float64 // of a response within the objective
	LateWeight       float64 // share of PriorityWeight that a later response earns
	LatencyObjective time.Duration
	Latency          time.Duration // from At to the end of the response
	Answered         bool          // served at all
	Attempts         int
}

// EarnedWeight returns the part of the priority weight that the call has earned.
func (c CallResult) EarnedWeight() float64 {
	switch {
	case !c.Answered:
		return 0
	case c.Latency <= c.LatencyObjective:
		return c.PriorityWeight
	}
	return c.PriorityWeight * c.LateWeight
}

// WorstWindowLength is the length of the windows among which the worst is sought.
const WorstWindowLength = 10 * time.Second

// Service is the earned share of the priority weight of all requests: overall, in the worst window, by class and by tenant.
type Service struct {
	Overall     float64   `json:"service"`
	WorstWindow float64   `json:"worst_window"`
	ByClass     []float64 `json:"by_class"`
	ByTenant    []float64 `json:"by_tenant"`
}

// The weights of Goal, as the platform has them.
const (
	overallWeight     = 0.35
	worstWindowWeight = 0.35
	worstClassWeight  = 0.2
	worstTenantWeight = 0.1
)

// Goal returns the weighted sum of the overall service, the worst window, the worst class and the worst tenant.
func (s Service) Goal() float64 {
	return overallWeight*s.Overall + worstWindowWeight*s.WorstWindow + worstClassWeight*lowest(s.ByClass) + worstTenantWeight*lowest(s.ByTenant)
}

// lowest returns the lowest of the values that are numbers, or 1 where there is none.
func lowest(values []float64) float64 {
	low := math.Inf(1)
	for _, x := range values {
		if !math.IsNaN(x) {
			low = min(low, x)
		}
	}
	if math.IsInf(low, 1) {
		return 1
	}
	return low
}

// weight is the priority weight that was earned, and that was offered by requests.
type weight struct{ earned, offered float64 }

func (w *weight) add(c CallResult) {
	w.earned += c.EarnedWeight()
	w.offered += c.PriorityWeight
}

func (w *weight) addWeight(other weight) {
	w.earned += other.earned
	w.offered += other.offered
}

// share returns the earned share; 1 where there was no request.
func (w weight) share() float64 {
	if w.offered == 0 {
		return 1
	}
	return w.earned / w.offered
}

// weightsBySecond are the weights of the calls of each second.
type weightsBySecond []weight

// add adds a call that was due at a time from the first second's beginning.
func (s *weightsBySecond) add(c CallResult, at time.Duration) {
	second := int(at / time.Second)
	if second >= len(*s) {
		*s = append(*s, make([]weight, second+1-len(*s))...)
	}
	(*s)[second].add(c)
}

// worstWindow returns the lowest share of all windows, or atMost where that is lower.
func (s weightsBySecond) worstWindow(atMost float64) float64 {
	worst := atMost
	length := int(WorstWindowLength / time.Second)
	for i := 0; i+length <= len(s); i++ {
		var window weight
		for _, second := range s[i : i+length] {
			window.addWeight(second)
		}
		worst = min(worst, window.share())
	}
	return worst
}

// MeasureService returns the service of the calls that were due from a time on. Windows, classes and tenants without a call count
// as fully served.
func MeasureService(calls []CallResult, from time.Duration, classes, tenants int) Service {
	var overall weight
	var seconds weightsBySecond
	byClass, byTenant := make([]weight, classes), make([]weight, tenants)
	for _, c := range calls {
		if c.At < from {
			continue
		}
		overall.add(c)
		if c.Class >= 0 && c.Class < classes {
			byClass[c.Class].add(c)
		}
		if c.Tenant >= 0 && c.Tenant < tenants {
			byTenant[c.Tenant].add(c)
		}
		seconds.add(c, c.At-from)
	}
	return Service{
		Overall:     overall.share(),
		WorstWindow: seconds.worstWindow(overall.share()),
		ByClass:     shares(byClass),
		ByTenant:    shares(byTenant),
	}
}

func shares(weights []weight) (shares []float64) {
	for _, w := range weights {
		shares = append(shares, w.share())
	}
	return shares
}

// BySecond returns the service of each second from the start; NaN where there was no request.
func BySecond(calls []CallResult) []float64 {
	var seconds weightsBySecond
	for _, c := range calls {
		seconds.add(c, c.At)
	}
	service := make([]float64, len(seconds))
	for i, second := range seconds {
		service[i] = second.share()
		if second.offered == 0 {
			service[i] = math.NaN()
		}
	}
	return service
}

// Latencies returns the latencies of the answered calls of a class (-1 for all), in ascending order.
func Latencies(calls []CallResult, class int) []time.Duration {
	var latencies []time.Duration
	for _, c := range calls {
		if c.Answered && (class < 0 || c.Class == class) {
			latencies = append(latencies, c.Latency)
		}
	}
	slices.Sort(latencies)
	return latencies
}
