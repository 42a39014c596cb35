package agent

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	fronthttp "ryeweir/internal/front/http"
	"strings"
	"sync"
	"testing"
	"time"

	"ryeweir/internal/config/operator"
	"ryeweir/internal/config/platform"
	"ryeweir/internal/httpmsg"
	"ryeweir/internal/testkit"
)

// A request's target and body reach the endpoint byte for byte, and its answer the client.
func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	b := testkit.NewBackend(t, testkit.RespondWith(testkit.OKResponse))
	a := startAgent(t, testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", b.Addr().String(), "Ready", 0)), 0)
	got := send(t, a.newRequest(t, http.MethodPost, "/refund-record/a%2Fb?x=1&y=%20", "the form"))
	if got.status != http.StatusOK || got.body != "fine" || got.close {
		t.Errorf("answer %+v", got)
	}
	r := b.Seen[0]
	if r.RequestURI != "/refund-record/a%2Fb?x=1&y=%20" || b.Bodies[0] != "the form" || b.Requests() != 1 {
		t.Errorf("the endpoint received %d: %s %q", b.Requests(), r.RequestURI, b.Bodies[0])
	}
	if got := send(t, a.newRequest(t, http.MethodGet, "/form-check", "")); got.status != http.StatusOK {
		t.Errorf("answer %+v", got)
	}
}

