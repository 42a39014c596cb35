package http

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"ryeweir/internal/event"
	"ryeweir/internal/testkit"
)

// Guards against a wrong close reason in the log. Answers that the agent gives without a core call, such as to a readiness check,
// and that close their connection were logged as connection_closed reason=read_timeout: the handler never calls BeginRequest for
// them, and the end of net/http's background read was taken for a slow client. The engineer on call then searched for slow
// clients. Such a close must be logged as after_answer.
func TestOwnAnswersAreNotLoggedAsReadTimeouts(t *testing.T) {
	for name, c := range map[string]struct {
		request string
		status  int
	}{
		"readiness check": {"GET /ready HTTP/1.1\r\nHost: o\r\nConnection: close\r\n\r\n", http.StatusServiceUnavailable},
		"unknown class":   {"GET /unknown HTTP/1.1\r\nHost: o\r\n\r\n", http.StatusNotFound},
		"no request id":   {"GET /form-check HTTP/1.1\r\nHost: o\r\nX-Timeout: 100m\r\n\r\n", http.StatusBadRequest},
		"wrong method":    {"POST /form-check HTTP/1.1\r\nHost: o\r\nContent-Length: 4\r\n\r\nbody", http.StatusMethodNotAllowed},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := newServer(t, http.MethodGet, "/form-check", "")
			startCore(t, s)
			addr := startServing(t, s)
			client, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			client.SetDeadline(time.Now().Add(testkit.WaitTimeout))
			io.WriteString(client, c.request)
			resp, err := http.ReadResponse(bufio.NewReader(client), nil)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != c.status || !resp.Close {
				t.Errorf("status %d, connection closes: %v", resp.StatusCode, resp.Close)
			}
			closes := func(reason event.Reason) int64 { return s.Events.Count(event.ConnectionClosed, reason) }
			testkit.Eventually(t, "the connection closes", func() bool {
				return closes(event.AfterAnswer)+closes(event.ReadTimeout) > 0
			})
			if closes(event.ReadTimeout) > 0 {
				t.Error("the close is logged as a read timeout")
			}
		})
	}
}

// startServing serves clients until the test ends. It returns the server's address.
func startServing(t *testing.T, s *Server) (addr string) {
	t.Helper()
	l := testkit.Listen(t)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, l, false) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String()
}
