package report

import (
	"image/color"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"ryeweir/internal/experiment"
)

// offeredPlots plots goodput and attempts per request against the load offered in the scenarios' surges, with a line for each variant. It
// returns nil unless the surges offer at least two different loads.
func offeredPlots(outcomes []experiment.Outcome, variants []string) []namedPlot {
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

// gossipPlots plots two figures against the number of agents: bytes per second that an agent sent, and the time until agents saw all others
// after a fault. It returns nil unless the outcomes have at least two different numbers of agents.
func gossipPlots(outcomes []experiment.Outcome) []namedPlot {
	bytes, heals := newPlot("bytes per second that an agent sent its peers", "bytes per second"), newPlot("time after a fault until an agent sees all others", "seconds")
	sent, last, median := map[float64][]float64{}, map[float64][]float64{}, map[float64][]float64{}
	for _, outcome := range outcomes {
		if outcome.Peers == nil || outcome.Interrupted {
			continue
		}
		agents := float64(outcome.Peers.Agents)
		sent[agents] = append(sent[agents], outcome.Peers.MeanBytesPerSecond)
		for _, h := range outcome.Peers.Recoveries[1:] {
			last[agents], median[agents] = append(last[agents], h.Worst), append(median[agents], h.Median)
		}
	}
	if len(sent) < 2 {
		return nil
	}
	addMeans(bytes, "mean of all agents", palette()[0], sent)
	addMeans(heals, "median agent", palette()[0], median)
	addMeans(heals, "last agent", palette()[1], last)
	for _, p := range []*plot.Plot{bytes, heals} {
		p.X.Label.Text, p.Y.Min = "agents", 0
		p.X.Max *= legendRoom
	}
	return []namedPlot{{"peers-bytes", bytes}, {"peers-heals", heals}}
}

// mean returns the mean of xs, of which there must be at least one.
func mean(xs []float64) (sum float64) {
	for _, x := range xs {
		sum += x / float64(len(xs))
	}
	return sum
}
