package http

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ryeweir/internal/httpmsg"
	"ryeweir/internal/testkit"
	"ryeweir/logic"
)

// A chunked response completes at the moment when its streaming would start. The timer that starts streaming must not set a
// deadline on the connection, which may carry the next request by then.
func TestStreamingThatBeginsAtTheEndLeavesNoDeadline(t *testing.T) {
	t.Parallel()
	for range 5 {
		backend := testkit.NewBackend(t, func(c net.Conn, _ *http.Request, n int) bool {
			if n > 1 {
				return true // no response: the attempt ends at its own deadline
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n")
			time.Sleep(chunkedHoldTime - 300*time.Microsecond)
			io.WriteString(c, "0\r\n\r\n")
			return true
		})
		f := newFixture(t, backend.Addr().String(), 10)
		first := f.execute(f.attempt(time.Second))
		if first.text(t) != "fine" {
			t.Fatalf("%+v", first.Outcome)
		}
		start := time.Now()
		if out := f.execute(f.attempt(300 * time.Millisecond)); out.Result != logic.TimedOut || time.Since(start) > 2*time.Second {
			t.Errorf("second attempt: result %v after %v, want a timeout within 2 s", out.Result, time.Since(start))
		}
	}
}

// pausingWriter counts what it is given, and pauses once, after its first piece.
type pausingWriter struct {
	pause time.Duration
	n     int
}

func (w *pausingWriter) Write(p []byte) (int, error) {
	w.n += len(p)
	time.Sleep(w.pause)
	w.pause = 0
	return len(p), nil
}

// Guards against an endpoint that is cut off because the client paused: the time for which the agent itself did not read is no pause of the
// endpoint.
func TestClientsPauseIsNoStallOfTheEndpoint(t *testing.T) {
	t.Parallel()
	const size = 4 << 20
	for name, head := range map[string]string{
		"with a length":    "HTTP/1.1 200 OK\r\nContent-Length: 4194304\r\n\r\n",
		"ended by a close": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := testkit.NewBackend(t, func(c net.Conn, _ *http.Request, _ int) bool {
				io.WriteString(c, head)
				c.Write(make([]byte, size))
				return false
			})
			f := newFixture(t, backend.Addr().String(), 10)
			attempt := f.attempt(time.Second)
			go f.Execute(context.Background(), attempt.Attempt)
			content := (<-attempt.reported).Content.(*httpmsg.Content)
			defer content.Discard()
			client := &pausingWriter{pause: httpmsg.EndpointStallTimeout + time.Second}
			if _, err := content.Pipe.WriteTo(client); err != nil || client.n != size {
				t.Errorf("%d of %d bytes, error %v", client.n, size, err)
			}
		})
	}
}

// Failure: a short answer that its endpoint wrote in two halves, with a pause between them, was cut off after 0.5 s at each endpoint, though its
// client still waited. It must come whole, with a length and without, and a pause that lasts to the deadline must end as timed out.
func TestPauseWithinAShortAnswerIsNoDamage(t *testing.T) {
	const half, pause = 100, 1200 * time.Millisecond
	for name, c := range map[string]struct {
		head    string
		timeout time.Duration
		want    logic.Result
	}{
		"with a length":           {"HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n", testkit.WaitTimeout, logic.OK},
		"ended by a close":        {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", testkit.WaitTimeout, logic.OK},
		"longer than the timeout": {"HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n", pause / 2, logic.TimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := testkit.NewBackend(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				io.WriteString(conn, c.head+strings.Repeat("a", half))
				time.Sleep(pause)
				io.WriteString(conn, strings.Repeat("b", half))
				return false
			})
			f := newFixture(t, backend.Addr().String(), 10)
			out := f.execute(f.attempt(c.timeout))
			if out.Result != c.want {
				t.Fatalf("result %v, want %v", out.Result, c.want)
			}
			if text := out.text(t); c.want == logic.OK && len(text) != 2*half {
				t.Errorf("%d bytes of the answer, want %d", len(text), 2*half)
			}
		})
	}
}
