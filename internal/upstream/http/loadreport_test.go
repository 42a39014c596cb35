package http

import (
	"testing"

	"ryeweir/internal/testkit"
	"ryeweir/logic"
)

func TestLoadReportIsParsed(t *testing.T) {
	fields := []string{"util", "qps", "eps"}
	report, err := parseLoadReport("util=0.5, qps=12,eps=0.25,unknown=3,queue=9", fields)
	if want := (logic.LoadReport{Utilization: 0.5, RequestRate: 12}); err != nil || report != want {
		t.Errorf("%+v, %v", report, err)
	}
	for _, text := range []string{"util", "util=", "util=x", "util=NaN,qps=1", "util=Inf", "util=-1", "qps=1e300", "=,"} {
		if report, err := parseLoadReport(text, fields); err == nil {
			t.Errorf("malformed report %q was parsed as %+v", text, report)
		}
	}
}

// An endpoint sends a malformed load report. It must affect neither the response that carried it nor the balancer's averages.
func TestMalformedLoadReportIsIgnored(t *testing.T) {
	backend := testkit.NewBackend(t, testkit.RespondWith("HTTP/1.1 200 OK\r\nX-Server-Load: util=NaN,qps=3\r\nContent-Length: 4\r\n\r\nfine"))
	f := newFixture(t, backend.Addr().String(), 100)
	out := f.execute(f.attempt(testkit.WaitTimeout))
	if out.Result != logic.OK || out.LoadReport != logic.NoLoadReport || len(f.malformedReports) != 1 {
		t.Errorf("result %v, report %+v, malformed reports %v", out.Result, out.LoadReport, f.malformedReports)
	}
}

// A response has two load reports, and the first is malformed. The second one must be used.
func TestLoadReportAfterAMalformedOneCounts(t *testing.T) {
	backend := testkit.NewBackend(t, testkit.RespondWith("HTTP/1.1 200 OK\r\nX-Server-Load: %%%\r\nX-Server-Load: util=0.5\r\nContent-Length: 4\r\n\r\nfine"))
	f := newFixture(t, backend.Addr().String(), 100)
	if out := f.execute(f.attempt(testkit.WaitTimeout)); out.Result != logic.OK || out.LoadReport.Utilization != 0.5 {
		t.Errorf("result %v, report %+v", out.Result, out.LoadReport)
	}
}
