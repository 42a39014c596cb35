package agent_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"ryeweir/internal/agent"
	"ryeweir/internal/config/operator"
	"ryeweir/internal/config/platform"
	"ryeweir/internal/emulator/link"
	"ryeweir/internal/emulator/peer"
)

// scriptedAgent is an agent on an in-memory network, with scripted endpoints and with clients that write raw bytes.
type scriptedAgent struct {
	t              *testing.T
	network        *link.Network
	endpoint       *peer.Peer
	otherEndpoints []*peer.Peer     // the endpoints after the first
	stop           func()           // begins the shutdown, as SIGTERM does
	hangup         chan<- os.Signal // triggers a reload, as SIGHUP does
	finished       chan error       // receives the result of agent.Run
}

// startScriptedAgent runs an agent with one endpoint. Each connection to the endpoint follows the next of the scripts.
func startScriptedAgent(t *testing.T, scripts ...[]peer.Step) *scriptedAgent {
	t.Helper()
	return startScriptedAgentOf(t, 1, scripts...)
}

// startScriptedAgentOf runs an agent with several endpoints, each of which follows the same scripts.
func startScriptedAgentOf(t *testing.T, nodes int, scripts ...[]peer.Step) *scriptedAgent {
	t.Helper()
	return startScriptedAgentWith(t, func(*platform.Config) {}, nodes, scripts...)
}

// startScriptedAgentWith is startScriptedAgentOf with a configuration that change has modified.
func startScriptedAgentWith(t *testing.T, change func(*platform.Config), nodes int, scripts ...[]peer.Step) *scriptedAgent {
	t.Helper()
	a := &scriptedAgent{t: t, network: link.NewNetwork(1), finished: make(chan error, 1)}
	listen := func(addr string) net.Listener {
		l, err := a.network.Listen(addr)
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	a.endpoint = peer.New(listen("node:80"), scripts...)
	ids := []string{"node"}
	for i := 1; i < nodes; i++ {
		ids = append(ids, fmt.Sprint("node", i))
		a.otherEndpoints = append(a.otherEndpoints, peer.New(listen(ids[i]+":80"), scripts...))
	}
	cfg := configWithEndpoints(t, "127.0.0.1:90", ids...)
	change(&cfg)
	ops := operator.Default()
	ops.HealthChecks.PerRequest = 0 // the scripts do not respond to health checks
	hangups := make(chan os.Signal, 1)
	reloads := agent.ReloadConfig{Signals: hangups, LoadPlatform: func() (platform.Config, error) { return cfg, nil }}
	env := agent.Environment{Clients: listen("agent:80"), Control: listen("agent:90"), Dial: a.network.Dialer("agent")}
	ctx, stop := context.WithCancel(t.Context())
	a.stop, a.hangup = stop, hangups
	go func() { a.finished <- agent.Run(ctx, cfg, ops, reloads, env, slog.New(slog.DiscardHandler)) }()
	time.Sleep(time.Second)
	return a
}

// close shuts down the agent and its endpoints and reports connections that are left. If goroutines are left, synctest fails the test.
func (a *scriptedAgent) close() {
	a.t.Helper()
	a.stop()
	if err := <-a.finished; err != nil {
		a.t.Error(err)
	}
	if n := a.network.Open("agent"); n > 0 {
		a.t.Errorf("the agent has ended but %d of its connections are open", n)
	}
	for _, p := range append(a.otherEndpoints, a.endpoint) {
		p.Close()
	}
}

// setReachable opens or cuts the network from the agent to its first endpoint. The opposite direction stays open.
func (a *scriptedAgent) setReachable(reachable bool) {
	a.network.Set("agent", "node", link.Conditions{Cut: !reachable})
}

// progressMetrics holds the metrics of GET /v1/metrics on requests and connections in progress.
type progressMetrics struct {
	Pending            int
	Unavailable        int `json:"members_unavailable"`
	Upstream           int `json:"upstream_requests"`
	Connections        struct{ Open, Idle, Opening, Waiting, Opened int }
	ContractViolations map[string]int `json:"border"`
}

// readMetrics reads the metrics at the operators' address.
func (a *scriptedAgent) readMetrics() (m progressMetrics) {
	a.t.Helper()
	client := http.Client{Transport: &http.Transport{DialContext: a.network.Dialer("operator"), DisableKeepAlives: true}}
	resp, err := client.Get("http://agent:90/v1/metrics")
	if err != nil {
		a.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&m); err != nil {
		a.t.Fatal(err)
	}
	return m
}

// connectAndWrite opens a client connection to the agent and writes a text to it.
func (a *scriptedAgent) connectAndWrite(text string) net.Conn {
	a.t.Helper()
	c, err := a.network.Dialer("app")(a.t.Context(), "tcp", "agent:80")
	if err != nil {
		a.t.Fatal(err)
	}
	if _, err := io.WriteString(c, text); err != nil {
		a.t.Fatal(err)
	}
	return c
}

// readAnswer reads an answer. It returns its status, or 0 if there is none, whether its body is complete, and how many bytes follow it
// within a second.
func readAnswer(c net.Conn) (status int, complete bool, surplus int) {
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, false, 0
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	c.SetReadDeadline(time.Now().Add(time.Second))
	rest, _ := io.ReadAll(in)
	return resp.StatusCode, err == nil, len(rest)
}

// requestHead returns the head of a request with a timeout of 800 ms. A POST has this Content-Length.
func requestHead(method, path string, body int) string {
	head := method + " " + path + " HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: 00000000000000aa\r\nX-Tenant-Id: kottu-run\r\nX-Timeout: 800m\r\n"
	if method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", body)
	}
	return head + "\r\n"
}
