package agent

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"ryeweir/internal/config/platform"
	"ryeweir/internal/testkit"
)

// steps are the events of one request in the order of the log, with their reasons, and those of its connection.
func steps(log *testkit.LockedBuffer, request string) (of []string) {
	lines := strings.Split(log.String(), "\n")
	connection := ""
	for _, line := range lines {
		if strings.Contains(line, "request="+request+" ") || strings.HasSuffix(line, "request="+request) {
			if c := field(line, "connection"); c != "" {
				connection = c
			}
		}
	}
	for _, line := range lines {
		if field(line, "request") != request && (field(line, "request") != "" || field(line, "connection") != connection) {
			continue
		}
		if kind := field(line, "msg"); kind != "" {
			of = append(of, strings.TrimSuffix(kind+" "+field(line, "reason"), " "))
		}
	}
	return of
}

// field is a field of a line of the log in text form.
func field(line, name string) string {
	for _, part := range strings.Fields(line) {
		if value, ok := strings.CutPrefix(part, name+"="); ok {
			return value
		}
	}
	return ""
}

// At level debug one request can be followed by its id from the accept of its connection to the last byte of its answer and the
// close, with the reason of each attempt, retry, rejection and close.
func TestRequestCanBeFollowed(t *testing.T) {
	for name, c := range map[string]struct {
		script func(net.Conn, *http.Request, int) bool
		close  bool // the client asks for the close
		want   []string
	}{
		"served": {testkit.Says(testkit.ServedText), true, []string{"connection_accepted", "request_read", "attempt_decided first",
			"attempt_written", "attempt_ended ok", "request_answered served", "request_written", "connection_closed after_answer"}},
		"sent again": {func(c net.Conn, r *http.Request, n int) bool {
			if n == 1 {
				return testkit.Says("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n")(c, r, n)
			}
			return testkit.Says(testkit.ServedText)(c, r, n)
		}, true, []string{"connection_accepted", "request_read", "attempt_decided first", "attempt_written", "attempt_ended server_error",
			"attempt_decided retry", "attempt_written", "attempt_ended ok", "request_answered served", "request_written",
			"connection_closed after_answer"}},
		"a client that stays": {testkit.Says(testkit.ServedText), false, []string{"connection_accepted", "request_read", "attempt_decided first",
			"attempt_written", "attempt_ended ok", "request_answered served", "request_written", "connection_closed idle_timeout"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := testkit.NewBackend(t, c.script)
			d := testkit.NewDiscovery(t, 1, testkit.EntryText("b", b.Addr().String(), "Ready", 0))
			var log testkit.LockedBuffer
			a := startLogged(t, d, 0, func(*platform.Config) {}, slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug}))
			conn, err := net.Dial("tcp", a.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			closes := ""
			if c.close {
				closes = "Connection: close\r\n"
			}
			fmt.Fprintf(conn, "GET /form-check HTTP/1.1\r\nHost: o\r\nX-Request-ID: 4f2a\r\nX-Tenant-Id: glasgow-airport\r\nX-Timeout: 2000m\r\n%s\r\n", closes)
			conn.SetReadDeadline(time.Now().Add(testkit.Patience))
			io.Copy(io.Discard, conn)
			testkit.Eventually(t, "the close is in the log", func() bool {
				got := steps(&log, "4f2a")
				return len(got) > 0 && strings.HasPrefix(got[len(got)-1], "connection_closed")
			})
			if got := steps(&log, "4f2a"); !slices.Equal(got, c.want) {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}

// A rejection says why.
func TestRejectionSaysWhy(t *testing.T) {
	d := testkit.NewDiscovery(t, 1, testkit.EntryText("b", testkit.Refusing(t), "Ready", 0))
	var log testkit.LockedBuffer
	a := startLogged(t, d, 0, func(*platform.Config) {}, slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	r := a.newRequest(t, http.MethodGet, "/form-check", "")
	if got := send(t, r); got.status != http.StatusServiceUnavailable {
		t.Fatalf("%+v", got)
	}
	got := strings.Join(steps(&log, r.Header.Get("X-Request-ID")), ", ")
	if !strings.Contains(got, "attempt_ended connect_failed") || !strings.Contains(got, "request_answered retry_budget") &&
		!strings.Contains(got, "request_answered no_server") {
		t.Errorf("%s", got)
	}
}
