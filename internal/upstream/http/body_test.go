package http

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"ryeweir/internal/testkit"
	"ryeweir/logic"
)

// A response in chunks is complete at the moment at which it would begin to be streamed. The timer that starts streaming must not set a
// deadline on the connection, which by then may carry the next request.
func TestStreamingThatBeginsAtTheEndLeavesNoDeadline(t *testing.T) {
	t.Parallel()
	for range 5 {
		backend := testkit.NewBackend(t, func(c net.Conn, _ *http.Request, n int) bool {
			if n > 1 {
				return true // no response: the attempt ends at its own deadline
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n")
			time.Sleep(streamAfter - 300*time.Microsecond)
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
			t.Errorf("%v after %v", out.Result, time.Since(start))
		}
	}
}
