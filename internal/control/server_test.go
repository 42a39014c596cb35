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

// fakeAgent is an agent whose phase is two flags.
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

// start serves a fake agent's operators until the test ends.
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

// call makes a call on a connection of its own, which the answer must close.
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
		t.Errorf("%q: the connection stays open", text)
	}
	return resp
}

// Each call has its status; readiness follows the phase, and a phase can't be changed any more at the end.
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
		t.Errorf("figures %q, %v", body, err)
	}
	a.shuttingDown.Store(true)
	if resp := call(t, addr, "POST /v1/agent/activate HTTP/1.1\r\nHost: x\r\n\r\n"); resp.StatusCode != http.StatusConflict {
		t.Errorf("activate while shutting down: %d", resp.StatusCode)
	}
}

// Callers hold more connections than there may be, with no call or a part of one. An operator's call is answered all the same, long
// before theirs time out.
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

// A caller begins a call and does not go on. Its connection is closed, also while slots are free.
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
				t.Errorf("%q: open for %v", text, took)
			}
			c.Close()
		}
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}
