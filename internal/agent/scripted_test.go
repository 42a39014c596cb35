package agent_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ryeweir/internal/agent"
	"ryeweir/internal/config/operator"
	"ryeweir/internal/config/platform"
	"ryeweir/internal/emulator"
	"ryeweir/internal/emulator/discovery"
	"ryeweir/internal/emulator/link"
	"ryeweir/internal/emulator/peer"
)

// An endpoint follows a script, which determines the client's answer and the number of requests that reach the endpoint. A request that
// may have run must not be sent again unless it is idempotent.
func TestAnswerFollowsFromTheEndpointsBehavior(t *testing.T) {
	fine := []peer.Step{peer.Forever(peer.Request(), peer.Send(peer.OK("fine")))}
	for name, c := range map[string]struct {
		method, path string
		scripts      [][]peer.Step
		status       int
		body         string
		requests     int // that the endpoint reads completely
	}{
		"byte by byte":                   {http.MethodPost, "/place-order", [][]peer.Step{{peer.Request(), peer.Drip(peer.OK("slowly"), time.Millisecond), peer.Silence()}}, 200, "slowly", 1},
		"interim responses":              {http.MethodPost, "/place-order", [][]peer.Step{{peer.Request(), peer.Send("HTTP/1.1 103 Early Hints\r\n\r\n"), peer.Wait(5 * time.Millisecond), peer.Send(peer.OK("final")), peer.Silence()}}, 200, "final", 1},
		"a reset, idempotent":            {http.MethodGet, "/price-basket", [][]peer.Step{{peer.Request(), peer.Reset()}, fine}, 200, "fine", 2},
		"a reset, not idempotent":        {http.MethodPost, "/place-order", [][]peer.Step{{peer.Request(), peer.Reset()}, fine}, 502, "", 1},
		"a close, not idempotent":        {http.MethodPost, "/place-order", [][]peer.Step{{peer.Request(), peer.Close()}, fine}, 502, "", 1},
		"half a head, not idempotent":    {http.MethodPost, "/place-order", [][]peer.Step{{peer.Request(), peer.Send("HTTP/1.1 200 OK\r\nConte"), peer.Close()}, fine}, 502, "", 1},
		"half a body, not idempotent":    {http.MethodPost, "/place-order", [][]peer.Step{{peer.Request(), peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), peer.Close()}, fine}, 502, "", 1},
		"rejected, so retried":           {http.MethodPost, "/place-order", [][]peer.Step{{peer.Request(), peer.Send("HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"), peer.Request(), peer.Send(peer.OK("now")), peer.Silence()}}, 200, "now", 2},
		"silence until the deadline":     {http.MethodPost, "/place-order", [][]peer.Step{{peer.Request(), peer.Silence()}}, 502, "", 1},
		"a reset before it was complete": {http.MethodPost, "/place-order", [][]peer.Step{{peer.Bytes("POST /place-order"), peer.Reset()}, fine}, 502, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				network := link.NewNetwork(1)
				l, err := network.Listen("node:80")
				if err != nil {
					t.Fatal(err)
				}
				p := peer.New(l, c.scripts...)
				defer p.Close()
				got, body := requestFromAgent(t, network, c.method, c.path)
				if got != c.status || body != c.body || len(p.Requests()) != c.requests || p.Err() != nil {
					t.Errorf("status %d, body %q after %d requests, %v", got, body, len(p.Requests()), p.Err())
				}
			})
		})
	}
}

// configWithEndpoints returns the configuration of an agent that has a cached list of these endpoints and can't reach discovery.
func configWithEndpoints(t *testing.T, control string, nodes ...string) platform.Config {
	t.Helper()
	spec := baseSpec()
	drawn, err := spec.Draw(1)
	if err != nil {
		t.Fatal(err)
	}
	known := discovery.List{Version: 1, Full: true}
	for _, id := range nodes {
		known.Servers = append(known.Servers, discovery.Entry{ID: id, Addr: id + ":80", Zone: "colombo", State: discovery.Ready, Weight: 1})
	}
	text, err := drawn.AgentConfig(0, "127.0.0.1:80", control, "nowhere:1", emulator.DefaultLimits(), &known)
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := platform.Check("config.json", text)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// requestFromAgent runs an agent with one endpoint, at node:80, sends it one request and returns the answer.
func requestFromAgent(t *testing.T, network *link.Network, method, path string) (status int, body string) {
	t.Helper()
	ops := operator.Default()
	ops.HealthChecks.PerRequest = 0 // the scripted endpoint at node:80 does not respond to health checks
	return requestFromAgentWith(t, network, ops, slog.New(slog.DiscardHandler), method, path)
}

// requestFromAgentWith is requestFromAgent with an operators' file and a logger.
func requestFromAgentWith(t *testing.T, network *link.Network, ops operator.File, log *slog.Logger, method, path string) (status int, body string) {
	t.Helper()
	cfg := configWithEndpoints(t, "", "node")
	clients, err := network.Listen("agent:80")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- agent.Run(ctx, cfg, ops, agent.ReloadConfig{}, agent.Environment{Clients: clients, Dial: network.Dialer("agent")}, log)
	}()
	defer func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}()
	time.Sleep(time.Second)
	req, err := http.NewRequest(method, "http://agent:80"+path, strings.NewReader(""))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string]string{"X-Request-ID": "00000000000000aa", "X-Tenant-Id": "kottu-run", "X-Timeout": "800m"} {
		req.Header.Set(name, value)
	}
	transport := &http.Transport{DialContext: network.Dialer("app"), DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(got)
}

// When an agent is restarted, the next process restores what the previous one learned. If the snapshot file is damaged, the process must
// start with nothing learned, and serve requests.
func TestNextProcessRestoresTheSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ops := operator.Default()
		ops.HealthChecks.PerRequest, ops.Snapshot.Dir = 0, t.TempDir()
		var logged bytes.Buffer
		log := slog.New(slog.NewTextHandler(&logged, nil))
		for run, want := range []string{"", "snapshot restored", "snapshot is corrupt"} {
			network := link.NewNetwork(1)
			l, err := network.Listen("node:80")
			if err != nil {
				t.Fatal(err)
			}
			p := peer.New(l, []peer.Step{peer.Forever(peer.Request(), peer.Send(peer.OK("fine")))})
			files, err := filepath.Glob(filepath.Join(ops.Snapshot.Dir, "*"))
			if err != nil || run > 0 && len(files) != 1 {
				t.Fatalf("snapshot files before run %d: %v, %v", run, files, err)
			}
			if run == 2 {
				if err := os.Truncate(files[0], 20); err != nil {
					t.Fatal(err)
				}
			}
			logged.Reset()
			if status, _ := requestFromAgentWith(t, network, ops, log, http.MethodGet, "/price-basket"); status != http.StatusOK || !strings.Contains(logged.String(), want) {
				t.Errorf("run %d: status %d, log: %s", run, status, logged.String())
			}
			p.Close()
		}
	})
}
