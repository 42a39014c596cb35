package http

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ryeweir/internal/healthcheck"
	"ryeweir/internal/pool"
	"ryeweir/internal/testkit"
	"ryeweir/logic"
)

// Endpoints answer health checks in every form, including damaged ones. The result must be exact, and the connection must be reused
// only after a complete response. The beginning of a report that goes on beyond the limit guards against figures of half a report.
func TestHealthCheckResponses(t *testing.T) {
	for name, test := range map[string]struct {
		script      func(c net.Conn, r *http.Request, n int) bool
		kind        healthcheck.RequestKind
		result      logic.Result
		utilization float64
		unsupported bool
		idle        int
	}{
		"a report":          {testkit.RespondWith("HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\nutil=0.5,qps=40.\n"), healthcheck.LoadRequest, logic.OK, 0.5, false, 1},
		"a malformed one":   {testkit.RespondWith("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nutil=abc"), healthcheck.LoadRequest, logic.OK, -1, false, 1},
		"health":            {testkit.RespondWith("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nutil=0.5"), healthcheck.HealthRequest, logic.OK, -1, false, 1},
		"too long":          {testkit.RespondWith("HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n" + string(make([]byte, 9000))), healthcheck.LoadRequest, logic.OK, -1, false, 0},
		"a report too long": {testkit.RespondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2328\r\nutil=0.5,qps=" + strings.Repeat("0", 8987) + "\r\n0\r\n\r\n"), healthcheck.LoadRequest, logic.OK, -1, false, 0},
		"half a report":     {testkit.RespondWith("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nutil=0.54,qps=40"), healthcheck.LoadRequest, logic.OK, -1, false, 0},
		"a second response": {testkit.RespondWith(strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nutil=0.5", 2)), healthcheck.LoadRequest, logic.OK, 0.5, false, 0},
		"unhealthy":         {testkit.RespondWith("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), healthcheck.LoadRequest, logic.Rejected, -1, false, 1},
		"an error":          {testkit.RespondWith("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), healthcheck.LoadRequest, logic.Failed, -1, false, 1},
		"not found":         {testkit.RespondWith("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"), healthcheck.LoadRequest, logic.Failed, -1, true, 1},
		"noise":             {testkit.RespondWith("what is this"), healthcheck.LoadRequest, logic.Reset, -1, false, 0},
		"a reset":           {resetsConnection, healthcheck.LoadRequest, logic.Reset, -1, false, 0},
		"half a response":   {testkit.RespondWith("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nutil"), healthcheck.LoadRequest, logic.TimedOut, -1, false, 0},
		"a close after it":  {testkit.RespondWith("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 8\r\n\r\nutil=0.5"), healthcheck.LoadRequest, logic.OK, 0.5, false, 0},
		"nothing":           {func(c net.Conn, _ *http.Request, _ int) bool { c.Read(make([]byte, 1)); return false }, healthcheck.LoadRequest, logic.TimedOut, -1, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := testkit.NewBackend(t, test.script)
			f := newFixture(t, backend.Addr().String(), 4)
			got := f.HealthCheck(context.Background(), f.Bind(endpointID), test.kind, time.Now().Add(300*time.Millisecond))
			if got.Result != test.result || got.LoadReport.Utilization != test.utilization || got.Unsupported != test.unsupported || f.idleConnections() != test.idle {
				t.Errorf("got %+v, %d connections idle", got, f.idleConnections())
			}
		})
	}
}

// A health check must be repeated once if the endpoint closes its idle connection while the check is in transit. It must not take a
// connection that requests need, and must not be sent to a draining endpoint.
func TestHealthCheckYieldsToRequests(t *testing.T) {
	crossed := testkit.NewBackend(t, func(c net.Conn, r *http.Request, n int) bool {
		if n == 2 {
			return false // closes the first connection at its second request
		}
		return testkit.RespondWith("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nutil=0.5")(c, r, n)
	})
	f := newFixture(t, crossed.Addr().String(), 1)
	soon := func() time.Time { return time.Now().Add(testkit.WaitTimeout) }
	for range 2 {
		if got := f.HealthCheck(context.Background(), f.Bind(endpointID), healthcheck.LoadRequest, soon()); got.Result != logic.OK {
			t.Errorf("%+v", got)
		}
	}
	if crossed.Requests() != 3 || crossed.Connections() != 2 {
		t.Errorf("%d requests on %d connections, want 3 on 2", crossed.Requests(), crossed.Connections())
	}
	conn, err := f.Pool.Get(context.Background(), pool.Request{Endpoint: f.Pool.Endpoint(endpointID), Deadline: soon()})
	if err != nil {
		t.Fatal(err)
	}
	if got := f.HealthCheck(context.Background(), f.Bind(endpointID), healthcheck.LoadRequest, soon()); got.Result != logic.NotSent {
		t.Errorf("with the only connection in use: %+v", got)
	}
	f.Pool.Put(conn, pool.Reusable)
	endpoint := f.Bind(endpointID)
	f.listEndpoint(crossed.Addr().String(), logic.Draining, 0)
	if got := f.HealthCheck(context.Background(), endpoint, healthcheck.LoadRequest, soon()); got.Result != logic.NotSent {
		t.Errorf("on a draining endpoint: %+v", got)
	}
	refused := testkit.Listen(t)
	refused.Close()
	f = newFixture(t, refused.Addr().String(), 4)
	if got := f.HealthCheck(context.Background(), f.Bind(endpointID), healthcheck.LoadRequest, soon()); got.Result != logic.ConnectFailed {
		t.Errorf("with a refused connection: %+v", got)
	}
}
