package experiment

import (
	"slices"
	"time"

	"ryeweir/internal/emulator"
)

// Surge has the figures of a scenario's surge: its first traffic shift that multiplies the traffic of all agents by more than 1.
type Surge struct {
	Offered         float64 `json:"offered"` // load offered during the surge, as a multiple of the nodes' capacity
	Goodput         float64 `json:"goodput"` // work for responses that were received, as a fraction of the nodes' capacity; without the first second
	Before          float64 `json:"before"`  // mean service in the three seconds before the surge
	RecoverySeconds float64 `json:"back_s"`  // seconds from the end of the surge until service is at least 0.9 of Before for three seconds in a row; -1: never
}

// goodputWarmUp is the time from the beginning of a surge that its goodput leaves out.
const goodputWarmUp = time.Second

// Service has recovered when it is at least recoveredFraction of Surge.Before for recoveredSeconds in a row.
const (
	recoveredFraction = 0.9
	recoveredSeconds  = 3
)

// surgeShift returns the index of the traffic shift that is the scenario's surge, or -1 if it has none.
func surgeShift(scenario *emulator.Scenario) int {
	return slices.IndexFunc(scenario.Spec.Fleet.TrafficShifts, func(s emulator.TrafficShiftSpec) bool { return s.Zone == "" && s.Factor > 1 })
}

// summarizeSurge computes the figures of a scenario's surge. It returns nil if there is no surge or the nodes were not sampled.
func summarizeSurge(scenario *emulator.Scenario, outcome Outcome) *Surge {
	shiftIndex := surgeShift(scenario)
	if shiftIndex < 0 || len(outcome.Series.Goodput) == 0 {
		return nil
	}
	shift := scenario.Spec.Fleet.TrafficShifts[shiftIndex]
	result := &Surge{Offered: scenario.Spec.Load * shift.Factor, RecoverySeconds: -1}
	fromSecond, toSecond := int((shift.From.D()+goodputWarmUp)/time.Second), int(shift.To.D()/time.Second)
	if goodput := outcome.Series.Goodput; fromSecond < toSecond && fromSecond < len(goodput) {
		result.Goodput = mean(goodput[fromSecond:min(toSecond, len(goodput))])
	}
	service := func(second int) float64 {
		if second < 0 || second >= len(outcome.Series.Service) || outcome.Series.Service[second] == nil {
			return 1
		}
		return *outcome.Series.Service[second]
	}
	start := int(shift.From.D() / time.Second)
	result.Before = mean([]float64{service(start - 1), service(start - 2), service(start - 3)})
	for second := toSecond; second+recoveredSeconds <= len(outcome.Series.Service); second++ {
		recovered := true
		for k := range recoveredSeconds {
			recovered = recovered && service(second+k) >= recoveredFraction*result.Before
		}
		if recovered {
			result.RecoverySeconds = float64(second - toSecond)
			break
		}
	}
	return result
}
