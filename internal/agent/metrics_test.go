package agent

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"testing"

	"ryeweir/internal/testkit"
)

// requestCounters holds the counters of GET /v1/metrics on requests, and the numbers of endpoints.
type requestCounters struct {
	Downstream  map[string]map[string]int `json:"downstream_requests"`
	Upstream    int                       `json:"upstream_requests"`
	Pending     int
	Events      map[string]map[string]int
	Members     int
	Unavailable int            `json:"members_unavailable"`
	Invariants  map[string]int // rules that were broken, with the number of times
}

// readCounters reads the counters at the operators' address.
func (a *testAgent) readCounters(t *testing.T) (f requestCounters) {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, a.control+"/v1/metrics", nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal([]byte(send(t, r).body), &f); err != nil {
		t.Fatal(err)
	}
	return f
}

// Operators compare what clients received with what endpoints processed. The metrics count each final answer as its client received it,
// and each attempt whose request was written completely.
func TestMetricsCountAnswersAndAttempts(t *testing.T) {
	t.Parallel()
	hold := make(chan struct{})
	b := testkit.NewBackend(t, func(c net.Conn, r *http.Request, n int) bool {
		switch r.URL.Path {
		case "/form-check/refused":
			return testkit.RespondWith("HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")(c, r, n)
		case "/pay/failed":
			return testkit.RespondWith("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")(c, r, n)
		case "/pay/held":
			<-hold
		}
		return testkit.RespondWith(testkit.OKResponse)(c, r, n)
	})
	d := testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", b.Addr().String(), "Ready", 0), testkit.EndpointJSON("s-2", b.Addr().String(), "Terminating", 0))
	a := startAgent(t, d, 0)
	if f := a.readCounters(t); len(f.Downstream) != 3 || f.Members != 2 || f.Unavailable != 1 {
		t.Errorf("at the start %+v", f)
	}
	pay := func(path string) *http.Request {
		r := a.newRequest(t, http.MethodPost, path, "x")
		r.Header.Del("Idempotency-Key")
		return r
	}
	send(t, a.newRequest(t, http.MethodGet, "/form-check/refused", ""))
	send(t, a.newRequest(t, http.MethodGet, "/form-check", ""))
	send(t, pay("/pay/failed"))
	bad := pay("/pay")
	bad.Header.Del("X-Timeout")
	send(t, bad)
	go http.DefaultClient.Do(pay("/pay/held").WithContext(context.Background()))
	testkit.Eventually(t, "one request is pending", func() bool { return a.readCounters(t).Pending == 1 })
	close(hold)
	testkit.Eventually(t, "no request is pending", func() bool { return a.readCounters(t).Pending == 0 })
	f := a.readCounters(t)
	if c := f.Downstream["form-check"]; c["completed"] != 1 || c["rejected"] != 1 || c["failed"] != 0 {
		t.Errorf("form-check: %v", c)
	}
	if c := f.Downstream["pay"]; c["completed"] != 1 || c["rejected"] != 0 || c["failed"] != 2 {
		t.Errorf("pay: %v", c)
	}
	if f.Upstream != b.Requests() {
		t.Errorf("%d attempts counted, %d requests at the endpoint", f.Upstream, b.Requests())
	}
}
