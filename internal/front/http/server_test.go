package http

import (
	"bufio"
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
	"ryeweir/internal/httpmsg"
	"ryeweir/internal/metrics"
	"ryeweir/internal/testkit"
	"ryeweir/logic"
)

// newServer is a server for direct calls, with a request that is in order.
func newServer(t *testing.T, method, path, body string) (*Server, *http.Request) {
	t.Helper()
	cfg, err := platform.Parse(testkit.ConfigText("127.0.0.1:8500", "null"), testkit.NoEnv)
	if err != nil {
		t.Fatal(err)
	}
	s := New(Config{Site: cfg.Site, Clock: core.NewClock(), Metrics: metrics.New(make([]string, 3)), BodyBudget: bodybuffer.NewBudget(1 << 20), MaxConnections: 10,
		Log: slog.New(slog.DiscardHandler)})
	r := httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body))
	for name, value := range map[string]string{"X-Request-ID": "9b1f03aa5c7e2d41", "X-Tenant-Id": "glasgow-airport", "X-Timeout": "2000m", "Idempotency-Key": "k"} {
		r.Header.Set(name, value)
	}
	return s, r
}

// A request ends early enough that its answer is out before the client's deadline, which may be near.
func TestDeadlineMargin(t *testing.T) {
	for text, timeout := range map[string]time.Duration{"2000m": 2 * time.Second, "8m": 8 * time.Millisecond} {
		s, r := newServer(t, http.MethodGet, "/form-check", "")
		r.Header.Set("X-Timeout", text)
		c, _, _, err := s.accept(httptest.NewRecorder(), r, s.class(r))
		if err != nil {
			t.Fatal(err)
		}
		if c.Timeout >= timeout || c.Timeout < timeout-timeout/4 {
			t.Errorf("%s: %v are left for an answer", text, c.Timeout)
		}
	}
}

// When too much is open, what comes is refused at once: past the limit on descriptors nothing would be answered at
// all.
func TestTooMuchOpen(t *testing.T) {
	s, r := newServer(t, http.MethodGet, "/form-check", "")
	s.mostHeld = 1
	s.held.Store(1)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") != "1" {
		t.Errorf("%d %v", w.Code, w.Header())
	}
	if s.held.Load() != 1 {
		t.Errorf("%d are held", s.held.Load())
	}
}

