package agent

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"ryeweir/internal/config/operator"
	"ryeweir/internal/config/platform"
	"ryeweir/internal/testkit"
	"ryeweir/internal/wire"
)

// testAgent is an agent under test.
type testAgent struct {
	site    wire.Site
	url     string
	addr    string
	control string     // the operators' address
	stop    func()     // begins the shutdown, as SIGTERM does
	done    chan error // receives the result of Run
}

// startAgent runs an agent that uses d as its discovery, and waits until it is ready. When it drains, it accepts new connections for
// acceptWindow.
func startAgent(t *testing.T, d *testkit.Discovery, acceptWindow time.Duration) *testAgent {
	t.Helper()
	return startAgentWith(t, d, acceptWindow, func(*platform.Config) {})
}

// startAgentWith is startAgent with a configuration that change has modified.
func startAgentWith(t *testing.T, d *testkit.Discovery, acceptWindow time.Duration, change func(*platform.Config)) *testAgent {
	t.Helper()
	return startAgentWithLog(t, d, acceptWindow, change, slog.DiscardHandler)
}

// startAgentWithLog is startAgentWith with a handler for the agent's log.
func startAgentWithLog(t *testing.T, d *testkit.Discovery, acceptWindow time.Duration, change func(*platform.Config), log slog.Handler) *testAgent {
	t.Helper()
	cfg := testConfig(t, d)
	cfg.AcceptWindow = acceptWindow
	change(&cfg)
	return launchAgent(t, cfg, Environment{Clients: testkit.Listen(t), Control: testkit.Listen(t)}, log)
}

// testConfig returns the platform's configuration of an agent that uses d as its discovery.
func testConfig(t *testing.T, d *testkit.Discovery) platform.Config {
	t.Helper()
	cfg, err := platform.Parse(testkit.ConfigText(d.Addr().String(), "null"), testkit.NoEnv)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// deployedProgram stands for the resident part of a deployed program, as that of a test program is several times as large.
const deployedProgram = 12 << 20

// launchAgent runs an agent in this environment until the test ends, and waits until it is ready.
func launchAgent(t *testing.T, cfg platform.Config, env Environment, log slog.Handler) *testAgent {
	t.Helper()
	return launchAgentWith(t, cfg, operator.Default(), env, log)
}

// launchAgentWith is launchAgent with an operators' file.
func launchAgentWith(t *testing.T, cfg platform.Config, operators operator.File, env Environment, log slog.Handler) *testAgent {
	t.Helper()
	env.Program = deployedProgram
	ctx, stop := context.WithCancel(context.Background())
	addr := env.Clients.Addr().String()
	a := &testAgent{site: cfg.Site, addr: addr, url: "http://" + addr, stop: stop, done: make(chan error, 1)}
	if env.Control != nil {
		a.control = "http://" + env.Control.Addr().String()
	}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		a.done <- Run(ctx, cfg, operators, ReloadConfig{}, env, slog.New(log))
	}()
	t.Cleanup(func() { stop(); <-finished })
	testkit.Eventually(t, "the agent is ready", func() bool { return a.status(t, "/ready") == http.StatusOK })
	return a
}

// callOperator sends a request to the operators' address and returns the status of the response.
func (a *testAgent) callOperator(t *testing.T, method, path string) int {
	t.Helper()
	r, err := http.NewRequest(method, a.control+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	return send(t, r).status
}

// status sends a GET request to the agent and returns the status of the answer, or 0 if there is none.
func (a *testAgent) status(t *testing.T, path string) int {
	t.Helper()
	resp, err := http.Get(a.url + path)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

var lastID atomic.Int64

// newRequest returns a request with a unique ID. A POST has an idempotency key.
func (a *testAgent) newRequest(t *testing.T, method, path, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, a.url+path, bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("X-Request-ID", fmt.Sprintf("%016x", lastID.Add(1)))
	r.Header.Set("X-Tenant-Id", "glasgow-airport")
	r.Header.Set("X-Route-Key", "7f3a9c21e0b4d655")
	r.Header.Set("X-Timeout", "2000m")
	if method == http.MethodPost {
		r.Header.Set("Idempotency-Key", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
	}
	return r
}

// reply is an answer as its client received it.
type reply struct {
	status int
	header http.Header
	body   string
	close  bool // the answer closes its connection
}

// send sends a request on a new connection and reads the complete answer.
func send(t *testing.T, r *http.Request) reply {
	t.Helper()
	client := http.Client{Transport: &http.Transport{}, Timeout: testkit.WaitTimeout}
	defer client.CloseIdleConnections()
	resp, err := client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return reply{resp.StatusCode, resp.Header, string(body), resp.Close}
}
