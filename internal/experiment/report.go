package experiment

import (
	"bytes"
	_ "embed"
	"errors"
	"fmt"
	"html/template"
	"image/color"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	"ryeweir/internal/emulator"
)

//go:embed report.html
var reportHTML string

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 2.6 * vg.Inch
	mostLines  = 40   // a line or a shade for each node up to so many
	legendRoom = 1.18 // of the time axis: what is past the end has the names of the lines
)

// palette tells arms apart, also for those who see few colours (Okabe and Ito).
func palette() []color.Color {
	return []color.Color{color.RGBA{0, 114, 178, 255}, color.RGBA{213, 94, 0, 255}, color.RGBA{0, 158, 115, 255}, color.RGBA{204, 121, 167, 255},
		color.RGBA{230, 159, 0, 255}, color.RGBA{86, 180, 233, 255}, color.RGBA{0, 0, 0, 255}}
}

// figure is a plot in a report.
type figure struct {
	Name, Title string
	SVG         template.HTML
}

// report writes report.html and the plots of the first repeat.
func report(f *Findings, spec *Spec, dir string) error {
	if err := os.MkdirAll(filepath.Join(dir, "plots"), 0o755); err != nil {
		return fmt.Errorf("writing the report: %w", err)
	}
	var figures []figure
	var errs []error
	for _, day := range spec.dayNames() {
		first := map[string]Outcome{}
		for _, o := range f.Outcomes {
			if _, ok := first[o.Variant]; o.Day == day && !ok {
				first[o.Variant] = o
			}
		}
		if len(first) == 0 {
			continue
		}
		for _, p := range dayPlots(day, first, spec.armNames()) {
			svg, err := drawn(p.plot, filepath.Join(dir, "plots", fileName(p.name)+".png"))
			if err != nil {
				errs = append(errs, err)
				continue
			}
			figures = append(figures, figure{p.name, p.plot.Title.Text, svg})
		}
	}
	if svg, err := drawn(acrossDays(f.Rows, spec.dayNames(), spec.armNames()), filepath.Join(dir, "plots", "days.png")); err != nil {
		errs = append(errs, err)
	} else {
		figures = append([]figure{{Name: "days", SVG: svg}}, figures...)
	}
	for _, p := range slices.Backward(append(offeredPlots(f.Outcomes, spec.armNames()), talkPlots(f.Outcomes)...)) {
		svg, err := drawn(p.plot, filepath.Join(dir, "plots", p.name+".png"))
		if err != nil {
			errs = append(errs, err)
			continue
		}
		figures = slices.Insert(figures, min(1, len(figures)), figure{p.name, p.plot.Title.Text, svg})
	}
	page, err := template.New("report").Funcs(template.FuncMap{
		"f3": func(x float64) string { return fmt.Sprintf("%.3f", x) },
		"f1": func(x float64) string { return fmt.Sprintf("%.1f", x) },
		"f0": func(x float64) string { return fmt.Sprintf("%.0f", x) },
	}).Parse(reportHTML)
	if err != nil {
		return err
	}
	var text bytes.Buffer
	if err := page.Execute(&text, map[string]any{"F": f, "Spec": spec, "Figures": figures}); err != nil {
		return fmt.Errorf("the report: %w", err)
	}
	return errors.Join(append(errs, replace(filepath.Join(dir, "report.html"), text.Bytes()))...)
}

// fileName is a name that any file system takes.
func fileName(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-' {
			return r
		}
		return '-'
	}, strings.ToLower(name))
}

type named struct {
	name string
	plot *plot.Plot
}

// acrossDays is the service of each arm on each day, with its interval.
func acrossDays(rows []Row, days, arms []string) *plot.Plot {
	p := newPlot("service by day, with 95% intervals", "share of worth")
	p.X.Label.Text = ""
	p.Legend.Top = false
	for i, arm := range arms {
		var at intervals
		for d, day := range days {
			for _, r := range rows {
				if r.Day == day && r.Variant == arm {
					at.XYs = append(at.XYs, plotter.XY{X: float64(d) + 0.04*float64(i), Y: r.Service.Mean})
					at.YErrors = append(at.YErrors, struct{ Low, High float64 }{r.Service.Mean - r.Service.Low, r.Service.High - r.Service.Mean})
				}
			}
		}
		line, points, err := plotter.NewLinePoints(at.XYs)
		if err != nil || len(at.XYs) == 0 {
			continue
		}
		line.Color, points.Color = palette()[i%len(palette())], palette()[i%len(palette())]
		p.Add(line, points)
		if bars, err := plotter.NewYErrorBars(at); err == nil {
			bars.Color = line.Color
			p.Add(bars)
		}
		p.Legend.Add(arm, line)
	}
	p.NominalX(days...)
	p.X.Tick.Label.Font.Size = vg.Points(7)
	p.X.Max = float64(len(days)-1) * legendRoom
	return p
}

