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

// eventsOfRequest returns the events of one request and of its client connection, each with its reason, in the order of the log.
func eventsOfRequest(log *testkit.LockedBuffer, request string) (events []string) {
	lines := strings.Split(log.String(), "\n")
	connection := ""
	for _, line := range lines {
		if strings.Contains(line, "request="+request+" ") || strings.HasSuffix(line, "request="+request) {
			if c := logField(line, "connection"); c != "" {
				connection = c
			}
		}
	}
	for _, line := range lines {
		if logField(line, "request") != request && (logField(line, "request") != "" || logField(line, "connection") != connection) {
			continue
		}
		if kind := logField(line, "msg"); kind != "" {
			events = append(events, strings.TrimSuffix(kind+" "+logField(line, "reason"), " "))
		}
	}
	return events
}

// logField returns the value of an attribute in a line of a text log, or the empty string if the line does not have it.
func logField(line, name string) string {
	for _, part := range strings.Fields(line) {
		if value, ok := strings.CutPrefix(part, name+"="); ok {
			return value
		}
	}
	return ""
}

// At level debug the log shows what happened to a request, by its ID: from the accept of its connection to the last byte of its answer
// and the close, with the reason of each attempt, retry, rejection and close.
func TestRequestCanBeTracedThroughTheLog(t *testing.T) {
	for name, c := range map[string]struct {
		script func(net.Conn, *http.Request, int) bool
		close  bool // the client sends Connection: close
		want   []string
	}{
		"served": {testkit.RespondWith(testkit.OKResponse), true, []string{"connection_accepted", "request_read", "attempt_decided first",
			"attempt_written", "attempt_ended ok", "request_answered served", "request_written", "connection_closed after_answer"}},
		"retried": {func(c net.Conn, r *http.Request, n int) bool {
			if n == 1 {
				return testkit.RespondWith("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n")(c, r, n)
			}
			return testkit.RespondWith(testkit.OKResponse)(c, r, n)
		}, true, []string{"connection_accepted", "request_read", "attempt_decided first", "attempt_written", "attempt_ended server_error",
			"attempt_decided retry", "attempt_written", "attempt_ended ok", "request_answered served", "request_written",
			"connection_closed after_answer"}},
		"client stays connected": {testkit.RespondWith(testkit.OKResponse), false, []string{"connection_accepted", "request_read", "attempt_decided first",
			"attempt_written", "attempt_ended ok", "request_answered served", "request_written", "connection_closed idle_timeout"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := testkit.NewBackend(t, c.script)
			d := testkit.NewDiscovery(t, 1, testkit.EndpointJSON("b", b.Addr().String(), "Ready", 0))
			var log testkit.LockedBuffer
			a := startAgentWithLog(t, d, 0, func(*platform.Config) {}, slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug}))
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
			conn.SetReadDeadline(time.Now().Add(testkit.WaitTimeout))
			io.Copy(io.Discard, conn)
			testkit.Eventually(t, "the close of the connection is logged", func() bool {
				got := eventsOfRequest(&log, "4f2a")
				return len(got) > 0 && strings.HasPrefix(got[len(got)-1], "connection_closed")
			})
			if got := eventsOfRequest(&log, "4f2a"); !slices.Equal(got, c.want) {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}

// The log shows why a request was rejected.
func TestRejectionLogsItsReason(t *testing.T) {
	d := testkit.NewDiscovery(t, 1, testkit.EndpointJSON("b", testkit.RefusingAddr(t), "Ready", 0))
	var log testkit.LockedBuffer
	a := startAgentWithLog(t, d, 0, func(*platform.Config) {}, slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	r := a.newRequest(t, http.MethodGet, "/form-check", "")
	if got := send(t, r); got.status != http.StatusServiceUnavailable {
		t.Fatalf("%+v", got)
	}
	got := strings.Join(eventsOfRequest(&log, r.Header.Get("X-Request-ID")), ", ")
	if !strings.Contains(got, "attempt_ended connect_failed") || !strings.Contains(got, "request_answered retry_budget") &&
		!strings.Contains(got, "request_answered no_server") {
		t.Errorf("%s", got)
	}
}
