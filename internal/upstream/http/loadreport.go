package http

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"ryeweir/internal/wire"
	"ryeweir/logic"
)

// maxLoadFigure is the highest value of a load report that is believed.
const maxLoadFigure = 1e9

// readLoadReport returns the first load report of a response that can be read, or logic.NoLoadReport. A malformed one must not spoil
// the response that brought it, nor the averages of the balancer.
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

// parseLoadReport parses "name=value" pairs separated by commas. Names that are not among fields are ignored, but must have a valid
// value.
func parseLoadReport(text string, fields []string) (logic.LoadReport, error) {
	report := logic.NoLoadReport
	for pair := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		figure, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || math.IsNaN(figure) || figure < 0 || figure > maxLoadFigure {
			return report, fmt.Errorf("load report %.100q", text)
		}
		for _, field := range fields {
			if field == name {
				wire.SetLoadReportField(&report, name, figure)
			}
		}
	}
	return report, nil
}
