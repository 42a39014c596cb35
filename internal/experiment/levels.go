package experiment

import (
	"slices"
	"time"

	"ryeweir/internal/emulator"
)

// Levels is what the fleet's budgets did in a day of processes that have them, as the agents told.
type Levels struct {
	Least    float64 `json:"least"`    // share of its demand that an agent took, a second before the surge ended: the least of all agents
	Median   float64 `json:"median"`   //
	Most     float64 `json:"most"`     //
	Shed     int64   `json:"shed"`     // requests refused by the budget; a killed process's are counted as it last told
	Withheld int64   `json:"withheld"` // retries not sent
	Pressed  int64   `json:"pressed"`  // looks at which an agent was over itself
}

// overloadMetrics are an agent's figures of its budget.
type overloadMetrics struct {
	Admitted float64
	Shed     int64
	Withheld int64
	Pressed  int64
}

// levels sums up what agents told of their budgets; nil where none told anything.
func levels(day *emulator.Scenario, sights [][]peerView) *Levels {
	end := day.Length
	if i := surgeOf(day); i >= 0 {
		end = day.Spec.Fleet.TrafficShifts[i].To.D()
	}
	l := &Levels{}
	var shares []float64
	for _, each := range sights {
		var last overloadMetrics // of the present process
		share, at := 0.0, time.Duration(-1)
		for _, s := range each {
			o := s.overload
			if o == nil {
				continue
			}
			if o.Shed < last.Shed || o.Pressed < last.Pressed { // another process began in between
				l.add(last)
			}
			last = *o
			if s.at <= end-time.Second {
				share, at = o.Admitted, s.at
			}
		}
		l.add(last)
		if at >= 0 {
			shares = append(shares, share)
		}
	}
	if len(shares) == 0 {
		return nil
	}
	slices.Sort(shares)
	l.Least, l.Median, l.Most = shares[0], shares[len(shares)/2], shares[len(shares)-1]
	return l
}

func (l *Levels) add(o overloadMetrics) {
	l.Shed, l.Withheld, l.Pressed = l.Shed+o.Shed, l.Withheld+o.Withheld, l.Pressed+o.Pressed
}
