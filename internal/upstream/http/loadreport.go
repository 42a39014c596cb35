package http

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"ryeweir/internal/wire"
	"ryeweir/logic"
)

// maxLoadFigure is the highest value that is accepted in a load report.
const maxLoadFigure = 1e9

// readLoadReport returns the first valid load report of a response, or logic.NoLoadReport. A malformed report affects neither the
// response that carried it nor the balancer's averages.
func (u *Upstream) readLoadReport(texts []string) logic.LoadReport {
	for _, text := range texts {
		report, err := parseLoadReport(text, u.LoadReportFields)
		if err == nil {
			return report
		}
		u.OnMalformedReport(err)
	}
	return logic.NoLoadReport
}

// parseLoadReport parses "name=value" pairs separated by commas. Names that are not in fields are ignored, but their values must be
// valid too.
func parseLoadReport(text string, fields []string) (logic.LoadReport, error) {
	report := logic.NoLoadReport
	for pair := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		figure, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || math.IsNaN(figure) || figure < 0 || figure > maxLoadFigure {
			return report, fmt.Errorf("cannot parse load report %.100q", text)
		}
		for _, field := range fields {
			if field == name {
				wire.SetLoadReportField(&report, name, figure)
			}
		}
	}
	return report, nil
}
