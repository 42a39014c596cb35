package experiment

import (
	"time"

	"ryeweir/internal/emulator"
	"ryeweir/internal/emulator/referee"
)

// passedOver returns two fractions of the work of the class with the highest priority weight. served is the fraction that was answered.
// missedFraction is the fraction that was not answered while, in the same second, nodes answered as much work of classes with a lower
// weight; a strict priority order across the fleet brings it to 0. Requests that were lost for other reasons, such as a killed agent, count
// as not answered, too.
func passedOver(scenario *emulator.Scenario, calls []referee.CallResult) (served, missedFraction float64) {
	top := 0
	for i, c := range scenario.Classes {
		if c.PriorityWeight > scenario.Classes[top].PriorityWeight {
			top = i
		}
	}
	var asked, lost float64
	var missed, lesser []float64 // by second: unanswered work of the top class, and answered work of lower classes
	for _, c := range calls {
		work, second := scenario.Classes[c.Class].Work.Seconds(), int(c.At/time.Second)
		for len(missed) <= second {
			missed, lesser = append(missed, 0), append(lesser, 0)
		}
		switch {
		case c.Class == top:
			asked += work
			if !c.Answered {
				missed[second] += work
				lost += work
			}
		case c.Answered && scenario.Classes[c.Class].PriorityWeight < scenario.Classes[top].PriorityWeight:
			lesser[second] += work
		}
	}
	for second, work := range missed {
		missedFraction += min(work, lesser[second])
	}
	if asked == 0 {
		return 1, 0
	}
	return 1 - lost/asked, missedFraction / asked
}
