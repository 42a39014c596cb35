package control

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ryeweir/internal/emulator/link"
)

// fakeAgent is an Agent that stores its phase in two flags.
type fakeAgent struct{ draining, shuttingDown atomic.Bool }

func (a *fakeAgent) Ready() bool { return !a.draining.Load() }

func (a *fakeAgent) Drain() error { return a.changePhase(true) }

func (a *fakeAgent) Activate() error { return a.changePhase(false) }

func (a *fakeAgent) changePhase(drain bool) error {
	if a.shuttingDown.Load() {
		return errors.New("shutting down")
	}
	a.draining.Store(drain)
	return nil
}

// start serves a fake agent until the test ends, and returns the agent and the address.
func start(t *testing.T) (*fakeAgent, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &fakeAgent{}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, l, a, json.RawMessage(`{"pending":3}`), slog.New(slog.DiscardHandler)) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return a, l.Addr().String()
}

// call sends a request on a new connection and checks that the response closes the connection.
func call(t *testing.T, addr, text string) *http.Response {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(c, text)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	if !resp.Close {
		t.Errorf("%q: the response does not close the connection", text)
	}
	return resp
}

// Each call returns the expected status. Readiness follows the phase, and the phase cannot be changed during shutdown.
func TestCallsAndTheirStatus(t *testing.T) {
	a, addr := start(t)
	for _, c := range []struct {
		line string
		want int
	}{
		{"GET /v1/readyz", 200},
		{"POST /v1/agent/drain", 200},
		{"GET /v1/readyz", 503},
		{"POST /v1/agent/drain", 200},
		{"POST /v1/agent/activate", 200},
		{"GET /v1/readyz", 200},
		{"GET /v1/agent/drain", 405},
		{"POST /v1/readyz", 405},
		{"GET /v1/nothing", 404},
		{"GET", 400},
	} {
		if resp := call(t, addr, c.line+" HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"); resp.StatusCode != c.want {
			t.Errorf("%s: %d", c.line, resp.StatusCode)
		}
	}
	resp := call(t, addr, "GET /v1/metrics HTTP/1.1\r\nHost: x\r\n\r\n")
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != `{"pending":3}` {
		t.Errorf("metrics %q, error %v", body, err)
	}
	a.shuttingDown.Store(true)
	if resp := call(t, addr, "POST /v1/agent/activate HTTP/1.1\r\nHost: x\r\n\r\n"); resp.StatusCode != http.StatusConflict {
		t.Errorf("activate while shutting down: %d", resp.StatusCode)
	}
}

// Callers open more connections than the limit and send nothing, or only part of a call. An operator's call is still answered, long before
// those connections time out.
func TestSilentConnectionsLockNobodyOut(t *testing.T) {
	_, addr := start(t)
	for i := range 3 * maxConnections {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			io.WriteString(c, "GET /v1/rea")
		}
	}
	if resp := call(t, addr, "GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n"); resp.StatusCode != http.StatusOK {
		t.Error(resp.Status)
	}
}

// A caller sends only part of a call. Its connection is closed after a timeout, even while connection slots are free.
func TestPartialCallTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := link.NewNetwork(1)
		l, err := network.Listen("agent:90")
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() {
			done <- Serve(ctx, l, &fakeAgent{}, json.RawMessage("{}"), slog.New(slog.DiscardHandler))
		}()
		for _, text := range []string{"", "GET /v1/rea", "POST /v1/agent/drain HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf"} {
			c, err := network.Dialer("operator")(ctx, "tcp", "agent:90")
			if err != nil {
				t.Fatal(err)
			}
			io.WriteString(c, text)
			began := time.Now()
			io.Copy(io.Discard, c)
			if took := time.Since(began); took > callTimeout+time.Second {
				t.Errorf("%q: connection closed after %v", text, took)
			}
			c.Close()
		}
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}