// An endpoint accepts a request and never answers. At the deadline the client gets an answer all the same: a rejection with a
// Retry-After only where sending the request again does no harm, else a failure.
func TestSilentEndpointEndsAtDeadline(t *testing.T) {
	t.Parallel()
	b := testkit.NewBackend(t, testkit.NeverRespond)
	a := startAgent(t, testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", b.Addr().String(), "Ready", 0)), 0)
	for method, want := range map[string]struct {
		path   string
		status int
		after  string
	}{
		http.MethodGet:  {"/form-check", http.StatusServiceUnavailable, "0.3"},
		http.MethodPost: {"/refund-record", http.StatusBadGateway, ""},
	} {
		got := send(t, a.newRequest(t, method, want.path, ""))
		if got.status != want.status || got.header.Get("Retry-After") != want.after {
			t.Errorf("%s: %+v", want.path, got)
		}
	}
}

// The only endpoint refuses connections. Nothing can have run, so that the client is rejected at once, although it would wait for
// long.
func TestNoReachableEndpointRejectsAtOnce(t *testing.T) {
	a := startAgent(t, testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", testkit.RefusingAddr(t), "Ready", 0)), 0)
	r := a.newRequest(t, http.MethodPost, "/refund-record", "")
	r.Header.Set("X-Timeout", "3000000m")
	if got := send(t, r); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("%+v", got)
	}
}

// An endpoint reads a request that must not run twice and closes the connection. The request may have run: it goes to no other
// endpoint, and the answer does not invite the client to send it again.
func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	b := testkit.NewBackend(t, testkit.CloseConnection)
	addr := b.Addr().String()
	a := startAgent(t, testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", addr, "Ready", 0), testkit.EndpointJSON("s-2", addr, "Ready", 0)), 0)
	r := a.newRequest(t, http.MethodPost, "/pay", "x")
	r.Header.Del("Idempotency-Key")
	if got := send(t, r); got.status != http.StatusBadGateway || b.Requests() != 1 {
		t.Errorf("%d attempts, %+v", b.Requests(), got)
	}
}

// An endpoint reads an idempotent request and closes the connection. It is retried, and the client sees nothing of it.
func TestIdempotentRequestIsRetried(t *testing.T) {
	b := testkit.NewBackend(t, func(c net.Conn, r *http.Request, n int) bool {
		return n > 1 && testkit.RespondWith(testkit.OKResponse)(c, r, n)
	})
	addr := b.Addr().String()
	a := startAgent(t, testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", addr, "Ready", 0), testkit.EndpointJSON("s-2", addr, "Ready", 0)), 0)
	if got := send(t, a.newRequest(t, http.MethodGet, "/form-check", "")); got.status != http.StatusOK || b.Requests() != 2 {
		t.Errorf("%d attempts, %+v", b.Requests(), got)
	}
}

// An invalid request gets a plain 4xx, which unlike 429 and 503 does not invite the client to send it again, and reaches no
// endpoint.
func TestInvalidRequestIsAnsweredAndNotForwarded(t *testing.T) {
	t.Parallel()
	b := testkit.NewBackend(t, testkit.RespondWith(testkit.OKResponse))
	a := startAgent(t, testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", b.Addr().String(), "Ready", 0)), 0)
	with := func(name, value string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(name, value) }
	}
	without := func(name string) func(*http.Request) { return func(r *http.Request) { r.Header.Del(name) } }
	for name, c := range map[string]struct {
		path, body string
		change     func(*http.Request)
		want       int
	}{
		"unknown class":     {"/elsewhere", "", func(*http.Request) {}, http.StatusNotFound},
		"no class":          {"/", "", func(*http.Request) {}, http.StatusNotFound},
		"no time-out":       {"/refund-record", "", without("X-Timeout"), http.StatusBadRequest},
		"time-out, no unit": {"/refund-record", "", with("X-Timeout", "480"), http.StatusBadRequest},
		"time-out, no sum":  {"/refund-record", "", with("X-Timeout", "m"), http.StatusBadRequest},
		"time-out below 0":  {"/refund-record", "", with("X-Timeout", "-5m"), http.StatusBadRequest},
		"time-out NaN":      {"/refund-record", "", with("X-Timeout", "NaNm"), http.StatusBadRequest},
		"no id":             {"/refund-record", "", without("X-Request-ID"), http.StatusBadRequest},
		"no key":            {"/refund-record", "", without("Idempotency-Key"), http.StatusBadRequest},
		"wrong method":      {"/form-check", "", func(*http.Request) {}, http.StatusMethodNotAllowed},
		"GET with a body":   {"/form-check", "x", func(r *http.Request) { r.Method = http.MethodGet }, http.StatusBadRequest},
		"time-out twice":    {"/refund-record", "", func(r *http.Request) { r.Header.Add("X-Timeout", "1m") }, http.StatusBadRequest},
		"two ids":           {"/refund-record", "", func(r *http.Request) { r.Header.Add("X-Request-ID", "2") }, http.StatusBadRequest},
		"long id":           {"/refund-record", "", with("X-Request-ID", strings.Repeat("x", 129)), http.StatusBadRequest},
		"unknown tenant":    {"/refund-record", "", with("X-Tenant-Id", "nobody"), http.StatusBadRequest},
		"long body": {"/refund-record", strings.Repeat("x", httpmsg.MaxBodyBytes+1), func(*http.Request) {},
			http.StatusRequestEntityTooLarge},
	} {
		r := a.newRequest(t, http.MethodPost, c.path, c.body)
		c.change(r)
		if got := send(t, r); got.status != c.want {
			t.Errorf("%s: %+v", name, got)
		}
	}
	if n := b.Requests(); n != 0 {
		t.Errorf("%d were forwarded", n)
	}
	if got := send(t, a.newRequest(t, http.MethodPost, "/refund-record", strings.Repeat("x", httpmsg.MaxBodyBytes))); got.status != http.StatusOK {
		t.Errorf("the longest body: %+v", got)
	}
}

// Connections of both sides together stay under the limit on descriptors, with some in reserve, also while two processes share
// it. A drain ends between the times that the platform states: 0.4 s and 0.7 s past the longest deadline.
func TestLimitsStayWithinThePlatforms(t *testing.T) {
	for _, limit := range []int{256, 1024, 4096} {
		limits := limitConnections(limit, Environment{})
		if to, from := limits.toEndpoints, limits.fromClients; to < 1 || from < 1 || to+from > limit-reservedDescriptors {
			t.Errorf("of %d: %d to backends, %d from clients", limit, to, from)
		} else if third := limit / 3; to < third || float64(from)*fronthttp.MaxInFlightFraction < float64(third) {
			t.Errorf("of %d: usual clients can't hold the third that is theirs", limit)
		}
		control := testkit.Listen(t)
		alone, both := limitConnections(limit, Environment{Control: control}), limitConnections(limit, Environment{Control: control, Inherited: true})
		if alone.fromClients+alone.toEndpoints > limits.fromClients+limits.toEndpoints-8 {
			t.Errorf("of %d: no descriptors are reserved for operators", limit)
		}
		// Of two processes that share the limit, the clients' descriptors are counted once.
		if both.fromClients+2*both.toEndpoints+2*reservedDescriptors > limit {
			t.Errorf("of %d: two processes may hold %+v", limit, both)
		}
	}
	if ends := platform.DefaultAcceptWindow + fronthttp.DrainMargin; platform.DefaultAcceptWindow <= 400*time.Millisecond || ends >= 700*time.Millisecond {
		t.Errorf("accepts for %v, ends %v past the deadline", platform.DefaultAcceptWindow, ends)
	}
}

// Two requests under one id are open at a time, and could not be told apart. The second conflicts and must not take the first
// one's answer.
func TestSecondRequestUnderOneIDConflicts(t *testing.T) {
	release := make(chan struct{})
	b := testkit.NewBackend(t, func(c net.Conn, r *http.Request, n int) bool {
		<-release
		return testkit.RespondWith(testkit.OKResponse)(c, r, n)
	})
	a := startAgent(t, testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", b.Addr().String(), "Ready", 0)), 0)
	first := a.newRequest(t, http.MethodPost, "/refund-record", "")
	first.Header.Set("X-Timeout", "60000m")
	second := first.Clone(context.Background())
	got := make(chan reply)
	go func() { got <- send(t, first) }()
	testkit.Eventually(t, "the first is at the endpoint", func() bool { return b.Requests() == 1 })
	if r := send(t, second); r.status != http.StatusConflict {
		t.Errorf("second: %+v", r)
	}
	close(release)
	if r := <-got; r.status != http.StatusOK || b.Requests() != 1 {
		t.Errorf("first: %+v after %d attempts", r, b.Requests())
	}
}

// A client leaves while its request is at an endpoint. The attempt runs on, because its outcome is evidence about the endpoint,
// and the agent goes on to serve others.
func TestClientThatLeavesEndsItsRequest(t *testing.T) {
	release := make(chan struct{})
	b := testkit.NewBackend(t, func(c net.Conn, r *http.Request, n int) bool {
		<-release
		return testkit.RespondWith(testkit.OKResponse)(c, r, n)
	})
	a := startAgent(t, testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", b.Addr().String(), "Ready", 0)), 0)
	r := a.newRequest(t, http.MethodPost, "/refund-record", "")
	r.Header.Set("X-Timeout", "60000m")
	ctx, leave := context.WithCancel(context.Background())
	left := make(chan error)
	go func() { _, err := http.DefaultClient.Do(r.WithContext(ctx)); left <- err }()
	testkit.Eventually(t, "it is at the endpoint", func() bool { return b.Requests() == 1 })
	leave()
	if err := <-left; err == nil {
		t.Error("the client got an answer")
	}
	close(release)
	next := a.newRequest(t, http.MethodGet, "/form-check", "")
	if got := send(t, next); got.status != http.StatusOK {
		t.Errorf("the next request: %+v", got)
	}
}

// SIGTERM arrives while a request is at an endpoint. New connections are still accepted and served for a while, each answer
// closes its connection, and the pending request is answered.
func TestDrainServesNewConnectionsAndPendingRequests(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	b := testkit.NewBackend(t, func(c net.Conn, r *http.Request, n int) bool {
		if n == 1 {
			<-release
		}
		return testkit.RespondWith(testkit.OKResponse)(c, r, n)
	})
	addr := b.Addr().String()
	a := startAgent(t, testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", addr, "Ready", 0)), 3*time.Second)
	got := make(chan reply)
	go func() { got <- send(t, a.newRequest(t, http.MethodGet, "/form-check", "")) }()
	testkit.Eventually(t, "the first is at the endpoint", func() bool { return b.Requests() == 1 })
	a.stop()
	testkit.Eventually(t, "it stops being ready", func() bool { return a.status(t, "/ready") == http.StatusServiceUnavailable })
	if r := send(t, a.newRequest(t, http.MethodGet, "/form-check", "")); r.status != http.StatusOK || !r.close {
		t.Errorf("on a new connection: %+v", r)
	}
	close(release)
	if r := <-got; r.status != http.StatusOK || !r.close {
		t.Errorf("taken before: %+v", r)
	}
	select {
	case err := <-a.done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testkit.WaitTimeout):
		t.Fatal("the agent did not end")
	}
	if c, err := net.Dial("tcp", a.addr); err == nil {
		c.Close()
		t.Error("it still listens")
	}
}

// Clients send requests one after the other while the agent drains. A reused connection may close between requests, and the
// client opens another, but every request is answered.
func TestDrainAnswersEveryRequest(t *testing.T) {
	t.Parallel()
	b := testkit.NewBackend(t, testkit.RespondWith(testkit.OKResponse))
	a := startAgent(t, testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", b.Addr().String(), "Ready", 0)), 3*time.Second)
	ctx, enough := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer enough()
	var clients sync.WaitGroup
	for range 8 {
		clients.Go(func() {
			client := http.Client{Transport: &http.Transport{}, Timeout: testkit.WaitTimeout}
			defer client.CloseIdleConnections()
			for n := 0; ctx.Err() == nil; n++ {
				if n == 20 {
					a.stop()
				}
				resp, err := client.Do(a.newRequest(t, http.MethodPost, "/refund-record", "x"))
				if err != nil {
					t.Error(err)
					return
				}
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil || resp.StatusCode != http.StatusOK || string(body) != "fine" {
					t.Errorf("%d %q, %v", resp.StatusCode, body, err)
				}
			}
		})
	}
	clients.Wait()
	a.stop()
	if err := <-a.done; err != nil {
		t.Error(err)
	}
}

// A load balancer in front of the agent sends clients as soon as it is ready. Without an endpoint list it is not, and a list that
// the process before it left counts as one.
func TestReadyOnlyWithEndpointList(t *testing.T) {
	t.Parallel()
	b := testkit.NewBackend(t, testkit.RespondWith(testkit.OKResponse))
	for known, want := range map[string]int{
		"null": http.StatusServiceUnavailable,
		testkit.EndpointListJSON(4, true, testkit.EndpointJSON("s-1", b.Addr().String(), "Ready", 0)): http.StatusOK,
	} {
		cfg, err := platform.Parse(testkit.ConfigText(testkit.RefusingAddr(t), known), testkit.NoEnv)
		if err != nil {
			t.Fatal(err)
		}
		l := testkit.Listen(t)
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() {
			done <- Run(ctx, cfg, operator.Default(), ReloadConfig{}, Environment{Clients: l}, slog.New(slog.DiscardHandler))
		}()
		a := &testAgent{url: "http://" + l.Addr().String()}
		testkit.Eventually(t, "the answer to /ready", func() bool { return a.status(t, "/ready") == want })
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// Requests on one connection are all answered on it, in order.
func TestClientConnectionIsReused(t *testing.T) {
	b := testkit.NewBackend(t, testkit.RespondWith(testkit.OKResponse))
	a := startAgent(t, testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", b.Addr().String(), "Ready", 0)), 0)
	c, err := net.Dial("tcp", a.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	in := bufio.NewReader(c)
	for i := range 3 {
		r := a.newRequest(t, http.MethodPost, "/refund-record", "x")
		if err := r.Write(c); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(in, r)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || string(body) != "fine" {
			t.Errorf("%d: %q, %v", i, body, err)
		}
	}
}