// intervals are points with their intervals.
type intervals struct {
	plotter.XYs
	plotter.YErrors
}

// dayPlots are service and latency over time for each arm, and each arm's load per node, of one day.
func dayPlots(day string, outcomes map[string]Outcome, arms []string) []named {
	service, latency := newPlot(day+": service, by the second asked in", "share of worth"), newPlot(day+": latency, p50 and p99 (dashed)", "ms")
	service.Y.Min, service.Y.Max = 0, 1.05
	latency.Y.Scale, latency.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	out := []named{{day + "-service", service}, {day + "-latency", latency}}
	for i, arm := range arms {
		o, ok := outcomes[arm]
		if !ok {
			continue
		}
		if i == 0 {
			mark(service, o)
		}
		c := palette()[i%len(palette())]
		addLine(service, arm, c, false, o.Series.Service)
		addLine(latency, arm, c, false, o.Series.P50)
		addLine(latency, "", c, true, o.Series.P99)
		if len(o.Series.Nodes) > mostLines {
			continue // nobody can tell so many lines apart
		}
		load := newPlot(day+", "+arm+": requests held at each node", "requests")
		mark(load, o)
		for n := range o.Series.Nodes {
			var points plotter.XYs
			for s, row := range o.Series.Load {
				if n < len(row) {
					points = append(points, plotter.XY{X: float64(s + 1), Y: row[n]})
				}
			}
			if line, err := plotter.NewLine(points); err == nil {
				line.Color = palette()[n%len(palette())]
				if n >= len(palette()) {
					line.Dashes = []vg.Length{vg.Points(3), vg.Points(2)}
				}
				load.Add(line)
				load.Legend.Add(o.Series.Nodes[n], line)
			}
		}
		out = append(out, named{day + "-" + arm + "-load", load})
	}
	for _, p := range out {
		p.plot.X.Max *= legendRoom
	}
	return out
}

func newPlot(title, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", y
	p.Legend.Top = true
	p.Legend.TextStyle.Font.Size = vg.Points(7)
	p.Add(plotter.NewGrid())
	return p
}

func addLine(p *plot.Plot, name string, c color.Color, dashed bool, ys []*float64) {
	var points plotter.XYs
	for s, y := range ys {
		if y != nil && (*y > 0 || name != "" && !dashed) {
			points = append(points, plotter.XY{X: float64(s), Y: max(*y, 1e-3)})
		}
	}
	line, err := plotter.NewLine(points)
	if err != nil || len(points) == 0 {
		return // an arm that served nothing has no line
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

// mark shades the times of troubles: each by itself or, where they are many, each kind from its first to its last.
func mark(p *plot.Plot, o Outcome) {
	marks := o.Marks
	if len(marks) > mostLines {
		marks = nil
		for _, m := range o.Marks {
			i := slices.IndexFunc(marks, func(x emulator.Event) bool { return x.Text == m.Text })
			if i < 0 {
				marks = append(marks, emulator.Event{At: m.At, To: m.To, Node: "many", Text: m.Text})
				continue
			}
			marks[i].At, marks[i].To = min(marks[i].At, m.At), max(marks[i].To, m.To)
		}
	}
	for _, m := range marks {
		from, to := m.At.Seconds(), min(m.To.Seconds(), o.Seconds)
		if to <= from {
			continue
		}
		p.Add(shade{from, to, m.Node + " " + m.Text})
	}
}

// shade is a stretch of time with its name.
type shade struct {
	from, to float64
	text     string
}

// Plot draws it over the whole height.
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

// drawn draws a plot into a PNG file and returns it as SVG.
func drawn(p *plot.Plot, file string) (template.HTML, error) {
	svg := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(svg))
	var text bytes.Buffer
	if _, err := svg.WriteTo(&text); err != nil {
		return "", fmt.Errorf("drawing %s: %w", p.Title.Text, err)
	}
	img := vgimg.PngCanvas{Canvas: vgimg.New(plotWidth, plotHeight)}
	p.Draw(draw.New(img))
	var png bytes.Buffer
	if _, err := img.WriteTo(&png); err != nil {
		return "", fmt.Errorf("drawing %s: %w", p.Title.Text, err)
	}
	if err := replace(file, png.Bytes()); err != nil {
		return "", err
	}
	_, inner, _ := strings.Cut(text.String(), "<svg") // without the XML head, which HTML does not know
	return template.HTML("<svg" + inner), nil
}
