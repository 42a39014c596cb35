package http

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"ryeweir/internal/bodybuffer"
	"ryeweir/internal/config/platform"
	"ryeweir/internal/core"
	"ryeweir/internal/event"
	"ryeweir/internal/metrics"
	"ryeweir/internal/testkit"
	"ryeweir/logic"
)

// bodyBudget is the size in bytes of the body budget of a test server.
const bodyBudget = 1 << 20

// newServer returns a server without a core, and a valid request to pass to its methods.
func newServer(t *testing.T, method, path, body string) (*Server, *http.Request) {
	t.Helper()
	cfg, err := platform.Parse(testkit.ConfigText("127.0.0.1:8500", "null"), testkit.NoEnv)
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.DiscardHandler)
	s := New(Config{
		Site:           cfg.Site,
		Clock:          core.NewClock(),
		Metrics:        metrics.New(make([]string, 3)),
		BodyBudget:     bodybuffer.NewBudget(bodyBudget),
		MaxConnections: 10,
		MaxInFlight:    8,
		Log:            log,
		Events:         event.NewRecorder(log),
	})
	r := httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body))
	for name, value := range map[string]string{"X-Request-ID": "9b1f03aa5c7e2d41", "X-Tenant-Id": "glasgow-airport", "X-Timeout": "2000m", "Idempotency-Key": "k"} {
		r.Header.Set(name, value)
	}
	return s, r
}

// startCore gives the server a core without endpoints. The core runs until stop is called or the test ends. stop waits until it
// has ended.
func startCore(t *testing.T, s *Server) (stop func()) {
	t.Helper()
	balancer, err := logic.New(s.Site.Logic, 1)
	if err != nil {
		t.Fatal(err)
	}
	s.Core = core.New(core.Config{Balancer: balancer, Clock: s.Clock, Upstream: noEndpoints{}, Log: s.Log})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { s.Core.Run(ctx); close(ended) }()
	stop = func() { cancel(); <-ended }
	t.Cleanup(stop)
	return stop
}

// noEndpoints is an upstream without endpoints.
type noEndpoints struct{}

func (noEndpoints) UpdateEndpoints(core.EndpointList) (int, int) { return 0, 0 }
func (noEndpoints) Bind(string) any                              { return nil }
func (noEndpoints) Execute(_ context.Context, _ *core.Attempt)   {}

// recorder is a response recorder that accepts read and write deadlines, as a connection does.
type recorder struct{ *httptest.ResponseRecorder }

func newRecorder() recorder { return recorder{httptest.NewRecorder()} }

func (recorder) SetReadDeadline(time.Time) error  { return nil }
func (recorder) SetWriteDeadline(time.Time) error { return nil }
