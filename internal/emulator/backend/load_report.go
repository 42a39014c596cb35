package backend

import (
	"net/http"
	"strconv"
	"strings"
)

// The modes of load reports.
const (
	piggybackMode = "piggyback" // in a header of each response
	silentMode    = "silent"    // never; the node answers health checks with 404
)

// loadHeader returns the header line with the load report, or "" if the mode is not piggyback or there is no report yet.
func (c *conn) loadHeader() string {
	if c.backend.cfg.LoadReportMode != piggybackMode {
		return ""
	}
	c.backend.mu.Lock()
	defer c.backend.mu.Unlock()
	text, ok := c.loadText()
	if !ok {
		return ""
	}
	return "X-Server-Load: " + text + "\r\n"
}

// loadText returns the text of a load report, or false if there is none yet. The backend's lock is held.
func (c *conn) loadText() (string, bool) {
	report, ok := c.node.Load()
	if !ok {
		return "", false
	}
	values := map[string]float64{
		"qps":        report.Rate,
		"util":       report.Utilization,
		"inflight":   float64(c.node.InFlight()),
		"eps":        0,
		"queue":      float64(c.node.Waiting()),
		"latency_ms": 0,
	}
	var parts []string
	for _, field := range c.backend.cfg.LoadReportFields {
		parts = append(parts, field+"="+strconv.FormatFloat(values[field], 'g', 4, 64))
	}
	return strings.Join(parts, ","), true
}

// answerHealthCheck answers a health check or a request for the load report. It returns false if the connection must be closed.
func (c *conn) answerHealthCheck(req request) bool {
	b := c.backend
	if b.cfg.LoadReportMode == silentMode {
		return c.respond(http.StatusNotFound, "", "")
	}
	b.mu.Lock()
	unresponsive := c.node.Unresponsive()
	ok := c.node.HealthCheck(b.now())
	text, _ := c.loadText()
	b.mu.Unlock()
	switch {
	case unresponsive:
		return true // no response; the connection stays open
	case !ok:
		return c.respond(http.StatusServiceUnavailable, "", "")
	case req.URL.Path == "/health":
		text = "ok"
	}
	return c.respond(http.StatusOK, "", text+"\n")
}
