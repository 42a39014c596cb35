package agent

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	fronthttp "ryeweir/internal/front/http"
	"ryeweir/internal/memory"
	"strings"
	"sync"
	"testing"
	"time"

	"ryeweir/internal/config/operator"
	"ryeweir/internal/config/platform"
	"ryeweir/internal/httpmsg"
	"ryeweir/internal/testkit"
)

// The target and body of a request reach the endpoint unchanged, and the body of its response reaches the client.
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

// An endpoint reads a request and never responds. At the deadline the client must still get an answer: a rejection with Retry-After if
// the request may safely be sent again, and a failure otherwise.
func TestSilentEndpointEndsAtDeadline(t *testing.T) {
	t.Parallel()
	b := testkit.NewBackend(t, testkit.NeverRespond)
	a := startAgent(t, testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", b.Addr().String(), "Ready", 0)), 0)
	for method, want := range map[string]struct {
		path       string
		status     int
		retryAfter string
	}{
		http.MethodGet:  {"/form-check", http.StatusServiceUnavailable, "0.3"},
		http.MethodPost: {"/refund-record", http.StatusBadGateway, ""},
	} {
		got := send(t, a.newRequest(t, method, want.path, ""))
		if got.status != want.status || got.header.Get("Retry-After") != want.retryAfter {
			t.Errorf("%s: %+v", want.path, got)
		}
	}
}

// The only endpoint refuses connections, so the request can't have run. The client is rejected at once, although its timeout is 50
// minutes.
func TestNoReachableEndpointRejectsAtOnce(t *testing.T) {
	a := startAgent(t, testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", testkit.RefusingAddr(t), "Ready", 0)), 0)
	r := a.newRequest(t, http.MethodPost, "/refund-record", "")
	r.Header.Set("X-Timeout", "3000000m")
	if got := send(t, r); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("%+v", got)
	}
}

// An endpoint reads a non-idempotent request and closes the connection. The request may have run, so it must not be sent to another
// endpoint, and the answer must not invite the client to send it again.
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

// An endpoint reads an idempotent request and closes the connection. The request is retried, and the client gets a normal answer.
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

// An invalid request reaches no endpoint. It gets a 4xx answer other than 429, which like 503 would invite the client to send it again.
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
		"unknown class":      {"/elsewhere", "", func(*http.Request) {}, http.StatusNotFound},
		"no class":           {"/", "", func(*http.Request) {}, http.StatusNotFound},
		"no time-out":        {"/refund-record", "", without("X-Timeout"), http.StatusBadRequest},
		"time-out, no unit":  {"/refund-record", "", with("X-Timeout", "480"), http.StatusBadRequest},
		"time-out, no value": {"/refund-record", "", with("X-Timeout", "m"), http.StatusBadRequest},
		"time-out below 0":   {"/refund-record", "", with("X-Timeout", "-5m"), http.StatusBadRequest},
		"time-out NaN":       {"/refund-record", "", with("X-Timeout", "NaNm"), http.StatusBadRequest},
		"no id":              {"/refund-record", "", without("X-Request-ID"), http.StatusBadRequest},
		"no key":             {"/refund-record", "", without("Idempotency-Key"), http.StatusBadRequest},
		"wrong method":       {"/form-check", "", func(*http.Request) {}, http.StatusMethodNotAllowed},
		"GET with a body":    {"/form-check", "x", func(r *http.Request) { r.Method = http.MethodGet }, http.StatusBadRequest},
		"time-out twice":     {"/refund-record", "", func(r *http.Request) { r.Header.Add("X-Timeout", "1m") }, http.StatusBadRequest},
		"two ids":            {"/refund-record", "", func(r *http.Request) { r.Header.Add("X-Request-ID", "2") }, http.StatusBadRequest},
		"long id":            {"/refund-record", "", with("X-Request-ID", strings.Repeat("x", 129)), http.StatusBadRequest},
		"unknown tenant":     {"/refund-record", "", with("X-Tenant-Id", "nobody"), http.StatusBadRequest},
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
		t.Errorf("%d invalid requests were forwarded", n)
	}
	if got := send(t, a.newRequest(t, http.MethodPost, "/refund-record", strings.Repeat("x", httpmsg.MaxBodyBytes))); got.status != http.StatusOK {
		t.Errorf("the longest body: %+v", got)
	}
}

