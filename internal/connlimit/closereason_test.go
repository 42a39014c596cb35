package connlimit

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"ryeweir/internal/event"
	"ryeweir/internal/testkit"
)

// When a handler returns, net/http aborts its background read with a deadline in the past. If the handler did not call
// BeginRequest, as for a readiness check, the connection was still in the reading state, and the abort was taken for a client
// that was too slow. Each close after such an answer was logged as read_timeout, and so were later closes of a connection that
// stayed open.
func TestCloseReasonAfterAnAnswerThatNoHandlerReports(t *testing.T) {
	for name, c := range map[string]struct {
		request string
		then    func(*net.TCPConn) // runs after the answer; nil if no answer is expected
		want    event.Reason
	}{
		"the answer closes":         {"GET /ready HTTP/1.1\r\nHost: o\r\nConnection: close\r\n\r\n", func(*net.TCPConn) {}, event.AfterAnswer},
		"the client closes":         {get("/ready"), func(c *net.TCPConn) { c.Close() }, event.ClientClosed},
		"the idle timeout passes":   {get("/ready"), func(*net.TCPConn) {}, event.IdleTimeout},
		"the next request is slow":  {get("/ready"), func(c *net.TCPConn) { io.WriteString(c, "GET") }, event.ReadTimeout},
		"the first request is slow": {"GET /ready", nil, event.ReadTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := New(testkit.Listen(t), 9)
			l.HeaderTimeout, l.Events = 50*time.Millisecond, event.NewRecorder(slog.New(slog.DiscardHandler))
			runServer(t, l, &http.Server{
				IdleTimeout:       500 * time.Millisecond,
				ReadHeaderTimeout: 500 * time.Millisecond,
				Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ready") }),
			})
			client := dial(t, l)
			io.WriteString(client, c.request)
			if c.then != nil {
				wantAnswer(t, bufio.NewReader(client), "ready")
				c.then(client)
			}
			wantOneClose(t, l.Events, c.want)
		})
	}
}

// A request in flight is answered while the bytes that follow it are read ahead. The interruption of that read says nothing about
// the client: a close after the next answer must not be recorded as a timeout.
func TestCloseReasonAfterReadAheadWasStopped(t *testing.T) {
	s := newBlockingServer(t)
	c := dial(t, s.l)
	in := bufio.NewReader(c)
	io.WriteString(c, get("/a"))
	<-s.started
	io.WriteString(c, "GET /b HTTP/1.1\r\n")
	testkit.Eventually(t, "the next request is read ahead", func() bool {
		return s.l.anyConn(func(c *Conn) bool { return c.readAhead.done != nil })
	})
	s.release <- struct{}{}
	wantAnswer(t, in, "/a")
	io.WriteString(c, "Host: o\r\nConnection: close\r\n\r\n")
	<-s.started
	s.release <- struct{}{}
	wantAnswer(t, in, "/b")
	wantOneClose(t, s.l.Events, event.AfterAnswer)
}

// wantOneClose checks that exactly one connection is closed, with the given reason.
func wantOneClose(t *testing.T, events *event.Recorder, want event.Reason) {
	t.Helper()
	closes := map[event.Reason]int64{}
	testkit.Eventually(t, "the connection is closed", func() bool {
		for _, reason := range []event.Reason{event.AfterAnswer, event.ClientClosed, event.IdleTimeout, event.ReadTimeout} {
			if count := events.Count(event.ConnectionClosed, reason); count > 0 {
				closes[reason] = count
			}
		}
		return len(closes) > 0
	})
	if len(closes) != 1 || closes[want] != 1 {
		t.Errorf("closes by reason: %v, want one with reason %v", closes, want)
	}
}
