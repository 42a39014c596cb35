package http

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"ryeweir/internal/healthcheck"
	"ryeweir/internal/pool"
	"ryeweir/internal/testkit"
	"ryeweir/logic"
)

// What comes of a probe is exact, and its connection is kept where it is in order.
func TestProbe(t *testing.T) {
	for name, c := range map[string]struct {
		script func(c net.Conn, r *http.Request, n int) bool
		kind   healthcheck.RequestKind
		result logic.Result
		util   float64
		absent bool
		idle   int
	}{
		"a report":          {testkit.Says("HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\nutil=0.5,qps=40.\n"), healthcheck.LoadRequest, logic.OK, 0.5, false, 1},
		"a malformed one":   {testkit.Says("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nutil=abc"), healthcheck.LoadRequest, logic.OK, -1, false, 1},
		"health":            {testkit.Says("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nutil=0.5"), healthcheck.HealthRequest, logic.OK, -1, false, 1},
		"too much":          {testkit.Says("HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n" + string(make([]byte, 9000))), healthcheck.LoadRequest, logic.OK, -1, false, 0},
		"unwell":            {testkit.Says("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), healthcheck.LoadRequest, logic.Rejected, -1, false, 1},
		"an error":          {testkit.Says("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), healthcheck.LoadRequest, logic.Failed, -1, false, 1},
		"no such call":      {testkit.Says("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"), healthcheck.LoadRequest, logic.Failed, -1, true, 1},
		"noise":             {testkit.Says("what is this"), healthcheck.LoadRequest, logic.Reset, -1, false, 0},
		"a reset":           {resets, healthcheck.LoadRequest, logic.Reset, -1, false, 0},
		"half an answer":    {testkit.Says("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nutil"), healthcheck.LoadRequest, logic.TimedOut, -1, false, 0},
		"a close after it":  {testkit.Says("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 8\r\n\r\nutil=0.5"), healthcheck.LoadRequest, logic.OK, 0.5, false, 0},
		"nothing, for ever": {func(c net.Conn, _ *http.Request, _ int) bool { c.Read(make([]byte, 1)); return false }, healthcheck.LoadRequest, logic.TimedOut, -1, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := testkit.NewBackend(t, c.script)
			f := newFixture(t, b.Addr().String(), 4)
			got := f.HealthCheck(context.Background(), f.Bind("b"), c.kind, time.Now().Add(300*time.Millisecond))
			if got.Result != c.result || got.LoadReport.Utilization != c.util || got.Unsupported != c.absent || f.idle() != c.idle {
				t.Errorf("%+v, %d connections idle", got, f.idle())
			}
		})
	}
}

// A close that crosses a probe says nothing of the server: it is asked again. A probe takes no place that attempts wait for, and
// goes to no server that drains.
func TestProbeGivesWay(t *testing.T) {
	crossed := testkit.NewBackend(t, func(c net.Conn, r *http.Request, n int) bool {
		if n == 2 {
			return false // of the second request on the first connection nothing comes back
		}
		return testkit.Says("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nutil=0.5")(c, r, n)
	})
	f := newFixture(t, crossed.Addr().String(), 1)
	soon := func() time.Time { return time.Now().Add(testkit.Patience) }
	for range 2 {
		if got := f.HealthCheck(context.Background(), f.Bind("b"), healthcheck.LoadRequest, soon()); got.Result != logic.OK {
			t.Errorf("%+v", got)
		}
	}
	if crossed.Requests() != 3 || crossed.Connections() != 2 {
		t.Errorf("%d requests on %d connections", crossed.Requests(), crossed.Connections())
	}
	c, err := f.Pool.Get(context.Background(), pool.Request{Endpoint: f.Pool.Endpoint("b"), Deadline: soon()})
	if err != nil {
		t.Fatal(err)
	}
	if got := f.HealthCheck(context.Background(), f.Bind("b"), healthcheck.LoadRequest, soon()); got.Result != logic.NotSent {
		t.Errorf("with the only place in use: %+v", got)
	}
	f.Pool.Put(c, 0)
	node := f.Bind("b")
	f.list(crossed.Addr().String(), logic.Draining, 0)
	if got := f.HealthCheck(context.Background(), node, healthcheck.LoadRequest, soon()); got.Result != logic.NotSent {
		t.Errorf("while it drains: %+v", got)
	}
	refused := testkit.Listen(t)
	refused.Close()
	f = newFixture(t, refused.Addr().String(), 4)
	if got := f.HealthCheck(context.Background(), f.Bind("b"), healthcheck.LoadRequest, soon()); got.Result != logic.ConnectFailed {
		t.Errorf("where nobody listens: %+v", got)
	}
}
