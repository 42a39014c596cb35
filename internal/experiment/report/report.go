// Package report draws the findings of an experiment: a page with a table and plots, and each plot as a file.
//
// It is apart from package experiment so that the program with the agent holds neither the plotting library nor its fonts, which would
// count against the agent's memory limit.
package report

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"html/template"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"ryeweir/internal/experiment"
)

//go:embed report.html
var page string

// figure is a plot in report.html.
type figure struct {
	Name, Title string
	SVG         template.HTML
}

// Draw reads figures.json in the folder of an experiment, and writes report.html and the plots beside it.
func Draw(dir string) error {
	text, err := os.ReadFile(filepath.Join(dir, "figures.json"))
	if err != nil {
		return fmt.Errorf("reading the findings: %w", err)
	}
	var findings experiment.Findings
	if err := json.Unmarshal(text, &findings); err != nil {
		return fmt.Errorf("parsing figures.json in %s: %w", dir, err)
	}
	return write(&findings, dir)
}

// write writes report.html and the plots: of each scenario's first repeat, and of all runs.
func write(findings *experiment.Findings, dir string) error {
	if err := os.MkdirAll(filepath.Join(dir, "plots"), 0o755); err != nil {
		return fmt.Errorf("creating the folder for the plots: %w", err)
	}
	scenarios, variants := names(findings.Rows)
	plots := []namedPlot{{"days", serviceByScenario(findings.Rows, scenarios, variants)}}
	plots = append(plots, offeredPlots(findings.Outcomes, variants)...)
	plots = append(plots, gossipPlots(findings.Outcomes)...)
	for _, scenario := range scenarios {
		plots = append(plots, scenarioPlots(scenario, firstOutcomes(findings.Outcomes, scenario), variants)...)
	}
	figures, drawErr := drawAll(plots, dir)
	template, err := template.New("report").Funcs(template.FuncMap{"f3": decimals(3), "f1": decimals(1), "f0": decimals(0)}).Parse(page)
	if err != nil {
		return err
	}
	var text bytes.Buffer
	if err := template.Execute(&text, map[string]any{"F": findings, "Figures": figures}); err != nil {
		return fmt.Errorf("rendering report.html: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "report.html"), text.Bytes(), 0o644); err != nil {
		return errors.Join(drawErr, fmt.Errorf("writing the report: %w", err))
	}
	return drawErr
}

// drawAll draws the plots to files and returns them for the page. Those that fail are left out, and the error names them.
func drawAll(plots []namedPlot, dir string) (figures []figure, err error) {
	for _, named := range plots {
		svg, drawErr := renderPlot(named.plot, filepath.Join(dir, "plots", fileName(named.name)+".png"))
		if drawErr != nil {
			err = errors.Join(err, drawErr)
			continue
		}
		figures = append(figures, figure{named.name, named.plot.Title.Text, svg})
	}
	return figures, err
}

// names returns the names of the scenarios and of the variants, in the order of the rows.
func names(rows []experiment.Row) (scenarios, variants []string) {
	for _, row := range rows {
		if !slices.Contains(scenarios, row.Scenario) {
			scenarios = append(scenarios, row.Scenario)
		}
		if !slices.Contains(variants, row.Variant) {
			variants = append(variants, row.Variant)
		}
	}
	return scenarios, variants
}

// firstOutcomes returns the first outcome of each variant in a scenario.
func firstOutcomes(outcomes []experiment.Outcome, scenario string) map[string]experiment.Outcome {
	first := map[string]experiment.Outcome{}
	for _, outcome := range outcomes {
		if _, found := first[outcome.Variant]; outcome.Scenario == scenario && !found {
			first[outcome.Variant] = outcome
		}
	}
	return first
}

// decimals returns a function that formats a number with n decimal places.
func decimals(n int) func(float64) string {
	return func(x float64) string { return fmt.Sprintf("%.*f", n, x) }
}

// fileName returns name in lower case, with "-" in place of all characters but letters, digits and "-", so that any file system accepts it.
func fileName(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-' {
			return r
		}
		return '-'
	}, strings.ToLower(name))
}
