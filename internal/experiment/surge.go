package experiment

import (
	"image/color"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

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

// offeredPlots plots goodput and attempts per request against the load offered in the scenarios' surges, with a line for each variant. It
// returns nil unless the surges offer at least two different loads.
func offeredPlots(outcomes []Outcome, variants []string) []namedPlot {
	goodput, attempts := newPlot("goodput in the surge, as a share of the nodes' capacity", "share"), newPlot("attempts per request", "attempts")
	points := 0
	for i, variant := range variants {
		good, sent := map[float64][]float64{}, map[float64][]float64{}
		for _, outcome := range outcomes {
			if outcome.Variant == variant && outcome.Surge != nil && !outcome.Interrupted {
				good[outcome.Surge.Offered] = append(good[outcome.Surge.Offered], outcome.Surge.Goodput)
				sent[outcome.Surge.Offered] = append(sent[outcome.Surge.Offered], outcome.Attempts)
			}
		}
		addMeans(goodput, variant, palette()[i%len(palette())], good)
		addMeans(attempts, variant, palette()[i%len(palette())], sent)
		points = max(points, len(good))
	}
	if points < 2 {
		return nil
	}
	goodput.Y.Max = 1.05
	for _, p := range []*plot.Plot{goodput, attempts} {
		p.X.Label.Text = "offered load, as a multiple of the nodes' capacity"
		p.Y.Min = 0
		p.X.Max *= legendRoom
	}
	return []namedPlot{{"surge-goodput", goodput}, {"surge-attempts", attempts}}
}

// addMeans adds a line through the mean for each x, and each sample as a point.
func addMeans(p *plot.Plot, name string, c color.Color, by map[float64][]float64) {
	var line, all plotter.XYs
	for x, ys := range by {
		line = append(line, plotter.XY{X: x, Y: mean(ys)})
		for _, y := range ys {
			all = append(all, plotter.XY{X: x, Y: y})
		}
	}
	slices.SortFunc(line, func(a, b plotter.XY) int { return int(1e6 * (a.X - b.X)) })
	means, err := plotter.NewLine(line)
	if err != nil {
		return
	}
	samples, err := plotter.NewScatter(all)
	if err != nil {
		return
	}
	means.Color, samples.Color = c, c
	p.Add(means, samples)
	p.Legend.Add(name, means)
}
