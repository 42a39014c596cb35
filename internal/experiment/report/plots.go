package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"os"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	"ryeweir/internal/emulator"
	"ryeweir/internal/experiment"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 2.6 * vg.Inch
	maxLines   = 40   // maximum number of lines for nodes and of shaded intervals in a plot: more can't be told apart
	legendRoom = 1.18 // factor that extends the x axis to make room for the legend
)

// palette returns colours for lines that colour-blind readers can tell apart (Okabe and Ito).
func palette() []color.Color {
	return []color.Color{color.RGBA{0, 114, 178, 255}, color.RGBA{213, 94, 0, 255}, color.RGBA{0, 158, 115, 255}, color.RGBA{204, 121, 167, 255},
		color.RGBA{230, 159, 0, 255}, color.RGBA{86, 180, 233, 255}, color.RGBA{0, 0, 0, 255}}
}

// namedPlot is a plot with the name of its file, without the extension.
type namedPlot struct {
	name string
	plot *plot.Plot
}

// serviceByScenario plots the service of each variant in each scenario, with its interval.
func serviceByScenario(rows []experiment.Row, scenarios, variants []string) *plot.Plot {
	chart := newPlot("service by scenario, with 95% intervals", "fraction of priority weight")
	chart.X.Label.Text = ""
	chart.Legend.Top = false
	for i, variant := range variants {
		var at intervals
		for d, scenario := range scenarios {
			for _, row := range rows {
				if row.Scenario == scenario && row.Variant == variant {
					at.XYs = append(at.XYs, plotter.XY{X: float64(d) + 0.04*float64(i), Y: row.Service.Mean})
					at.YErrors = append(at.YErrors, struct{ Low, High float64 }{row.Service.Mean - row.Service.Low, row.Service.High - row.Service.Mean})
				}
			}
		}
		line, points, err := plotter.NewLinePoints(at.XYs)
		if err != nil || len(at.XYs) == 0 {
			continue
		}
		line.Color, points.Color = palette()[i%len(palette())], palette()[i%len(palette())]
		chart.Add(line, points)
		if bars, err := plotter.NewYErrorBars(at); err == nil {
			bars.Color = line.Color
			chart.Add(bars)
		}
		chart.Legend.Add(variant, line)
	}
	chart.NominalX(scenarios...)
	chart.X.Tick.Label.Font.Size = vg.Points(7)
	chart.X.Max = float64(len(scenarios)-1) * legendRoom
	return chart
}

// intervals are points with error bars.
type intervals struct {
	plotter.XYs
	plotter.YErrors
}

// scenarioPlots plots one scenario: service and latency over time with a line for each variant, and for each variant the load of each node.
func scenarioPlots(scenario string, outcomes map[string]experiment.Outcome, variants []string) []namedPlot {
	service, latency := newPlot(scenario+": service, by planned time of the request", "fraction of priority weight"), newPlot(scenario+": latency, p50 and p99 (dashed)", "ms")
	service.Y.Min, service.Y.Max = 0, 1.05
	latency.Y.Scale, latency.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	out := []namedPlot{{scenario + "-service", service}, {scenario + "-latency", latency}}
	for i, variant := range variants {
		outcome, ok := outcomes[variant]
		if !ok {
			continue
		}
		if i == 0 {
			shadeFaults(service, outcome)
		}
		lineColor := palette()[i%len(palette())]
		addLine(service, variant, lineColor, false, outcome.Series.Service)
		addLine(latency, variant, lineColor, false, outcome.Series.P50)
		addLine(latency, "", lineColor, true, outcome.Series.P99)
		if len(outcome.Series.Nodes) > maxLines {
			continue // more lines can't be told apart
		}
		load := newPlot(scenario+", "+variant+": requests in flight at each node", "requests")
		shadeFaults(load, outcome)
		for nodeIndex := range outcome.Series.Nodes {
			var points plotter.XYs
			for s, row := range outcome.Series.Load {
				if nodeIndex < len(row) {
					points = append(points, plotter.XY{X: float64(s + 1), Y: row[nodeIndex]})
				}
			}
			if line, err := plotter.NewLine(points); err == nil {
				line.Color = palette()[nodeIndex%len(palette())]
				if nodeIndex >= len(palette()) {
					line.Dashes = []vg.Length{vg.Points(3), vg.Points(2)}
				}
				load.Add(line)
				load.Legend.Add(outcome.Series.Nodes[nodeIndex], line)
			}
		}
		out = append(out, namedPlot{scenario + "-" + variant + "-load", load})
	}
	for _, named := range out {
		named.plot.X.Max *= legendRoom
	}
	return out
}