// The head that goes on holds what concerns a server and nothing else, in a form that has one reading.
func TestHeadThatGoesOn(t *testing.T) {
	_, r := newServer(t, http.MethodPost, "/refund-record/a%2Fb?x=1", "form")
	r.Host = "origin.svc"
	for name, value := range map[string]string{"Connection": "x-cost", "X-Cost": "3", "Content-Length": "999", "Transfer-Encoding": "x", "Cookie": "c"} {
		r.Header.Set(name, value)
	}
	for length, want := range map[int64]string{4: "Content-Length: 4", 0: "Content-Length: 0", -1: "Transfer-Encoding: chunked"} {
		got := string(appendHead(nil, r, &httpmsg.Body{Length: length}))
		if want := "POST /refund-record/a%2Fb?x=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: 9b1f03aa5c7e2d41\r\nIdempotency-Key: k\r\n" +
			"X-Tenant-Id: glasgow-airport\r\nX-Cost: 3\r\n" + want + "\r\n"; got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}

// A host with what ends a word or a line in it must not reach the text of a request that goes on.
func TestMalformedHost(t *testing.T) {
	for _, host := range []string{"a b", "a\r\nX: y", "a\x00", "a\x7f"} {
		s, r := newServer(t, http.MethodGet, "/form-check", "")
		r.Host = host
		if _, _, _, err := s.accept(httptest.NewRecorder(), r, s.class(r)); err == nil {
			t.Errorf("%q is taken", host)
		}
	}
}

func TestTimeoutForms(t *testing.T) {
	for text, want := range map[string]time.Duration{"480m": 480 * time.Millisecond, "1500u": 1500 * time.Microsecond,
		"0.5m": 500 * time.Microsecond, "999999999999m": time.Second} {
		if got, err := parseTimeout(text, time.Second); err != nil || got != want {
			t.Errorf("%s: %v, %v", text, got, err)
		}
	}
	for _, text := range []string{"", "m", "0m", "-5m", "+5m", "5", "5s", "1e3m", "0x10m", "infm", "NaNm", "5.m", ".5m", "1_0m",
		" 5m", "9999999999999m"} {
		if got, err := parseTimeout(text, time.Second); err == nil {
			t.Errorf("%q gives %v", text, got)
		}
	}
}

// What is idle goes, with a sweep, well before the 4 s after which it breaks a rule.
func TestDrainTimes(t *testing.T) {
	if headerTimeout >= 3*time.Second || httpmsg.UploadStallTimeout >= 3*time.Second {
		t.Errorf("a head may take %v, a pause in a body %v, where an answer is owed in 3 s", headerTimeout, httpmsg.UploadStallTimeout)
	}
	if drainIdle+drainSweep > 2*time.Second {
		t.Errorf("idle for %v", drainIdle+drainSweep)
	}
}

// The end is final: no operator brings back a process that is about to go.
func TestPhases(t *testing.T) {
	p := newPhase()
	for _, to := range []int32{draining, draining, serving, draining} {
		if err := p.move(to); err != nil || p.leaving() != (to == draining) {
			t.Errorf("to %d: %v", to, err)
		}
	}
	p.end()
	if p.move(serving) == nil || !p.leaving() {
		t.Error("back from the end")
	}
}

// A request counts as pending from its last byte to its end, once, also where the last byte comes as it ends.
func TestPendingOnce(t *testing.T) {
	for name, c := range map[string]struct{ before, after, counted bool }{
		"taken, then over": {true, false, true}, "over, then taken": {false, true, false}, "taken twice": {true, true, true}, "never taken": {},
	} {
		var p pending
		open := 0
		begin := func(is bool) {
			if is && p.begin() {
				open++
			}
		}
		begin(c.before)
		if c.counted != (open == 1) {
			t.Errorf("%s: %d pending", name, open)
		}
		if p.end() {
			open--
		}
		begin(c.after)
		if p.end() || open != 0 {
			t.Errorf("%s: %d pending in the end", name, open)
		}
	}
}

// connection is a client's connection, as far as a server sets limits on it.
type connection struct{ *httptest.ResponseRecorder }

func (connection) SetReadDeadline(time.Time) error  { return nil }
func (connection) SetWriteDeadline(time.Time) error { return nil }

// nobody is an upstream without servers.
type nobody struct{}

func (nobody) UpdateEndpoints(core.EndpointList) (int, int) { return 0, 0 }
func (nobody) Bind(string) any                              { return nil }
func (nobody) Execute(_ context.Context, _ *core.Attempt)   {}

// The room that a body takes is given back once, when its request is over: refused by the module, or because too much is open.
func TestBodyGivesItsRoomBack(t *testing.T) {
	for _, tooMuch := range []bool{false, true} {
		s, r := newServer(t, http.MethodPost, "/refund-record", strings.Repeat("x", 9000))
		balancer, err := logic.New(s.Site.Logic, 1)
		if err != nil {
			t.Fatal(err)
		}
		s.Core = core.New(core.Config{Balancer: balancer, Clock: s.Clock, Upstream: nobody{}, Log: s.Log})
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { s.Core.Run(ctx); close(ended) }()
		if tooMuch {
			s.held.Store(s.mostHeld)
		}
		w := connection{httptest.NewRecorder()}
		s.ServeHTTP(w, r)
		stop()
		<-ended
		if left := s.BodyBudget.Reserve(2 << 20); w.Code != http.StatusServiceUnavailable || left != 1<<20 {
			t.Errorf("too much open %v: %d, and room for %d is left", tooMuch, w.Code, left)
		}
	}
}

// Path and query go on as the client wrote them, also characters that Go would write in another way.
func TestTargetGoesOnUnchanged(t *testing.T) {
	for _, target := range []string{"/form-check", "/form-check/a%2Fb?x=1&y", "/form-check/a|b^{c}\"d\"", "/form-check/%7Ea%2c?", "/form-check//b/../c?q=a+b%20c", "/form-check/ä"} {
		_, r := newServer(t, http.MethodGet, "/form-check", "")
		parsed, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: o\r\n\r\n")))
		if err != nil {
			t.Fatal(err)
		}
		r.URL, r.RequestURI = parsed.URL, parsed.RequestURI
		got, _, _ := strings.Cut(string(appendHead(nil, r, &httpmsg.Body{})), "\r\n")
		if want := "GET " + target + " HTTP/1.1"; got != want {
			t.Errorf("%q goes on as %q", want, got)
		}
	}
}
