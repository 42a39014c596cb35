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
			time.Sleep(streamDelay - 300*time.Microsecond)
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
