package referee

import (
	"math"
	"slices"
	"time"
)

// CallResult is the result of a call: a customer's request with all attempts of its client.
type CallResult struct {
	At               time.Duration // when it was scheduled, even if it was sent later
	Agent            int           // index of the agent that its client uses
	Class            int           // index of its class
	Tenant           int           // index of its tenant, or -1
	PriorityWeight   float64       // earned by a response within LatencyObjective
	LateWeight       float64       // fraction of PriorityWeight earned by a later response
	LatencyObjective time.Duration
	Latency          time.Duration // from At to the end of the response
	Answered         bool          // an attempt was served
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

// WorstWindowLength is the length of the windows over which Service.WorstWindow is the minimum.
const WorstWindowLength = 10 * time.Second

// Service is the fraction of the priority weight that was earned: overall, in the worst window, by class and by tenant.
type Service struct {
	Overall     float64   `json:"service"`
	WorstWindow float64   `json:"worst_window"`
	ByClass     []float64 `json:"by_class"`
	ByTenant    []float64 `json:"by_tenant"`
}

// The weights of Goal, as defined by the platform.
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

// lowest returns the minimum of the values that are not NaN, or 1 if there is none.
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

// weight is the priority weight that calls have earned, and the most that they could have earned (offered).
type weight struct{ earned, offered float64 }

func (w *weight) add(c CallResult) {
	w.earned += c.EarnedWeight()
	w.offered += c.PriorityWeight
}

func (w *weight) addWeight(other weight) {
	w.earned += other.earned
	w.offered += other.offered
}

// share returns the earned fraction of the offered weight, or 1 if nothing was offered.
func (w weight) share() float64 {
	if w.offered == 0 {
		return 1
	}
	return w.earned / w.offered
}

// weightsBySecond holds the weight of the calls scheduled in each second.
type weightsBySecond []weight

// add adds a call that was scheduled at a time relative to the start of the first second.
func (s *weightsBySecond) add(c CallResult, at time.Duration) {
	second := int(at / time.Second)
	if second >= len(*s) {
		*s = append(*s, make([]weight, second+1-len(*s))...)
	}
	(*s)[second].add(c)
}

// worstWindow returns the minimum earned fraction of all windows, or atMost if that is lower. A window starts at each second from which
// WorstWindowLength fits into the seconds of s.
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

// MeasureService returns the service of the calls that were scheduled at from or later. Windows, classes and tenants without a
// call count as fully served.
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

// BySecond returns the earned fraction for each second from the start, with NaN for seconds without a call.
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