// newPlot returns an empty plot with a label for the y axis. The x axis is in seconds.
func newPlot(title, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", y
	p.Legend.Top = true
	p.Legend.TextStyle.Font.Size = vg.Points(7)
	p.Add(plotter.NewGrid())
	return p
}

// addLine adds a series with one point per second. It leaves out seconds without a value, and zeros in dashed or unnamed lines.
func addLine(p *plot.Plot, name string, c color.Color, dashed bool, ys []*float64) {
	var points plotter.XYs
	for s, y := range ys {
		if y != nil && (*y > 0 || name != "" && !dashed) {
			points = append(points, plotter.XY{X: float64(s), Y: max(*y, 1e-3)})
		}
	}
	line, err := plotter.NewLine(points)
	if err != nil || len(points) == 0 {
		return // a variant that served nothing has no line
	}
	line.Color = c
	if dashed {
		line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	}
	p.Add(line)
	if name != "" {
		p.Legend.Add(name, line)
	}
}

// shadeFaults shades the intervals of the faults in an outcome. If there are more than maxLines, it shades one interval for each kind of
// fault, from the first beginning to the last end.
func shadeFaults(p *plot.Plot, o experiment.Outcome) {
	events := o.Events
	if len(events) > maxLines {
		events = nil
		for _, m := range o.Events {
			i := slices.IndexFunc(events, func(x emulator.Event) bool { return x.Text == m.Text })
			if i < 0 {
				events = append(events, emulator.Event{At: m.At, To: m.To, Node: "many", Text: m.Text})
				continue
			}
			events[i].At, events[i].To = min(events[i].At, m.At), max(events[i].To, m.To)
		}
	}
	for _, m := range events {
		from, to := m.At.Seconds(), min(m.To.Seconds(), o.Seconds)
		if to <= from {
			continue
		}
		p.Add(shade{from, to, m.Node + " " + m.Text})
	}
}

// shade is a shaded interval of the x axis with a text.
type shade struct {
	from, to float64
	text     string
}

// Plot draws the shade over the whole height of the plot.
func (s shade) Plot(c draw.Canvas, p *plot.Plot) {
	x, _ := p.Transforms(&c)
	a, b := x(s.from), x(s.to)
	c.FillPolygon(color.NRGBA{200, 60, 60, 28}, []vg.Point{{X: a, Y: c.Min.Y}, {X: b, Y: c.Min.Y}, {X: b, Y: c.Max.Y}, {X: a, Y: c.Max.Y}})
	style := p.Legend.TextStyle
	style.Font.Size = vg.Points(6)
	style.Rotation = 1.5708
	style.Color = color.Gray{96}
	c.FillText(style, vg.Point{X: a + vg.Points(6), Y: c.Min.Y + vg.Points(2)}, s.text)
}

// renderPlot writes a plot to a PNG file and returns it as SVG.
func renderPlot(p *plot.Plot, file string) (template.HTML, error) {
	svg := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(svg))
	var text bytes.Buffer
	if _, err := svg.WriteTo(&text); err != nil {
		return "", fmt.Errorf("drawing the plot %s: %w", p.Title.Text, err)
	}
	img := vgimg.PngCanvas{Canvas: vgimg.New(plotWidth, plotHeight)}
	p.Draw(draw.New(img))
	var png bytes.Buffer
	if _, err := img.WriteTo(&png); err != nil {
		return "", fmt.Errorf("drawing the plot %s: %w", p.Title.Text, err)
	}
	if err := os.WriteFile(file, png.Bytes(), 0o644); err != nil {
		return "", fmt.Errorf("writing a plot: %w", err)
	}
	_, inner, _ := strings.Cut(text.String(), "<svg") // without the XML declaration, which is not valid in HTML
	return template.HTML("<svg" + inner), nil
}