// The connections to endpoints and from clients together stay below the limit on descriptors, with some in reserve, also while two
// processes share the limit. New connections are accepted for more than 0.4 s after the termination signal, and the drain ends less
// than 0.7 s after the longest deadline, as the platform states.
func TestLimitsStayWithinThoseOfThePlatform(t *testing.T) {
	for _, limit := range []int{256, 1024, 4096} {
		limits := limitConnections(limit, Environment{})
		if to, from := limits.toEndpoints, limits.fromClients; to < 1 || from < 1 || to+from > limit-reservedDescriptors {
			t.Errorf("limit %d: %d connections to endpoints, %d from clients", limit, to, from)
		} else if third, inFlight := limit/3, planMemory(platform.Config{MaxDescriptors: limit, MemoryMB: 2048}, operator.File{}, Environment{}, memory.Alone).InFlight; to < third || inFlight < third {
			t.Errorf("limit %d: less than a third of it is for connections to endpoints, or for requests in flight", limit)
		}
		control := testkit.Listen(t)
		single, shared := limitConnections(limit, Environment{Control: control}), limitConnections(limit, Environment{Control: control, Inherited: true})
		if single.fromClients+single.toEndpoints > limits.fromClients+limits.toEndpoints-8 {
			t.Errorf("limit %d: no descriptors are reserved for operators", limit)
		}
		// Clients move from one process to the other, so their descriptors are counted once for both.
		if shared.fromClients+2*shared.toEndpoints+2*reservedDescriptors > limit {
			t.Errorf("limit %d: each of two processes may hold %+v", limit, shared)
		}
	}
	if ends := platform.DefaultAcceptWindow + fronthttp.DrainMargin; platform.DefaultAcceptWindow <= 400*time.Millisecond || ends >= 700*time.Millisecond {
		t.Errorf("accepts for %v, the drain ends %v after the longest deadline", platform.DefaultAcceptWindow, ends)
	}
}

// A request arrives while another one with the same ID is open. The two could not be told apart, and the second could receive the
// answer to the first. The second is therefore answered with 409 Conflict.
func TestSecondRequestWithTheSameIDConflicts(t *testing.T) {
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
	testkit.Eventually(t, "the first request is at the endpoint", func() bool { return b.Requests() == 1 })
	if r := send(t, second); r.status != http.StatusConflict {
		t.Errorf("second request: %+v", r)
	}
	close(release)
	if r := <-got; r.status != http.StatusOK || b.Requests() != 1 {
		t.Errorf("first request: %+v after %d attempts", r, b.Requests())
	}
}

// A client disconnects while its request is at an endpoint. The attempt continues, because its outcome shows how healthy the endpoint
// is. The agent must continue to serve other requests.
func TestClientDisconnectEndsItsRequest(t *testing.T) {
	release := make(chan struct{})
	b := testkit.NewBackend(t, func(c net.Conn, r *http.Request, n int) bool {
		<-release
		return testkit.RespondWith(testkit.OKResponse)(c, r, n)
	})
	a := startAgent(t, testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", b.Addr().String(), "Ready", 0)), 0)
	r := a.newRequest(t, http.MethodPost, "/refund-record", "")
	r.Header.Set("X-Timeout", "60000m")
	ctx, disconnect := context.WithCancel(context.Background())
	disconnected := make(chan error)
	go func() { _, err := http.DefaultClient.Do(r.WithContext(ctx)); disconnected <- err }()
	testkit.Eventually(t, "the request is at the endpoint", func() bool { return b.Requests() == 1 })
	disconnect()
	if err := <-disconnected; err == nil {
		t.Error("the disconnected client got an answer")
	}
	close(release)
	next := a.newRequest(t, http.MethodGet, "/form-check", "")
	if got := send(t, next); got.status != http.StatusOK {
		t.Errorf("the next request: %+v", got)
	}
}

// A drain begins while a request is at an endpoint. For AcceptWindow new connections are still accepted and served, each answer closes its
// connection, and the pending request is answered. Then the agent ends and its listener is closed.
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
	testkit.Eventually(t, "the first request is at the endpoint", func() bool { return b.Requests() == 1 })
	a.stop()
	testkit.Eventually(t, "the agent is not ready", func() bool { return a.status(t, "/ready") == http.StatusServiceUnavailable })
	if r := send(t, a.newRequest(t, http.MethodGet, "/form-check", "")); r.status != http.StatusOK || !r.close {
		t.Errorf("request on a new connection: %+v", r)
	}
	close(release)
	if r := <-got; r.status != http.StatusOK || !r.close {
		t.Errorf("pending request: %+v", r)
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
		t.Error("the agent still listens")
	}
}

// Clients send requests one after the other while the agent drains. Every request must be answered. A connection may only be closed
// between two requests, and the client then opens another.
func TestDrainAnswersEveryRequest(t *testing.T) {
	t.Parallel()
	b := testkit.NewBackend(t, testkit.RespondWith(testkit.OKResponse))
	a := startAgent(t, testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", b.Addr().String(), "Ready", 0)), 3*time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
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

// A load balancer in front of the agent sends it clients as soon as it is ready, so it must not be ready without an endpoint list. A
// cached list of the previous process suffices.
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

// Consecutive requests on one client connection are all answered on it, in order.
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
