package experiment

import (
	"image/color"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"ryeweir/internal/emulator"
)

// Surge is what came of a day's first shift upwards of the traffic at all agents.
type Surge struct {
	Offered float64 `json:"offered"` // asked for while it lasted, as a multiple of what the nodes can do
	Goodput float64 `json:"goodput"` // work done for answers that somebody got, of what the nodes can do; from a second in
	Before  float64 `json:"before"`  // service in the second before it, and the two before that
	Back    float64 `json:"back_s"`  // seconds from its end until service is at 0.9 of Before for three seconds on end; below 0 where it never is
}

// onset is how long a surge has lasted when its goodput begins to count.
const onset = time.Second

const (
	backTo  = 0.9
	backFor = 3 // seconds on end
)

// surgeOf is the number of the shift that is a day's surge; -1 where it has none.
func surgeOf(day *emulator.Scenario) int {
	return slices.IndexFunc(day.Spec.Fleet.TrafficShifts, func(s emulator.TrafficShiftSpec) bool { return s.Zone == "" && s.Factor > 1 })
}

// surge sums up a day's surge; nil where it has none, or where nobody looked at the nodes.
func surge(day *emulator.Scenario, o Outcome) *Surge {
	i := surgeOf(day)
	if i < 0 || len(o.Series.Goodput) == 0 {
		return nil
	}
	shift := day.Spec.Fleet.TrafficShifts[i]
	s := &Surge{Offered: day.Spec.Load * shift.Factor, Back: -1}
	from, to := int((shift.From.D()+onset)/time.Second), int(shift.To.D()/time.Second)
	if g := o.Series.Goodput; from < to && from < len(g) {
		s.Goodput = mean(g[from:min(to, len(g))])
	}
	service := func(second int) float64 {
		if second < 0 || second >= len(o.Series.Service) || o.Series.Service[second] == nil {
			return 1
		}
		return *o.Series.Service[second]
	}
	start := int(shift.From.D() / time.Second)
	s.Before = mean([]float64{service(start - 1), service(start - 2), service(start - 3)})
	for second := to; second+backFor <= len(o.Series.Service); second++ {
		well := true
		for k := range backFor {
			well = well && service(second+k) >= backTo*s.Before
		}
		if well {
			s.Back = float64(second - to)
			break
		}
	}
	return s
}

// offeredPlots are goodput, and attempts at nodes a request, against what was offered in the days' surges, an arm a line; none
// where fewer than two days have a surge.
func offeredPlots(outcomes []Outcome, arms []string) []named {
	goodput, attempts := newPlot("goodput in the surge, of what the nodes can do", "share"), newPlot("attempts at nodes, a request", "attempts")
	points := 0
	for i, arm := range arms {
		good, sent := map[float64][]float64{}, map[float64][]float64{}
		for _, o := range outcomes {
			if o.Variant == arm && o.Surge != nil && !o.Interrupted {
				good[o.Surge.Offered] = append(good[o.Surge.Offered], o.Surge.Goodput)
				sent[o.Surge.Offered] = append(sent[o.Surge.Offered], o.Attempts)
			}
		}
		addMeans(goodput, arm, palette()[i%len(palette())], good)
		addMeans(attempts, arm, palette()[i%len(palette())], sent)
		points = max(points, len(good))
	}
	if points < 2 {
		return nil
	}
	goodput.Y.Max = 1.05
	for _, p := range []*plot.Plot{goodput, attempts} {
		p.X.Label.Text = "offered, times what the nodes can do"
		p.Y.Min = 0
		p.X.Max *= legendRoom
	}
	return []named{{"surge-goodput", goodput}, {"surge-attempts", attempts}}
}

// addMeans adds a line through the means by x, and each sample as a point.
func addMeans(p *plot.Plot, name string, c color.Color, by map[float64][]float64) {
	var line, all plotter.XYs
	for x, ys := range by {
		line = append(line, plotter.XY{X: x, Y: mean(ys)})
		for _, y := range ys {
			all = append(all, plotter.XY{X: x, Y: y})
		}
	}
	slices.SortFunc(line, func(a, b plotter.XY) int { return int(1e6 * (a.X - b.X)) })
	l, err := plotter.NewLine(line)
	if err != nil {
		return
	}
	s, err := plotter.NewScatter(all)
	if err != nil {
		return
	}
	l.Color, s.Color = c, c
	p.Add(l, s)
	p.Legend.Add(name, l)
}
